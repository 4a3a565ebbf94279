#include "inifile.h"

#include <algorithm>
#include <fstream>
#include <optional>
#include <sstream>

namespace bluebellbarrow {

namespace {

/** Longest line of a file, in bytes; a bound against files of other kinds. */
constexpr size_t MaxLineBytes = size_t{1024} * 1024;

constexpr std::string_view ByteOrderMark = "\xef\xbb\xbf";
constexpr std::string_view Whitespace = " \t\r\v\f";
constexpr std::string_view Separators = "=:";
constexpr std::string_view LineCommentMarks = ";#";
constexpr char InlineCommentMark = ';';

std::string_view trim(std::string_view Text) {
  const size_t Begin = Text.find_first_not_of(Whitespace);
  if (Begin == std::string_view::npos)
    return {};
  const size_t End = Text.find_last_not_of(Whitespace);
  return Text.substr(Begin, End - Begin + 1);
}

/** Removes a comment that follows white space. */
std::string_view withoutComment(std::string_view Text) {
  for (size_t Mark = Text.find(InlineCommentMark);
       Mark != std::string_view::npos;
       Mark = Text.find(InlineCommentMark, Mark + 1))
    if (Mark > 0 && Whitespace.find(Text[Mark - 1]) != std::string_view::npos)
      return Text.substr(0, Mark);
  return Text;
}

/** Parses a file line by line and keeps the first error. */
class IniParser {
public:
  explicit IniParser(const std::string &Name) { this->File.Name = Name; }

  void parseLine(std::string_view Line) {
    this->LineNumber += 1;
    if (this->LineNumber == 1 && Line.starts_with(ByteOrderMark))
      Line.remove_prefix(ByteOrderMark.size());
    if (Line.size() > MaxLineBytes)
      return this->fail(Errc::TooLarge, "line is longer than " +
                                            std::to_string(MaxLineBytes) +
                                            " bytes");
    if (Line.find('\0') != std::string_view::npos)
      return this->fail(Errc::BadSyntax, "line holds a zero byte");
    Line = trim(Line);
    if (Line.empty() ||
        LineCommentMarks.find(Line.front()) != std::string_view::npos)
      return;
    if (Line.front() == '[')
      this->parseSection(Line);
    else
      this->parseEntry(Line);
  }

  bool hasFailed() const { return this->FirstError.has_value(); }

  /** Returns the file or the first error; to be called once. */
  Result<IniFile> finish() {
    if (this->FirstError)
      return *this->FirstError;
    return std::move(this->File);
  }

private:
  void fail(Errc Code, const std::string &Detail) {
    if (!this->FirstError)
      this->FirstError =
          makeLineError(Code, this->File.Name, this->LineNumber, Detail);
  }

  void parseSection(std::string_view Line) {
    const size_t End = Line.find(']');
    if (End == std::string_view::npos)
      return this->failSyntax();
    std::string Section(Line.substr(1, End - 1));
    std::vector<std::string> &Sections = this->File.Sections;
    if (std::find(Sections.begin(), Sections.end(), Section) != Sections.end())
      this->fail(Errc::Duplicate, "section [" + Section + "] stands twice");
    Sections.push_back(std::move(Section));
    this->SectionStart = this->File.Entries.size();
  }

  void parseEntry(std::string_view Line) {
    const size_t Separator = Line.find_first_of(Separators);
    if (Separator == std::string_view::npos)
      return this->failSyntax();
    IniEntry Entry{
        .Section = {},
        .Key = std::string(trim(Line.substr(0, Separator))),
        .Value = std::string(trim(withoutComment(Line.substr(Separator + 1)))),
        .Line = this->LineNumber};
    if (this->File.Sections.empty())
      return this->fail(Errc::BadSyntax,
                        "key '" + Entry.Key + "' is in no section");
    Entry.Section = this->File.Sections.back();
    if (this->isInCurrentSection(Entry.Key))
      this->fail(Errc::Duplicate, "key '" + Entry.Key + "' stands twice in [" +
                                      Entry.Section + "]");
    this->File.Entries.push_back(std::move(Entry));
  }

  /** Section names are unique, so a key can only be repeated in its own. */
  bool isInCurrentSection(const std::string &Key) const {
    const std::vector<IniEntry> &Entries = this->File.Entries;
    return std::any_of(
        Entries.begin() + static_cast<ptrdiff_t>(this->SectionStart),
        Entries.end(),
        [&Key](const IniEntry &Other) { return Other.Key == Key; });
  }

  void failSyntax() {
    this->fail(Errc::BadSyntax, "expected 'key = value' or '[section]'");
  }

  IniFile File;

  /** Number of the line that is being parsed, from 1. */
  int LineNumber = 0;

  /** Index of the first entry of the current section. */
  size_t SectionStart = 0;

  std::optional<Error> FirstError;
};

} // namespace

Error makeLineError(Errc Code, const std::string &File, int Line,
                    const std::string &Detail) {
  return makeError(Code, File + ":" + std::to_string(Line), "", Detail);
}

Result<IniFile> parseIni(const std::string &Name, std::string_view Text) {
  IniParser Parser(Name);
  while (!Text.empty() && !Parser.hasFailed()) {
    const size_t End = Text.find('\n');
    Parser.parseLine(Text.substr(0, End));
    Text.remove_prefix(End == std::string_view::npos ? Text.size() : End + 1);
  }
  return Parser.finish();
}

Result<std::string> readFile(const std::string &Path) {
  std::ifstream Stream(Path, std::ios::binary);
  std::ostringstream Text;
  if (!Stream || !(Text << Stream.rdbuf()) || Stream.bad())
    return makeError(Errc::NotFound, Path, "", "file can't be read");
  return Text.str();
}

} // namespace bluebellbarrow

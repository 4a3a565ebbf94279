#include "inifile.h"

#include <algorithm>
#include <cstring>
#include <fstream>
#include <ini.h>
#include <optional>
#include <sstream>

namespace bluebellbarrow {

namespace {

/** The state of one call of parseIni, shared by the library's callbacks. */
struct Parse {
  IniFile File;
  std::string_view Rest;
  int Line = 0;

  /** Index of the first entry of the section that is being read. */
  size_t SectionStart = 0;

  std::optional<Error> Failure;
};

void fail(Parse &State, Errc Code, const std::string &Detail) {
  if (!State.Failure)
    State.Failure = makeLineError(Code, State.File.Name, State.Line, Detail);
}

void noteSection(Parse &State, std::string_view Line) {
  const size_t Start = Line.find_first_not_of(" \t");
  if (Start == std::string_view::npos || Line[Start] != '[')
    return;
  const size_t End = Line.find(']', Start);
  if (End == std::string_view::npos)
    return;

  std::string Section(Line.substr(Start + 1, End - Start - 1));
  auto &Sections = State.File.Sections;
  if (std::find(Sections.begin(), Sections.end(), Section) != Sections.end())
    fail(State, Errc::Duplicate, "section [" + Section + "] stands twice");
  Sections.push_back(std::move(Section));
}

/** Hands the library one line, counting lines and noting sections. */
char *readLine(char *Buffer, int Size, void *Stream) {
  auto &State = *static_cast<Parse *>(Stream);
  if (State.Rest.empty())
    return nullptr;

  const size_t End = State.Rest.find('\n');
  const std::string_view Line = State.Rest.substr(0, End);
  State.Rest.remove_prefix(End == std::string_view::npos ? State.Rest.size()
                                                         : End + 1);
  State.Line += 1;
  if (Line.size() + 1 > static_cast<size_t>(Size)) {
    fail(State, Errc::TooLarge,
         "line is longer than " + std::to_string(Size - 1) + " bytes");
    return nullptr;
  }
  if (Line.find('\0') != std::string_view::npos) {
    fail(State, Errc::BadSyntax, "line holds a zero byte");
    return nullptr;
  }
  noteSection(State, Line);
  std::memcpy(Buffer, Line.data(), Line.size());
  Buffer[Line.size()] = '\0';
  return Buffer;
}

int storeEntry(void *User, const char *Section, const char *Key,
               const char *Value) {
  auto &State = *static_cast<Parse *>(User);
  IniEntry Entry{
      .Section = Section, .Key = Key, .Value = Value, .Line = State.Line};
  if (Entry.Section.empty())
    fail(State, Errc::BadSyntax, "key '" + Entry.Key + "' is in no section");
  std::vector<IniEntry> &Entries = State.File.Entries;
  if (Entries.empty() || Entries.back().Section != Entry.Section)
    State.SectionStart = Entries.size();
  // No section stands twice, so only its own entries can repeat a key.
  const bool Repeats =
      std::any_of(Entries.begin() + static_cast<ptrdiff_t>(State.SectionStart),
                  Entries.end(), [&Entry](const IniEntry &Each) {
                    return Each.Key == Entry.Key;
                  });
  if (Repeats)
    fail(State, Errc::Duplicate,
         "key '" + Entry.Key + "' stands twice in [" + Entry.Section + "]");
  State.File.Entries.push_back(std::move(Entry));
  return 1;
}

} // namespace

Error makeLineError(Errc Code, const std::string &File, int Line,
                    const std::string &Detail) {
  return makeError(Code, File + ":" + std::to_string(Line), "", Detail);
}

Result<IniFile> parseIni(const std::string &Name, std::string_view Text) {
  Parse State{.File = {.Name = Name, .Sections = {}, .Entries = {}},
              .Rest = Text,
              .Line = 0,
              .Failure = {}};
  const int BadLine = ini_parse_stream(readLine, &State, storeEntry, &State);
  if (State.Failure)
    return *State.Failure;
  if (BadLine > 0)
    return makeLineError(Errc::BadSyntax, Name, BadLine,
                         "expected 'key = value' or '[section]'");
  return std::move(State.File);
}

Result<std::string> readFile(const std::string &Path) {
  std::ifstream Stream(Path, std::ios::binary);
  std::ostringstream Text;
  if (!Stream || !(Text << Stream.rdbuf()) || Stream.bad())
    return makeError(Errc::NotFound, Path, "", "can't be read");
  return Text.str();
}

} // namespace bluebellbarrow

#include "inifile.h"

#include <algorithm>
#include <cstring>
#include <fstream>
#include <ini.h>
#include <optional>
#include <sstream>

namespace bluebellbarrow {

namespace {

/** State of one call of parseIni(), passed to the callbacks of inih. */
struct ParseState {
  IniFile File;

  /** Text that has not been passed to inih yet. */
  std::string_view Remaining;

  /** Number of the line that is being parsed, from 1. */
  int LineNumber = 0;

  /** Index of the first entry of the current section. */
  size_t SectionStart = 0;

  std::optional<Error> FirstError;
};

/** Records the error, unless there is an earlier one. */
void recordError(ParseState &State, Errc Code, const std::string &Detail) {
  if (!State.FirstError)
    State.FirstError =
        makeLineError(Code, State.File.Name, State.LineNumber, Detail);
}

/** Records a section header; inih does not report sections without keys. */
void recordSection(ParseState &State, std::string_view Line) {
  const size_t Start = Line.find_first_not_of(" \t");
  if (Start == std::string_view::npos || Line[Start] != '[')
    return;
  const size_t End = Line.find(']', Start);
  if (End == std::string_view::npos)
    return;

  std::string Section(Line.substr(Start + 1, End - Start - 1));
  auto &Sections = State.File.Sections;
  if (std::find(Sections.begin(), Sections.end(), Section) != Sections.end())
    recordError(State, Errc::Duplicate,
                "section [" + Section + "] stands twice");
  Sections.push_back(std::move(Section));
}

/** Passes the next line to inih; counts lines and records sections. */
char *readLine(char *Buffer, int Size, void *Stream) {
  auto &State = *static_cast<ParseState *>(Stream);
  if (State.Remaining.empty())
    return nullptr;

  const size_t End = State.Remaining.find('\n');
  const std::string_view Line = State.Remaining.substr(0, End);
  State.Remaining.remove_prefix(
      End == std::string_view::npos ? State.Remaining.size() : End + 1);
  State.LineNumber += 1;
  if (Line.size() + 1 > static_cast<size_t>(Size)) {
    recordError(State, Errc::TooLarge,
                "line is longer than " + std::to_string(Size - 1) + " bytes");
    return nullptr;
  }
  if (Line.find('\0') != std::string_view::npos) {
    recordError(State, Errc::BadSyntax, "line holds a zero byte");
    return nullptr;
  }
  recordSection(State, Line);
  std::memcpy(Buffer, Line.data(), Line.size());
  Buffer[Line.size()] = '\0';
  return Buffer;
}

/** Called by inih for each key; returns 1, which means success. */
int addEntry(void *User, const char *Section, const char *Key,
             const char *Value) {
  auto &State = *static_cast<ParseState *>(User);
  IniEntry Entry{
      .Section = Section, .Key = Key, .Value = Value, .Line = State.LineNumber};
  if (Entry.Section.empty())
    recordError(State, Errc::BadSyntax,
                "key '" + Entry.Key + "' is in no section");
  std::vector<IniEntry> &Entries = State.File.Entries;
  if (Entries.empty() || Entries.back().Section != Entry.Section)
    State.SectionStart = Entries.size();
  // Section names are unique, so a duplicate can only be among the entries of
  // the current section.
  const bool IsDuplicate =
      std::any_of(Entries.begin() + static_cast<ptrdiff_t>(State.SectionStart),
                  Entries.end(), [&Entry](const IniEntry &Other) {
                    return Other.Key == Entry.Key;
                  });
  if (IsDuplicate)
    recordError(State, Errc::Duplicate,
                "key '" + Entry.Key + "' stands twice in [" + Entry.Section +
                    "]");
  State.File.Entries.push_back(std::move(Entry));
  return 1;
}

} // namespace

Error makeLineError(Errc Code, const std::string &File, int Line,
                    const std::string &Detail) {
  return makeError(Code, File + ":" + std::to_string(Line), "", Detail);
}

Result<IniFile> parseIni(const std::string &Name, std::string_view Text) {
  ParseState State{.File = {.Name = Name, .Sections = {}, .Entries = {}},
                   .Remaining = Text,
                   .LineNumber = 0,
                   .FirstError = {}};
  const int ErrorLine = ini_parse_stream(readLine, &State, addEntry, &State);
  if (State.FirstError)
    return *State.FirstError;
  if (ErrorLine > 0)
    return makeLineError(Errc::BadSyntax, Name, ErrorLine,
                         "expected 'key = value' or '[section]'");
  return std::move(State.File);
}

Result<std::string> readFile(const std::string &Path) {
  std::ifstream Stream(Path, std::ios::binary);
  std::ostringstream Text;
  if (!Stream || !(Text << Stream.rdbuf()) || Stream.bad())
    return makeError(Errc::NotFound, Path, "", "file can't be read");
  return Text.str();
}

} // namespace bluebellbarrow

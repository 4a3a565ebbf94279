#ifndef BLUEBELLBARROW_KERNEL_INIFILE_H
#define BLUEBELLBARROW_KERNEL_INIFILE_H

#include "error.h"

#include <string>
#include <string_view>
#include <vector>

namespace bluebellbarrow {

/** One key of an INI file, with its line number. */
struct IniEntry {
  std::string Section;
  std::string Key;
  std::string Value;
  int Line = 0;
};

/** A parsed INI file whose keys are not yet checked against a schema. */
struct IniFile {
  /** File name for error messages. */
  std::string Name;

  /** Sections in file order, including empty ones. */
  std::vector<std::string> Sections;

  std::vector<IniEntry> Entries;
};

/**
 * Parses \a Text.
 *
 * Errors: syntax errors, lines that are too long or hold a zero byte, duplicate
 * sections and keys, and keys outside a section; each with file and line.
 * Thread safety: safe.
 */
Result<IniFile> parseIni(const std::string &Name, std::string_view Text);

/** Returns the content of the file \a Path. Thread safety: safe. */
Result<std::string> readFile(const std::string &Path);

/** Creates an error at line \a Line of \a File. Thread safety: safe. */
Error makeLineError(Errc Code, const std::string &File, int Line,
                    const std::string &Detail);

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_KERNEL_INIFILE_H

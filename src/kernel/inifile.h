#ifndef BLUEBELLBARROW_KERNEL_INIFILE_H
#define BLUEBELLBARROW_KERNEL_INIFILE_H

#include "error.h"

#include <string>
#include <string_view>
#include <vector>

namespace bluebellbarrow {

/** One key of an INI file, with the line it stands on. */
struct IniEntry {
  std::string Section;
  std::string Key;
  std::string Value;
  int Line = 0;
};

/** An INI file as it stands, its keys not yet checked against a schema. */
struct IniFile {
  /** Name used in messages. */
  std::string Name;

  /** Sections in the order of the file, also empty ones. */
  std::vector<std::string> Sections;

  std::vector<IniEntry> Entries;
};

/**
 * Parses \a Text. Refuses syntax errors, over-long lines, a section or a key
 * that stands twice, and a key outside a section; each error names file and
 * line.
 *
 * Thread safety: safe.
 */
Result<IniFile> parseIni(const std::string &Name, std::string_view Text);

/** Reads the whole file \a Path. Thread safety: safe. */
Result<std::string> readFile(const std::string &Path);

/** Returns an error at line \a Line of \a File. Thread safety: safe. */
Error makeLineError(Errc Code, const std::string &File, int Line,
                    const std::string &Detail);

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_KERNEL_INIFILE_H

#ifndef BLUEBELLBARROW_KERNEL_SCHEMA_H
#define BLUEBELLBARROW_KERNEL_SCHEMA_H

#include "clock.h"
#include "error.h"
#include "hashindex.h"
#include "inifile.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bluebellbarrow {

/** Longest value of a Text key that needs no shorter one, in bytes. */
inline constexpr double MaxTextBytes = 1024 * 1024;

/** Type of a key: determines the syntax and the units of its value. */
enum class KeyType { Text, Bool, Integer, Number, Duration, Size };

/** Specification of one key of a section. */
struct KeySpec {
  const char *Section;
  const char *Key;
  KeyType Type;

  /**
   * Smallest value, in the base unit of the type (none, microseconds, bytes);
   * for a Text its length in bytes.
   */
  double Min;

  /** Largest value, in the same unit as Min. */
  double Max;

  /** Value of a key that is not given, in the syntax of the file. */
  const char *Default;

  /** Description in one line, for operators. */
  const char *Help;
};

/**
 * Parses \a Text as a value of \a Spec and returns it in the base unit: 0 or 1
 * for a Bool, microseconds for a Duration, bytes for a Size, 0 for a Text.
 *
 * Errors: BadValue for a wrong type or unit, OutOfRange outside Min and Max.
 * Thread safety: safe.
 */
Result<double> parseValue(const KeySpec &Spec, const std::string &Text);

/**
 * The keys that a file may hold, indexed by section and key.
 *
 * Thread safety: immutable, safe.
 */
class KeyTable {
public:
  explicit KeyTable(std::vector<KeySpec> Specs);

  /** Returns the index of a key, or nothing when it is unknown. */
  std::optional<size_t> find(std::string_view Section,
                             std::string_view Key) const;

  bool hasSection(std::string_view Section) const;

  const KeySpec &operator[](size_t Index) const { return this->Specs[Index]; }

private:
  std::vector<KeySpec> Specs;
  HashIndex<size_t> Index;
};

/**
 * Handles a valid entry: the index of its key in the KeyTable, the entry, and
 * its value in the base unit.
 */
using EntryHandler =
    std::function<Result<std::monostate>(size_t, const IniEntry &, double)>;

/**
 * Checks every section and key of \a File against \a Keys and calls \a OnEntry
 * for each entry. The part of a section's name before the first space selects
 * the keys: "[route NAME]" is checked as "route".
 *
 * Errors: the first error found or returned by \a OnEntry, with file, line and
 * key; \a OnEntry may have been called for earlier entries.
 * Thread safety: safe.
 */
Result<std::monostate> checkEntries(const IniFile &File, const KeyTable &Keys,
                                    const EntryHandler &OnEntry);

/** Returns "kind" of a section named "kind name". Thread safety: safe. */
std::string_view sectionKind(std::string_view Section);

/** Returns "name" of a section named "kind name"; empty without one. */
std::string sectionName(const std::string &Section);

/** Returns a description of \a Type and its units for error messages. */
const char *describeKeyType(KeyType Type);

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_KERNEL_SCHEMA_H

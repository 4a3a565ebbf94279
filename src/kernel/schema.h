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

/** How the text of a key is read and which unit it needs. */
enum class KeyType { Text, Bool, Integer, Number, Duration, Size };

/** One key that a section may hold. */
struct KeySpec {
  const char *Section;
  const char *Key;
  KeyType Type;

  /** Smallest value, in the type's base unit (none, microseconds, bytes). */
  double Min;

  /** Largest value, in the type's base unit. */
  double Max;

  /** Value of a key that is not given, as it would be written. */
  const char *Default;

  /** One line for a page or a terminal. */
  const char *Help;
};

/**
 * Reads \a Text as \a Spec says and returns it in the base unit: 0 or 1 for a
 * flag, microseconds for a span, bytes for a size, 0 for a text.
 *
 * Errors: BadValue for a wrong type or unit, OutOfRange outside the limits.
 * Thread safety: safe.
 */
Result<double> parseValue(const KeySpec &Spec, const std::string &Text);

/**
 * The keys that a file may hold, found by section and key.
 *
 * Thread safety: immutable, safe.
 */
class KeyTable {
public:
  explicit KeyTable(std::vector<KeySpec> Specs);

  /** Returns the index of a key, or nothing. */
  std::optional<size_t> find(std::string_view Section,
                             std::string_view Key) const;

  bool hasSection(std::string_view Section) const;

  const KeySpec &operator[](size_t Index) const { return this->Specs[Index]; }

private:
  std::vector<KeySpec> Specs;
  HashIndex<size_t> Index;
};

/** Takes a checked entry: index of its key, and value in the base unit. */
using EntryHandler =
    std::function<Result<std::monostate>(size_t, const IniEntry &, double)>;

/**
 * Checks every section and key of \a File against \a Keys and calls \a Store
 * for each entry. A section name before the first space selects the keys, so
 * "[route NAME]" is checked as "route".
 *
 * Errors: the first fault, with file, line and key; \a Store may have been
 * called before. Thread safety: safe.
 */
Result<std::monostate> checkEntries(const IniFile &File, const KeyTable &Keys,
                                    const EntryHandler &Store);

/** Returns "kind" of a section named "kind name". Thread safety: safe. */
std::string_view sectionKind(std::string_view Section);

/** Returns "name" of a section named "kind name", or nothing. */
std::string sectionName(const std::string &Section);

/** Returns the unit that values of \a Type carry, for help texts. */
const char *describeKeyType(KeyType Type);

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_KERNEL_SCHEMA_H

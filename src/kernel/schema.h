#ifndef BLUEBELLBARROW_KERNEL_SCHEMA_H
#define BLUEBELLBARROW_KERNEL_SCHEMA_H

#include "clock.h"
#include "error.h"
#include "inifile.h"

#include <cstdint>
#include <functional>
#include <span>
#include <string>

namespace bluebellbarrow {

/** How the text of a key is read and which unit it needs. */
enum class KeyType { Text, Flag, Count, Ratio, Span, Size };

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
 * Checks every section and key of \a File against \a Specs and calls \a Store
 * for each entry with its value in the base unit. A section name before the
 * first space selects the specs, so "[route NAME]" is checked as "route".
 *
 * Errors: the first fault, with file, line and key; \a Store may have been
 * called before. Thread safety: safe.
 */
Result<std::monostate>
checkEntries(const IniFile &File, std::span<const KeySpec> Specs,
             const std::function<Result<std::monostate>(
                 const KeySpec &, const IniEntry &, double)> &Store);

/** Returns "kind" of a section named "kind name". Thread safety: safe. */
std::string sectionKind(const std::string &Section);

/** Returns "name" of a section named "kind name", or nothing. */
std::string sectionName(const std::string &Section);

/** Returns the unit that values of \a Type carry, for help texts. */
const char *unitOf(KeyType Type);

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_KERNEL_SCHEMA_H

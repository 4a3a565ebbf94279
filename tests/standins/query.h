#ifndef BLUEBELLBARROW_STANDINS_QUERY_H
#define BLUEBELLBARROW_STANDINS_QUERY_H

#include <charconv>
#include <cstdint>
#include <string>
#include <string_view>

namespace bluebellbarrow {

/** Returns the value of \a Name in the query of \a Target, or "". */
inline std::string queryText(const std::string &Target,
                             const std::string &Name) {
  const size_t QueryStart = Target.find('?');
  if (QueryStart == std::string::npos)
    return "";
  const std::string Prefix = Name + "=";
  for (size_t Start = QueryStart + 1; Start < Target.size();) {
    const size_t End = std::min(Target.find('&', Start), Target.size());
    if (Target.compare(Start, Prefix.size(), Prefix) == 0)
      return Target.substr(Start + Prefix.size(), End - Start - Prefix.size());
    Start = End + 1;
  }
  return "";
}

/** Returns the number at the start of \a Text, or \a Default for none. */
inline int64_t toNumber(std::string_view Text, int64_t Default) {
  int64_t Number = Default;
  std::from_chars(Text.data(), Text.data() + Text.size(), Number);
  return Number;
}

/** Returns the number of \a Name in the query of \a Target. */
inline int64_t queryNumber(const std::string &Target, const std::string &Name,
                           int64_t Default) {
  return toNumber(queryText(Target, Name), Default);
}

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_STANDINS_QUERY_H

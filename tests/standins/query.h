#ifndef BLUEBELLBARROW_STANDINS_QUERY_H
#define BLUEBELLBARROW_STANDINS_QUERY_H

#include <charconv>
#include <cstdint>
#include <string>
#include <string_view>

namespace bluebellbarrow {

/** Returns the value of "Name=" in the query of \a Target, or nothing. */
inline std::string queryText(const std::string &Target,
                             const std::string &Name) {
  const size_t Query = Target.find('?');
  if (Query == std::string::npos)
    return "";
  const std::string Wanted = Name + "=";
  for (size_t Start = Query + 1; Start < Target.size();) {
    const size_t End = std::min(Target.find('&', Start), Target.size());
    if (Target.compare(Start, Wanted.size(), Wanted) == 0)
      return Target.substr(Start + Wanted.size(), End - Start - Wanted.size());
    Start = End + 1;
  }
  return "";
}

/** Returns the number in \a Text, or \a Default. */
inline int64_t toNumber(std::string_view Text, int64_t Default) {
  int64_t Number = Default;
  std::from_chars(Text.data(), Text.data() + Text.size(), Number);
  return Number;
}

/** Returns the number after "Name=" in the query of \a Target. */
inline int64_t queryNumber(const std::string &Target, const std::string &Name,
                           int64_t Default) {
  return toNumber(queryText(Target, Name), Default);
}

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_STANDINS_QUERY_H

#ifndef BLUEBELLBARROW_STANDINS_QUERY_H
#define BLUEBELLBARROW_STANDINS_QUERY_H

#include <charconv>
#include <cstdint>
#include <string>
#include <string_view>

namespace bluebellbarrow {

/** Returns the value of \a Name in the query of a request target, or "". */
inline std::string queryParameter(const std::string &RequestTarget,
                                  const std::string &Name) {
  const size_t QueryStart = RequestTarget.find('?');
  if (QueryStart == std::string::npos)
    return "";
  const std::string Prefix = Name + "=";
  for (size_t Start = QueryStart + 1; Start < RequestTarget.size();) {
    const size_t End =
        std::min(RequestTarget.find('&', Start), RequestTarget.size());
    if (RequestTarget.compare(Start, Prefix.size(), Prefix) == 0)
      return RequestTarget.substr(Start + Prefix.size(),
                                  End - Start - Prefix.size());
    Start = End + 1;
  }
  return "";
}

/** Returns the number at the start of \a Text, or \a Default for none. */
inline int64_t parseNumber(std::string_view Text, int64_t Default) {
  int64_t Number = Default;
  std::from_chars(Text.data(), Text.data() + Text.size(), Number);
  return Number;
}

/**
 * Returns the number of \a Name in the query of a request target, or
 * \a Default for none.
 */
inline int64_t queryNumber(const std::string &RequestTarget,
                           const std::string &Name, int64_t Default) {
  return parseNumber(queryParameter(RequestTarget, Name), Default);
}

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_STANDINS_QUERY_H

#include "httpheaders.h"

#include <libwebsockets.h>

#include <algorithm>
#include <array>
#include <cctype>

namespace bluebellbarrow {

namespace {

/** Headers that belong to one connection, or that the server writes itself. */
constexpr std::array<std::string_view, 11> HopHeaders = {
    "connection", "content-length", "transfer-encoding", "te",
    "upgrade",    "keep-alive",     "proxy-connection",  "host",
    "date",       "server",         "http2-settings",
};

bool isForwarded(std::string_view Name) {
  return std::find(HopHeaders.begin(), HopHeaders.end(), Name) ==
         HopHeaders.end();
}

std::string copyToken(lws *Wsi, lws_token_indexes Token) {
  const int Length = lws_hdr_total_length(Wsi, Token);
  std::string Value(static_cast<size_t>(Length) + 1, '\0');
  lws_hdr_copy(Wsi, Value.data(), Length + 1, Token);
  Value.resize(static_cast<size_t>(Length));
  return Value;
}

std::string copyCustom(lws *Wsi, const std::string &Name, int Length) {
  const std::string Key = Name + ":";
  std::string Value(static_cast<size_t>(Length) + 1, '\0');
  lws_hdr_custom_copy(Wsi, Value.data(), Length + 1, Key.c_str(),
                      static_cast<int>(Key.size()));
  Value.resize(static_cast<size_t>(Length));
  return Value;
}

constexpr std::string_view PathCharacters = "-._~/:@!$&'()*+,;=";
constexpr std::string_view QueryCharacters = "-._~/:@!$'()*,;=?";

} // namespace

HttpHeaders collectHeaders(lws *Wsi, std::span<const std::string> CustomNames) {
  HttpHeaders Headers;
  for (int Index = 0; Index < WSI_TOKEN_COUNT; ++Index) {
    const auto Token = static_cast<lws_token_indexes>(Index);
    const unsigned char *Text = lws_token_to_string(Token);
    if (Text == nullptr || lws_hdr_total_length(Wsi, Token) <= 0)
      continue;
    std::string Name(reinterpret_cast<const char *>(Text));
    if (Name.size() < 2 || Name.back() != ':' || Name.front() == ':')
      continue;
    Name.pop_back();
    if (isForwarded(Name))
      Headers.push_back({Name, copyToken(Wsi, Token)});
  }
  for (const std::string &Name : CustomNames) {
    const std::string Key = Name + ":";
    const int Length =
        lws_hdr_custom_length(Wsi, Key.c_str(), static_cast<int>(Key.size()));
    if (Length > 0)
      Headers.push_back({Name, copyCustom(Wsi, Name, Length)});
  }
  return Headers;
}

std::span<const std::string> productHeaders() {
  static const std::array<std::string, 9> Names = {
      header::DeadlineMs, header::Depth,          header::Outcome,
      header::Reason,     header::NoRetry,        header::Request,
      header::Route,      header::IdempotencyKey, header::TargetState};
  return Names;
}

std::string percentEncode(std::string_view Text, std::string_view Allowed) {
  static constexpr char Hex[] = "0123456789ABCDEF";
  std::string Out;
  for (const char Character : Text) {
    const auto Byte = static_cast<unsigned char>(Character);
    const bool Plain =
        Byte < 128 && (std::isalnum(Byte) != 0 ||
                       Allowed.find(Character) != std::string_view::npos);
    if (Plain) {
      Out.push_back(Character);
      continue;
    }
    Out.push_back('%');
    Out.push_back(Hex[Byte >> 4U]);
    Out.push_back(Hex[Byte & 15U]);
  }
  return Out;
}

std::string requestTarget(lws *Wsi, std::string_view DecodedPath) {
  std::string Target = percentEncode(DecodedPath, PathCharacters);
  std::array<char, 2048> Fragment{};
  for (int Index = 0;; ++Index) {
    const int Length = lws_hdr_copy_fragment(
        Wsi, Fragment.data(), Fragment.size(), WSI_TOKEN_HTTP_URI_ARGS, Index);
    if (Length < 0)
      return Target;
    Target.push_back(Index == 0 ? '?' : '&');
    Target += percentEncode({Fragment.data(), static_cast<size_t>(Length)},
                            QueryCharacters);
  }
}

} // namespace bluebellbarrow

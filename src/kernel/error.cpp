#include "error.h"

#include <array>
#include <cstddef>

namespace bluebellbarrow {

namespace {

constexpr std::array<const char *, 18> ErrorMessages = {
    "success",
    "syntax error",
    "unknown key",
    "bad value",
    "out of range",
    "duplicate",
    "no parent branch",
    "unknown service",
    "dependency cycle",
    "incomplete",
    "digest does not match",
    "bad frame",
    "too large",
    "unreachable",
    "timed out",
    "refused",
    "not found",
    "bad usage",
};

class ErrorCategory : public std::error_category {
public:
  const char *name() const noexcept override { return "bluebellbarrow"; }

  std::string message(int Code) const override {
    const auto Index = static_cast<size_t>(Code);
    return Index < ErrorMessages.size() ? ErrorMessages[Index]
                                        : "unknown error";
  }
};

} // namespace

const std::error_category &errorCategory() {
  static const ErrorCategory Instance;
  return Instance;
}

std::error_code make_error_code(Errc Code) { // NOLINT: name required by std
  return {static_cast<int>(Code), errorCategory()};
}

std::string Error::message() const {
  std::string Text = this->Step;
  if (!this->Peer.empty())
    Text += " (" + this->Peer + ")";
  Text += ": " + this->Code.message();
  if (!this->Detail.empty())
    Text += ": " + this->Detail;
  return Text;
}

Error makeError(Errc Code, std::string Step, std::string Peer,
                std::string Detail) {
  return Error{.Code = Code,
               .Step = std::move(Step),
               .Peer = std::move(Peer),
               .Detail = std::move(Detail)};
}

} // namespace bluebellbarrow

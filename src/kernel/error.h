#ifndef BLUEBELLBARROW_KERNEL_ERROR_H
#define BLUEBELLBARROW_KERNEL_ERROR_H

#include <string>
#include <system_error>
#include <utility>
#include <variant>

namespace bluebellbarrow {

/** What went wrong, in the product's own error category. */
enum class Errc {
  BadSyntax = 1,
  UnknownKey,
  BadValue,
  OutOfRange,
  Duplicate,
  MissingParent,
  UnknownService,
  DependencyCycle,
  Incomplete,
  DigestMismatch,
  BadFrame,
  TooLarge,
  Unreachable,
  TimedOut,
  Refused,
  NotFound,
  BadUsage,
};

/** Returns the category of Errc. Thread safety: safe. */
const std::error_category &errorCategory();

std::error_code make_error_code(Errc Code); // NOLINT: name required by std

/** A failure, with the step and the peer at which it arose. */
struct Error {
  std::error_code Code;

  /** What was being done, for example "read value" or a file and line. */
  std::string Step;

  /** Address or name of the other side; empty when there is none. */
  std::string Peer;

  /** What is wrong, in words. */
  std::string Detail;

  /** Returns the failure as one line for a log or a terminal. */
  std::string message() const;
};

/** Creates an error. Thread safety: safe. */
Error makeError(Errc Code, std::string Step, std::string Peer,
                std::string Detail);

/**
 * Either a value or the error that prevented it.
 *
 * Thread safety: that of \a T.
 */
template <typename T> class Result {
public:
  Result(T Value) : State(std::move(Value)) {} // NOLINT: implicit by design

  Result(Error Failure) : State(std::move(Failure)) {} // NOLINT

  explicit operator bool() const {
    return std::holds_alternative<T>(this->State);
  }

  /** \pre the result holds a value. */
  T &value() { return std::get<T>(this->State); }

  /** \pre the result holds a value. */
  const T &value() const { return std::get<T>(this->State); }

  /** \pre the result holds an error. */
  const Error &error() const { return std::get<Error>(this->State); }

private:
  std::variant<T, Error> State;
};

} // namespace bluebellbarrow

template <> struct std::is_error_code_enum<bluebellbarrow::Errc> : true_type {};

#endif // BLUEBELLBARROW_KERNEL_ERROR_H

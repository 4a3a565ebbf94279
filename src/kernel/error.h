#ifndef BLUEBELLBARROW_KERNEL_ERROR_H
#define BLUEBELLBARROW_KERNEL_ERROR_H

#include <string>
#include <system_error>
#include <utility>
#include <variant>

namespace bluebellbarrow {

/** Error codes of the program, in errorCategory(). */
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

/** Returns the error category of Errc. Thread safety: safe. */
const std::error_category &errorCategory();

std::error_code make_error_code(Errc Code); // NOLINT: name required by std

/** An error, with the operation that failed and the peer it concerns. */
struct Error {
  std::error_code Code;

  /** Operation that failed, such as "read value", or a file and line. */
  std::string Step;

  /** Address or name of the peer; empty when there is none. */
  std::string Peer;

  /** Human-readable details; may be empty. */
  std::string Detail;

  /** Formats the error as one line for a log or a terminal. */
  std::string message() const;
};

/** Creates an error. Thread safety: safe. */
Error makeError(Errc Code, std::string Step, std::string Peer,
                std::string Detail);

/**
 * The outcome of an operation: a value or an error.
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

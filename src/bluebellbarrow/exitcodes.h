#ifndef BLUEBELLBARROW_EXITCODES_H
#define BLUEBELLBARROW_EXITCODES_H

namespace bluebellbarrow {

/** Exit codes of every sub-command; docs/OPERATORS.md explains them. */
enum ExitCode {
  ExitSuccess = 0,

  /** The command failed, or the condition that it waits for is not met. */
  ExitFailure = 1,

  /** Invalid flags, settings or settings tree. */
  ExitInvalidInput = 2,

  /** The shutdown aborted requests. */
  ExitRequestsAborted = 3,
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_EXITCODES_H

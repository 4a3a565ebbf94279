#ifndef BLUEBELLBARROW_EXITCODES_H
#define BLUEBELLBARROW_EXITCODES_H

namespace bluebellbarrow {

/** Exit codes of every sub-command; docs/OPERATORS.md explains them. */
enum ExitCode {
  ExitSuccess = 0,

  /** The work failed, or what was asked for is not so. */
  ExitFailure = 1,

  /** Bad flags, settings or tree. */
  ExitInvalidInput = 2,

  /** A stop cut requests. */
  ExitRequestsAborted = 3,
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_EXITCODES_H

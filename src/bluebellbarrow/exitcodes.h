#ifndef BLUEBELLBARROW_EXITCODES_H
#define BLUEBELLBARROW_EXITCODES_H

namespace bluebellbarrow {

/** Exit codes of every sub-command; docs/OPERATORS.md explains them. */
enum ExitCode {
  ExitGood = 0,

  /** The work failed, or what was asked for is not so. */
  ExitFailed = 1,

  /** Bad flags, settings or tree. */
  ExitBadInput = 2,

  /** A stop cut requests. */
  ExitCut = 3,
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_EXITCODES_H

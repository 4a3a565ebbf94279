#ifndef BLUEBELLBARROW_KERNEL_PIPELINEPOLICY_H
#define BLUEBELLBARROW_KERNEL_PIPELINEPOLICY_H

#include <cstddef>

namespace bluebellbarrow {

/** A connection with open requests whose next request is complete. */
struct PipelineState {
  /** Requests that were started and whose responses are not sent yet. */
  size_t OpenRequests = 0;

  /** Open requests that the connection may have. */
  size_t MaxOpenRequests = 1;

  /** The connection stays open after the response to the last open request. */
  bool StaysOpen = true;
};

/**
 * Returns whether the next request may start while others are open.
 *
 * A client that receives a response that closes the connection sends the
 * requests behind it again. A request that may run only once therefore starts
 * when all responses before it are sent. Nothing starts behind a request after
 * which the connection closes.
 *
 * Thread safety: safe.
 */
bool mayStartBehindOpenRequests(const PipelineState &State, bool Idempotent);

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_KERNEL_PIPELINEPOLICY_H

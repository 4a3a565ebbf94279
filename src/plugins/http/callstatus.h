#ifndef BLUEBELLBARROW_HTTP_CALLSTATUS_H
#define BLUEBELLBARROW_HTTP_CALLSTATUS_H

namespace bluebellbarrow {

/** HTTP status of a request that did not run and will not. */
inline constexpr int StatusNotRun = 503;

/** HTTP status of a request that may have run. */
inline constexpr int StatusOutcomeUnknown = 502;

/** HTTP status of a request that may have run, after its deadline. */
inline constexpr int StatusDeadlineExceeded = 504;

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_HTTP_CALLSTATUS_H

/**
 * \file
 * The call protocol of the "published" platform protocol, with the header names
 * of bluebellbarrow.
 */

#include "callprotocol.h"
#include "kernel/httpheaders.h"

namespace bluebellbarrow {

namespace {

class DefaultCallProtocol : public CallProtocol {
public:
  DefaultCallProtocol()
      : CallProtocol({.RequestId = header::RequestId,
                      .DeadlineRemaining = header::DeadlineMs,
                      .CallerService = "",
                      .ExpectedTarget = "",
                      .TargetId = "",
                      .NotRun = header::Outcome,
                      .NotRunValue = "not-run",
                      .Load = "",
                      .RemainingWarmUp = header::WarmUp,
                      .Signature = "",
                      .Depth = header::CallDepth,
                      .Route = header::Route,
                      .IdempotencyKey = header::IdempotencyKey,
                      .Outcome = header::Outcome,
                      .Reason = header::Reason,
                      .NoRetry = header::NoRetry}) {}
};

const CallProtocolRegistry::Registration<DefaultCallProtocol>
    Registered("published");

} // namespace

} // namespace bluebellbarrow

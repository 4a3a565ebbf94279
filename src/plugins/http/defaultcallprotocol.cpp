/**
 * \file
 * The product's own way to speak of calls.
 */

#include "callprotocol.h"
#include "kernel/httpheaders.h"

namespace bluebellbarrow {

namespace {

class OwnDialect : public CallProtocol {
public:
  OwnDialect()
      : CallProtocol({.RequestId = header::RequestId,
                      .DeadlineRemaining = header::DeadlineMs,
                      .CallerService = "",
                      .ExpectedTarget = "",
                      .TargetId = "",
                      .NotRun = header::Outcome,
                      .NotRunValue = "not-run",
                      .Load = "",
                      .Signature = "",
                      .Depth = header::CallDepth,
                      .Route = header::Route,
                      .IdempotencyKey = header::IdempotencyKey,
                      .Outcome = header::Outcome,
                      .Reason = header::Reason,
                      .NoRetry = header::NoRetry}) {}
};

const CallProtocolRegistry::Registration<OwnDialect> Registered("published");

} // namespace

} // namespace bluebellbarrow

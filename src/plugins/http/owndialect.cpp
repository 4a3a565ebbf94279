/**
 * \file
 * The product's own way to speak of calls.
 */

#include "calldialect.h"
#include "kernel/httpheaders.h"

namespace bluebellbarrow {

namespace {

class OwnDialect : public CallDialect {
public:
  OwnDialect()
      : CallDialect({.RequestId = header::Request,
                     .Remaining = header::DeadlineMs,
                     .CallerService = "",
                     .ExpectedTarget = "",
                     .TargetId = "",
                     .NotRun = header::Outcome,
                     .NotRunValue = "not-run",
                     .Load = "",
                     .Signature = "",
                     .Depth = header::Depth,
                     .Route = header::Route,
                     .IdempotencyKey = header::IdempotencyKey,
                     .Outcome = header::Outcome,
                     .Reason = header::Reason,
                     .NoRetry = header::NoRetry}) {}
};

const CallDialectRegistry::Registration<OwnDialect> Registered("published");

} // namespace

} // namespace bluebellbarrow

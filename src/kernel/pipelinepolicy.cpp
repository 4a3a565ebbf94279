#include "pipelinepolicy.h"

namespace bluebellbarrow {

bool mayStartBehindOpenRequests(const PipelineState &State, bool Idempotent) {
  return State.StaysOpen && Idempotent &&
         State.OpenRequests < State.MaxOpenRequests;
}

} // namespace bluebellbarrow

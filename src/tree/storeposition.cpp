#include "storeposition.h"

namespace bluebellbarrow {

namespace {

constexpr unsigned RevisionBits = 44;
constexpr uint64_t RevisionMask = (uint64_t{1} << RevisionBits) - 1;

} // namespace

VersionNumber StorePosition::toNumber() const {
  return VersionNumber((this->Era << RevisionBits) |
                       (this->Revision & RevisionMask));
}

StorePosition StorePosition::fromNumber(VersionNumber Number) {
  return {.Era = Number.value() >> RevisionBits,
          .Revision = Number.value() & RevisionMask};
}

} // namespace bluebellbarrow

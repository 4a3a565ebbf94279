#include "balancer.h"

namespace bluebellbarrow {

namespace {

/** Draws any upstream with the same chance; the baseline of measurements. */
class RandomBalancer : public Balancer {
public:
  size_t choose(std::span<const Candidate> From,
                std::mt19937_64 &Random) override {
    std::uniform_int_distribution<size_t> Draw(0, From.size() - 1);
    return Draw(Random);
  }
};

const BalancerRegistry::Registration<RandomBalancer> Registered("random");

} // namespace

} // namespace bluebellbarrow

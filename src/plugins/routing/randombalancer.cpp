#include "balancer.h"

namespace bluebellbarrow {

namespace {

/** Chooses uniformly at random; the baseline for benchmarks. */
class RandomBalancer : public Balancer {
public:
  size_t choose(std::span<const UpstreamCandidate> Candidates,
                std::mt19937_64 &Random) override {
    std::uniform_int_distribution<size_t> Draw(0, Candidates.size() - 1);
    return Draw(Random);
  }
};

const BalancerRegistry::Registration<RandomBalancer> Registered("random");

} // namespace

} // namespace bluebellbarrow

#include "crowdcontrol.h"

namespace bluebellbarrow {

namespace {

/** What a caller may hold without being given up. */
constexpr size_t OrdinaryBytes = size_t{64} * 1024;

/** Time that counts for a connection which makes progress. */
constexpr Duration LeastStall = milliseconds(50);

double byteSeconds(const UnreadConnection &Candidate) {
  const std::chrono::duration<double> Held = Candidate.StalledFor + LeastStall;
  return static_cast<double>(Candidate.HeldBytes) * Held.count();
}

} // namespace

std::optional<uint64_t>
chooseConnectionToGiveUp(const std::vector<UnreadConnection> &Candidates,
                         Duration MinStall) {
  const UnreadConnection *Worst = nullptr;
  for (const UnreadConnection &Candidate : Candidates)
    if (Candidate.HeldBytes > OrdinaryBytes &&
        Candidate.StalledFor >= MinStall &&
        (Worst == nullptr || byteSeconds(Candidate) > byteSeconds(*Worst)))
      Worst = &Candidate;
  if (Worst == nullptr)
    return std::nullopt;
  return Worst->Id;
}

} // namespace bluebellbarrow

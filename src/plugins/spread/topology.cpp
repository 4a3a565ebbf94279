#include "topology.h"

#include "kernel/hashing.h"

#include <algorithm>
#include <set>
#include <utility>

namespace bluebellbarrow {

namespace {

/** Sorts the nodes of one domain by descending rendezvous weight. */
void sortByRank(std::vector<Vm> &Members) {
  std::sort(Members.begin(), Members.end(), [](const Vm &A, const Vm &B) {
    const uint64_t WeightA = rendezvousWeight(A.Domain.str(), A.Name.str());
    const uint64_t WeightB = rendezvousWeight(B.Domain.str(), B.Name.str());
    return WeightA != WeightB ? WeightA > WeightB : A.Name < B.Name;
  });
}

/** Orders the domains in the same way on every node. */
bool comesBefore(const FailureDomain &A, const FailureDomain &B) {
  return std::pair(stableHash(A.str()), A) < std::pair(stableHash(B.str()), B);
}

/** Returns the list with one entry for each VM. */
std::vector<Vm> withoutRepeats(const std::vector<Vm> &Vms) {
  std::vector<Vm> Once;
  std::set<VmName> Seen;
  for (const Vm &Each : Vms)
    if (Seen.insert(Each.Name).second)
      Once.push_back(Each);
  return Once;
}

const Vm *draw(const std::vector<Vm> &From, std::mt19937_64 &Random) {
  if (From.empty())
    return nullptr;
  std::uniform_int_distribution<size_t> Index(0, From.size() - 1);
  return &From[Index(Random)];
}

} // namespace

Topology::Topology(const std::vector<Vm> &Vms, const VmName &Self,
                   const FailureDomain &Domain)
    : All(withoutRepeats(Vms)), Self(Self) {
  Domains Members;
  for (size_t Index = 0; Index < this->All.size(); ++Index) {
    const Vm &Each = this->All[Index];
    this->ByAddress.emplace(Each.Ip, Index);
    this->ByName.emplace(Each.Name, Index);
    Members[Each.Domain].push_back(Each);
    if (Each.Domain != Domain)
      this->RemoteMembers.push_back(Each);
  }
  for (auto &[Name, Nodes] : Members) {
    sortByRank(Nodes);
    if (Name != Domain)
      this->RemoteRoots.push_back(Nodes.front().Ip);
  }
  this->buildReadOrder(Members);
  this->DomainMembers = std::move(Members[Domain]);
  this->LocalRank = this->DomainMembers.size();
  for (size_t Rank = 0; Rank < this->DomainMembers.size(); ++Rank) {
    this->DomainRanks.emplace(this->DomainMembers[Rank].Ip, Rank);
    if (this->DomainMembers[Rank].Name == Self)
      this->LocalRank = Rank;
  }
}

void Topology::buildReadOrder(const Domains &Members) {
  std::vector<FailureDomain> Turns;
  size_t MostNodes = 0;
  for (const auto &[Name, Nodes] : Members) {
    Turns.push_back(Name);
    MostNodes = std::max(MostNodes, Nodes.size());
  }
  std::sort(Turns.begin(), Turns.end(), comesBefore);
  this->ReadPositions.resize(this->All.size());
  for (size_t Rank = 0; Rank < MostNodes; ++Rank)
    for (const FailureDomain &Turn : Turns) {
      const std::vector<Vm> &Nodes = Members.at(Turn);
      if (Rank >= Nodes.size())
        continue;
      const size_t Index = this->ByName.at(Nodes[Rank].Name);
      this->ReadPositions[Index] =
          static_cast<uint32_t>(this->ReadSequence.size());
      this->ReadSequence.push_back(static_cast<uint32_t>(Index));
    }
}

size_t Topology::readPosition(const VmName &Name) const {
  const auto Found = this->ByName.find(Name);
  return Found == this->ByName.end() ? this->size()
                                     : this->ReadPositions[Found->second];
}

std::vector<Address> Topology::children(const Address &Ip, const Address &Root,
                                        size_t FanOut) const {
  const size_t Rank = this->domainRank(Ip);
  const size_t Known = this->domainRank(Root);
  const size_t RootRank = Known < this->DomainMembers.size() ? Known : 0;
  std::vector<Address> Children;
  if (Rank >= this->DomainMembers.size())
    return Children;
  // The root has moved to the front; those before it stand one place later.
  const size_t Place = Rank == RootRank ? 0 : Rank + (Rank < RootRank ? 1 : 0);
  for (size_t Child = Place * FanOut + 1; Child <= (Place + 1) * FanOut;
       ++Child) {
    if (Child >= this->DomainMembers.size())
      break;
    const Vm &Each = this->DomainMembers[Child <= RootRank ? Child - 1 : Child];
    if (Each.Name != this->Self)
      Children.push_back(Each.Ip);
  }
  return Children;
}

std::vector<Address> Topology::localChildren(size_t FanOut) const {
  if (!this->isListed())
    return {};
  return this->children(this->DomainMembers[this->LocalRank].Ip, Address(),
                        FanOut);
}

size_t Topology::domainRank(const Address &Ip) const {
  const auto Found = this->DomainRanks.find(Ip);
  return Found == this->DomainRanks.end() ? this->DomainMembers.size()
                                          : Found->second;
}

std::vector<Address> Topology::remoteRoots() const { return this->RemoteRoots; }

const Vm *Topology::findByAddress(const Address &Ip) const {
  const auto Found = this->ByAddress.find(Ip);
  return Found == this->ByAddress.end() ? nullptr : &this->All[Found->second];
}

const Vm *Topology::findByName(const VmName &Name) const {
  const auto Found = this->ByName.find(Name);
  return Found == this->ByName.end() ? nullptr : &this->All[Found->second];
}

const Vm *Topology::drawDomainPeer(std::mt19937_64 &Random) const {
  const Vm *Drawn = draw(this->DomainMembers, Random);
  if (Drawn == nullptr || Drawn->Name != this->Self)
    return Drawn;
  if (this->DomainMembers.size() < 2)
    return nullptr;
  return &this->DomainMembers[(this->LocalRank + 1) %
                              this->DomainMembers.size()];
}

const Vm *Topology::drawRemotePeer(std::mt19937_64 &Random) const {
  return draw(this->RemoteMembers, Random);
}

} // namespace bluebellbarrow

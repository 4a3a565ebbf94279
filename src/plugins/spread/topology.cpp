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

/** A total order of the domains that is the same on every node. */
bool comesBefore(const FailureDomain &A, const FailureDomain &B) {
  return std::pair(stableHash(A.str()), A) < std::pair(stableHash(B.str()), B);
}

/** Returns the first entry of each VM, which is listed once per target. */
std::vector<Vm> uniqueByName(const std::vector<Vm> &Vms) {
  std::vector<Vm> Unique;
  std::set<VmName> Seen;
  for (const Vm &Node : Vms)
    if (Seen.insert(Node.Name).second)
      Unique.push_back(Node);
  return Unique;
}

const Vm *draw(const std::vector<Vm> &Candidates, std::mt19937_64 &Random) {
  if (Candidates.empty())
    return nullptr;
  std::uniform_int_distribution<size_t> Index(0, Candidates.size() - 1);
  return &Candidates[Index(Random)];
}

} // namespace

Topology::Topology(const std::vector<Vm> &Vms, const VmName &Self,
                   const FailureDomain &Domain)
    : All(uniqueByName(Vms)), Self(Self) {
  Domains Members;
  for (size_t Index = 0; Index < this->All.size(); ++Index) {
    const Vm &Node = this->All[Index];
    this->ByAddress.emplace(Node.Ip, Index);
    this->ByName.emplace(Node.Name, Index);
    Members[Node.Domain].push_back(Node);
    if (Node.Domain != Domain)
      this->RemoteMembers.push_back(Node);
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
  std::vector<FailureDomain> DomainOrder;
  size_t MaxDomainSize = 0;
  for (const auto &[Name, Nodes] : Members) {
    DomainOrder.push_back(Name);
    MaxDomainSize = std::max(MaxDomainSize, Nodes.size());
  }
  std::sort(DomainOrder.begin(), DomainOrder.end(), comesBefore);
  this->ReadPositions.resize(this->All.size());
  for (size_t Rank = 0; Rank < MaxDomainSize; ++Rank)
    for (const FailureDomain &Domain : DomainOrder) {
      const std::vector<Vm> &Nodes = Members.at(Domain);
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
  const size_t ListedRank = this->domainRank(Root);
  const size_t RootRank =
      ListedRank < this->DomainMembers.size() ? ListedRank : 0;
  std::vector<Address> Children;
  if (Rank >= this->DomainMembers.size())
    return Children;
  // The root has index 0 in the tree; nodes that rank before it move back by
  // one.
  const size_t TreeIndex =
      Rank == RootRank ? 0 : Rank + (Rank < RootRank ? 1 : 0);
  for (size_t ChildIndex = TreeIndex * FanOut + 1;
       ChildIndex <= (TreeIndex + 1) * FanOut; ++ChildIndex) {
    if (ChildIndex >= this->DomainMembers.size())
      break;
    const Vm &Node = this->DomainMembers[ChildIndex <= RootRank ? ChildIndex - 1
                                                                : ChildIndex];
    if (Node.Name != this->Self)
      Children.push_back(Node.Ip);
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

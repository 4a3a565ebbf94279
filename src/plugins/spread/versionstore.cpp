#include "versionstore.h"

#include "kernel/hashing.h"

#include <algorithm>
#include <set>

namespace bluebellbarrow {

namespace {

constexpr size_t MaxKeptVersions = 6;

Error transferError(Errc Code, const TransferMessage &Message,
                    const std::string &Detail) {
  return makeError(Code, "rebuild version " + Message.Version.text(), "",
                   Detail);
}

const ManifestEntry *findEntry(const Manifest &In, const std::string &Path) {
  const auto Found = std::lower_bound(
      In.Entries.begin(), In.Entries.end(), Path,
      [](const ManifestEntry &Each, const std::string &Wanted) {
        return Each.Path < Wanted;
      });
  const bool Matches = Found != In.Entries.end() && Found->Path == Path;
  return Matches ? &*Found : nullptr;
}

/** Returns the catalog of \a Message, its changes laid over \a Base. */
Manifest patched(const Manifest &Base, const TransferMessage &Message) {
  const std::set<std::string> Removed(Message.Removed.begin(),
                                      Message.Removed.end());
  Manifest Result = Message.Changes;
  Result.Entries.clear();
  Result.Entries.reserve(Base.Entries.size() + Message.Changes.Entries.size());
  auto Change = Message.Changes.Entries.begin();
  const auto Last = Message.Changes.Entries.end();
  for (const ManifestEntry &Each : Base.Entries) {
    while (Change != Last && Change->Path < Each.Path)
      Result.Entries.push_back(*Change++);
    if (Change != Last && Change->Path == Each.Path)
      Result.Entries.push_back(*Change++);
    else if (!Removed.contains(Each.Path))
      Result.Entries.push_back(Each);
  }
  Result.Entries.insert(Result.Entries.end(), Change, Last);
  return Result;
}

} // namespace

const std::string &FullVersion::partText(const std::string &Path) const {
  return *this->Parts.at(findEntry(this->Content, Path)->Hash);
}

VersionId VersionStore::currentId() const {
  return this->Versions.empty() ? VersionId() : this->Versions.front()->Id;
}

VersionId VersionStore::previousId() const {
  return this->Versions.size() < 2 ? VersionId() : this->Versions[1]->Id;
}

void VersionStore::setCurrent(FullVersionPtr Version) {
  this->Versions.push_front(std::move(Version));
  if (this->Versions.size() > MaxKeptVersions)
    this->Versions.pop_back();
}

const FullVersion *VersionStore::find(const VersionId &Id) const {
  const auto Found = std::find_if(
      this->Versions.begin(), this->Versions.end(),
      [&Id](const FullVersionPtr &Each) { return Each->Id == Id; });
  return Found == this->Versions.end() ? nullptr : Found->get();
}

TransferMessage VersionStore::makeTransfer(const VersionId &Have) const {
  static const FullVersion Nothing;
  const FullVersion &Newest = *this->Versions.front();
  const FullVersion *Known = Have.isNone() ? nullptr : this->find(Have);
  const FullVersion &Base = Known == nullptr ? Nothing : *Known;

  TransferMessage Message{.Kind = this->Kind,
                          .Version = Newest.Id,
                          .Base = Base.Id,
                          .Changes = Newest.Content};
  Message.Changes.Entries.clear();
  std::set<Digest> Sent;
  for (const ManifestEntry &Each : Newest.Content.Entries) {
    const ManifestEntry *Old = findEntry(Base.Content, Each.Path);
    if (Old != nullptr && *Old == Each)
      continue;
    Message.Changes.Entries.push_back(Each);
    if (!Base.Parts.contains(Each.Hash) && Sent.insert(Each.Hash).second)
      Message.Texts.push_back(*Newest.Parts.at(Each.Hash));
  }
  for (const ManifestEntry &Each : Base.Content.Entries)
    if (findEntry(Newest.Content, Each.Path) == nullptr)
      Message.Removed.push_back(Each.Path);
  return Message;
}

Result<FullVersionPtr>
VersionStore::rebuild(const TransferMessage &Message) const {
  static const FullVersion Nothing;
  const FullVersion *Base =
      Message.Base.isNone() ? &Nothing : this->find(Message.Base);
  if (Base == nullptr)
    return transferError(Errc::NotFound, Message, "base is not kept");

  const Manifest Content = patched(Base->Content, Message);
  if (computeVersionId(Content) != Message.Version)
    return transferError(Errc::DigestMismatch, Message, "catalog differs");
  PartsByDigest Received;
  for (const std::string &Text : Message.Texts)
    Received.emplace(computeDigest(Text),
                     std::make_shared<const std::string>(Text));

  auto Version = std::make_shared<FullVersion>();
  Version->Id = Message.Version;
  Version->Content = Content;
  for (const ManifestEntry &Each : Content.Entries) {
    const PartsByDigest &Source =
        Received.contains(Each.Hash) ? Received : Base->Parts;
    const auto Part = Source.find(Each.Hash);
    if (Part == Source.end())
      return transferError(Errc::Incomplete, Message, Each.Path);
    Version->Parts.emplace(Each.Hash, Part->second);
  }
  return FullVersionPtr(std::move(Version));
}

std::vector<Digest>
VersionStore::missingParts(const Manifest &Wanted,
                           const PartsByDigest &Fetched) const {
  std::set<Digest> Missing;
  for (const ManifestEntry &Each : Wanted.Entries) {
    const bool Kept = std::any_of(this->Versions.begin(), this->Versions.end(),
                                  [&Each](const FullVersionPtr &Version) {
                                    return Version->Parts.contains(Each.Hash);
                                  });
    if (!Kept && !Fetched.contains(Each.Hash))
      Missing.insert(Each.Hash);
  }
  return {Missing.begin(), Missing.end()};
}

FullVersionPtr VersionStore::assemble(const Manifest &Wanted,
                                      const PartsByDigest &Fetched) const {
  auto Version = std::make_shared<FullVersion>();
  Version->Id = computeVersionId(Wanted);
  Version->Content = Wanted;
  for (const ManifestEntry &Each : Wanted.Entries) {
    const auto New = Fetched.find(Each.Hash);
    if (New != Fetched.end()) {
      Version->Parts.insert(*New);
      continue;
    }
    for (const FullVersionPtr &Old : this->Versions) {
      const auto Part = Old->Parts.find(Each.Hash);
      if (Part == Old->Parts.end())
        continue;
      Version->Parts.insert(*Part);
      break;
    }
  }
  return Version;
}

} // namespace bluebellbarrow

#include "catalogstore.h"

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

const CatalogEntry *findEntry(const Catalog &In, const std::string &Path) {
  const auto Found =
      std::lower_bound(In.Entries.begin(), In.Entries.end(), Path,
                       [](const CatalogEntry &Each, const std::string &Wanted) {
                         return Each.Path < Wanted;
                       });
  const bool Matches = Found != In.Entries.end() && Found->Path == Path;
  return Matches ? &*Found : nullptr;
}

/** Returns the catalog of \a Message, its changes laid over \a Base. */
Catalog patched(const Catalog &Base, const TransferMessage &Message) {
  const std::set<std::string> Removed(Message.Removed.begin(),
                                      Message.Removed.end());
  Catalog Result = Message.Changes;
  Result.Entries.clear();
  Result.Entries.reserve(Base.Entries.size() + Message.Changes.Entries.size());
  auto Change = Message.Changes.Entries.begin();
  const auto Last = Message.Changes.Entries.end();
  for (const CatalogEntry &Each : Base.Entries) {
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

const std::string &WholeVersion::text(const std::string &Path) const {
  return *this->Parts.at(findEntry(this->Content, Path)->Hash);
}

VersionId CatalogStore::currentId() const {
  return this->Versions.empty() ? VersionId() : this->Versions.front()->Id;
}

VersionId CatalogStore::previousId() const {
  return this->Versions.size() < 2 ? VersionId() : this->Versions[1]->Id;
}

void CatalogStore::put(WholeVersionPtr Version) {
  this->Versions.push_front(std::move(Version));
  if (this->Versions.size() > MaxKeptVersions)
    this->Versions.pop_back();
}

const WholeVersion *CatalogStore::find(const VersionId &Id) const {
  const auto Found = std::find_if(
      this->Versions.begin(), this->Versions.end(),
      [&Id](const WholeVersionPtr &Each) { return Each->Id == Id; });
  return Found == this->Versions.end() ? nullptr : Found->get();
}

TransferMessage CatalogStore::transferFrom(const VersionId &Have) const {
  static const WholeVersion Nothing;
  const WholeVersion &Newest = *this->Versions.front();
  const WholeVersion *Known = Have.none() ? nullptr : this->find(Have);
  const WholeVersion &Base = Known == nullptr ? Nothing : *Known;

  TransferMessage Message{.Kind = this->Kind,
                          .Version = Newest.Id,
                          .Base = Base.Id,
                          .Changes = Newest.Content};
  Message.Changes.Entries.clear();
  std::set<Digest> Sent;
  for (const CatalogEntry &Each : Newest.Content.Entries) {
    const CatalogEntry *Old = findEntry(Base.Content, Each.Path);
    if (Old != nullptr && *Old == Each)
      continue;
    Message.Changes.Entries.push_back(Each);
    if (!Base.Parts.contains(Each.Hash) && Sent.insert(Each.Hash).second)
      Message.Texts.push_back(*Newest.Parts.at(Each.Hash));
  }
  for (const CatalogEntry &Each : Base.Content.Entries)
    if (findEntry(Newest.Content, Each.Path) == nullptr)
      Message.Removed.push_back(Each.Path);
  return Message;
}

Result<WholeVersionPtr>
CatalogStore::rebuild(const TransferMessage &Message) const {
  static const WholeVersion Nothing;
  const WholeVersion *Base =
      Message.Base.none() ? &Nothing : this->find(Message.Base);
  if (Base == nullptr)
    return transferError(Errc::NotFound, Message, "base is not kept");

  const Catalog Content = patched(Base->Content, Message);
  if (versionOf(Content) != Message.Version)
    return transferError(Errc::DigestMismatch, Message, "catalog differs");
  PartsByDigest Received;
  for (const std::string &Text : Message.Texts)
    Received.emplace(digestOf(Text), std::make_shared<const std::string>(Text));

  auto Version = std::make_shared<WholeVersion>();
  Version->Id = Message.Version;
  Version->Content = Content;
  for (const CatalogEntry &Each : Content.Entries) {
    const PartsByDigest &Source =
        Received.contains(Each.Hash) ? Received : Base->Parts;
    const auto Part = Source.find(Each.Hash);
    if (Part == Source.end())
      return transferError(Errc::Incomplete, Message, Each.Path);
    Version->Parts.emplace(Each.Hash, Part->second);
  }
  return WholeVersionPtr(std::move(Version));
}

std::vector<Digest> CatalogStore::missing(const Catalog &Wanted,
                                          const PartsByDigest &Fetched) const {
  std::set<Digest> Missing;
  for (const CatalogEntry &Each : Wanted.Entries) {
    const bool Kept = std::any_of(this->Versions.begin(), this->Versions.end(),
                                  [&Each](const WholeVersionPtr &Version) {
                                    return Version->Parts.contains(Each.Hash);
                                  });
    if (!Kept && !Fetched.contains(Each.Hash))
      Missing.insert(Each.Hash);
  }
  return {Missing.begin(), Missing.end()};
}

WholeVersionPtr CatalogStore::assemble(const Catalog &Wanted,
                                       const PartsByDigest &Fetched) const {
  auto Version = std::make_shared<WholeVersion>();
  Version->Id = versionOf(Wanted);
  Version->Content = Wanted;
  for (const CatalogEntry &Each : Wanted.Entries) {
    const auto New = Fetched.find(Each.Hash);
    if (New != Fetched.end()) {
      Version->Parts.insert(*New);
      continue;
    }
    for (const WholeVersionPtr &Old : this->Versions) {
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

#include "versionstore.h"

#include "kernel/hashing.h"

#include <algorithm>
#include <set>

namespace bluebellbarrow {

namespace {

constexpr size_t MaxStoredVersions = 6;

Error transferError(Errc Code, const TransferMessage &Message,
                    const std::string &Detail) {
  return makeError(Code, "rebuild version " + Message.Version.text(), "",
                   Detail);
}

const ManifestEntry *findEntry(const Manifest &Content,
                               const std::string &Path) {
  const auto Found =
      std::lower_bound(Content.Entries.begin(), Content.Entries.end(), Path,
                       [](const ManifestEntry &Entry, const std::string &Key) {
                         return Entry.Path < Key;
                       });
  const bool Matches = Found != Content.Entries.end() && Found->Path == Path;
  return Matches ? &*Found : nullptr;
}

/** Returns the manifest of \a Message: its changes applied to \a Base. */
Manifest applyChanges(const Manifest &Base, const TransferMessage &Message) {
  const std::set<std::string> Removed(Message.Removed.begin(),
                                      Message.Removed.end());
  Manifest Result = Message.Changes;
  Result.Entries.clear();
  Result.Entries.reserve(Base.Entries.size() + Message.Changes.Entries.size());
  auto Change = Message.Changes.Entries.begin();
  const auto Last = Message.Changes.Entries.end();
  for (const ManifestEntry &Entry : Base.Entries) {
    while (Change != Last && Change->Path < Entry.Path)
      Result.Entries.push_back(*Change++);
    if (Change != Last && Change->Path == Entry.Path)
      Result.Entries.push_back(*Change++);
    else if (!Removed.contains(Entry.Path))
      Result.Entries.push_back(Entry);
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
  if (this->Versions.size() > MaxStoredVersions)
    this->Versions.pop_back();
}

const FullVersion *VersionStore::find(const VersionId &Id) const {
  const auto Found = std::find_if(
      this->Versions.begin(), this->Versions.end(),
      [&Id](const FullVersionPtr &Version) { return Version->Id == Id; });
  return Found == this->Versions.end() ? nullptr : Found->get();
}

TransferMessage VersionStore::makeTransfer(const VersionId &BaseId) const {
  static const FullVersion Empty;
  const FullVersion &Current = *this->Versions.front();
  const FullVersion *StoredBase =
      BaseId.isNone() ? nullptr : this->find(BaseId);
  const FullVersion &Base = StoredBase == nullptr ? Empty : *StoredBase;

  TransferMessage Message{.Kind = this->Kind,
                          .Version = Current.Id,
                          .Base = Base.Id,
                          .Changes = Current.Content};
  Message.Changes.Entries.clear();
  std::set<Digest> Sent;
  for (const ManifestEntry &Entry : Current.Content.Entries) {
    const ManifestEntry *OldEntry = findEntry(Base.Content, Entry.Path);
    if (OldEntry != nullptr && *OldEntry == Entry)
      continue;
    Message.Changes.Entries.push_back(Entry);
    if (!Base.Parts.contains(Entry.Hash) && Sent.insert(Entry.Hash).second)
      Message.Texts.push_back(*Current.Parts.at(Entry.Hash));
  }
  for (const ManifestEntry &Entry : Base.Content.Entries)
    if (findEntry(Current.Content, Entry.Path) == nullptr)
      Message.Removed.push_back(Entry.Path);
  return Message;
}

Result<FullVersionPtr>
VersionStore::rebuild(const TransferMessage &Message) const {
  static const FullVersion Empty;
  const FullVersion *Base =
      Message.Base.isNone() ? &Empty : this->find(Message.Base);
  if (Base == nullptr)
    return transferError(Errc::NotFound, Message,
                         "base version is not in the store");

  const Manifest Content = applyChanges(Base->Content, Message);
  if (computeVersionId(Content) != Message.Version)
    return transferError(Errc::DigestMismatch, Message,
                         "rebuilt manifest does not match the version");
  PartsByDigest Received;
  for (const std::string &Text : Message.Texts)
    Received.emplace(computeDigest(Text),
                     std::make_shared<const std::string>(Text));

  auto Version = std::make_shared<FullVersion>();
  Version->Id = Message.Version;
  Version->Content = Content;
  for (const ManifestEntry &Entry : Content.Entries) {
    const PartsByDigest &Source =
        Received.contains(Entry.Hash) ? Received : Base->Parts;
    const auto Part = Source.find(Entry.Hash);
    if (Part == Source.end())
      return transferError(Errc::Incomplete, Message, Entry.Path);
    Version->Parts.emplace(Entry.Hash, Part->second);
  }
  return FullVersionPtr(std::move(Version));
}

std::vector<Digest>
VersionStore::missingParts(const Manifest &Content,
                           const PartsByDigest &Fetched) const {
  std::set<Digest> Missing;
  for (const ManifestEntry &Entry : Content.Entries) {
    const bool IsStored =
        std::any_of(this->Versions.begin(), this->Versions.end(),
                    [&Entry](const FullVersionPtr &Version) {
                      return Version->Parts.contains(Entry.Hash);
                    });
    if (!IsStored && !Fetched.contains(Entry.Hash))
      Missing.insert(Entry.Hash);
  }
  return {Missing.begin(), Missing.end()};
}

FullVersionPtr VersionStore::assemble(const Manifest &Content,
                                      const PartsByDigest &Fetched) const {
  auto Version = std::make_shared<FullVersion>();
  Version->Id = computeVersionId(Content);
  Version->Content = Content;
  for (const ManifestEntry &Entry : Content.Entries) {
    const auto FetchedPart = Fetched.find(Entry.Hash);
    if (FetchedPart != Fetched.end()) {
      Version->Parts.insert(*FetchedPart);
      continue;
    }
    for (const FullVersionPtr &Stored : this->Versions) {
      const auto Part = Stored->Parts.find(Entry.Hash);
      if (Part == Stored->Parts.end())
        continue;
      Version->Parts.insert(*Part);
      break;
    }
  }
  return Version;
}

} // namespace bluebellbarrow

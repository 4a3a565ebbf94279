#include "keymemory.h"

namespace bluebellbarrow {

std::string KeyMemory::entryName(const ServiceName &Service,
                                 const RouteName &Route,
                                 const std::string &Key) {
  return Service.str() + "/" + Route.str() + "/" + Key;
}

KeyVerdict KeyMemory::begin(const std::string &Name, uint64_t Print,
                            const RequestKey &Request, TimePoint Now) {
  this->expire(Now);
  const auto Found = this->Entries.find(Name);
  if (Found == this->Entries.end()) {
    if (this->Entries.size() >= this->Options.MaxKeys ||
        this->Bytes >= this->Options.MaxBytes)
      return KeyVerdict::Full;
    this->Entries[Name].Print = Print;
    return KeyVerdict::Run;
  }
  Entry &Known = Found->second;
  if (Known.Print != Print)
    return KeyVerdict::Mismatch;
  if (Known.End)
    return KeyVerdict::Repeat;
  Known.Joined.push_back(Request);
  return KeyVerdict::Join;
}

const ReplyMessage &KeyMemory::ended(const std::string &Name) const {
  return *this->Entries.at(Name).End;
}

std::vector<RequestKey> KeyMemory::finish(const std::string &Name,
                                          const ReplyMessage &End,
                                          TimePoint Now) {
  const auto Found = this->Entries.find(Name);
  if (Found == this->Entries.end())
    return {};
  std::vector<RequestKey> Joined = std::move(Found->second.Joined);
  Found->second.Joined.clear();
  if (End.Result == Outcome::NotRun) {
    this->Entries.erase(Found);
    return Joined;
  }
  Found->second.End = End;
  this->Bytes += End.Answer.Body.size();
  this->Expiries.push_back({.Due = Now + this->Options.Memory, .Name = Name});
  return Joined;
}

void KeyMemory::expire(TimePoint Now) {
  while (!this->Expiries.empty() && this->Expiries.front().Due <= Now) {
    const auto Found = this->Entries.find(this->Expiries.front().Name);
    if (Found != this->Entries.end() && Found->second.End) {
      this->Bytes -= Found->second.End->Answer.Body.size();
      this->Entries.erase(Found);
    }
    this->Expiries.pop_front();
  }
}

} // namespace bluebellbarrow

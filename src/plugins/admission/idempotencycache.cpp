#include "idempotencycache.h"

namespace bluebellbarrow {

std::string IdempotencyCache::entryName(const ServiceName &Service,
                                        const RouteName &Route,
                                        const std::string &Key) {
  return Service.str() + "/" + Route.str() + "/" + Key;
}

IdempotencyDecision IdempotencyCache::begin(const std::string &Name,
                                            uint64_t Fingerprint,
                                            const RequestKey &Request,
                                            TimePoint Now) {
  this->expire(Now);
  const auto Found = this->Entries.find(Name);
  if (Found == this->Entries.end()) {
    if (this->Entries.size() >= this->Options.MaxKeys ||
        this->Bytes >= this->Options.MaxBytes)
      return IdempotencyDecision::Full;
    this->Entries[Name].Fingerprint = Fingerprint;
    return IdempotencyDecision::Run;
  }
  Entry &Known = Found->second;
  if (Known.Fingerprint != Fingerprint)
    return IdempotencyDecision::Mismatch;
  if (Known.Reply)
    return IdempotencyDecision::Replay;
  Known.Joined.push_back(Request);
  return IdempotencyDecision::Join;
}

const ReplyMessage &
IdempotencyCache::recordedReply(const std::string &Name) const {
  return *this->Entries.at(Name).Reply;
}

std::vector<RequestKey> IdempotencyCache::finish(const std::string &Name,
                                                 const ReplyMessage &Reply,
                                                 TimePoint Now) {
  const auto Found = this->Entries.find(Name);
  if (Found == this->Entries.end())
    return {};
  std::vector<RequestKey> Joined = std::move(Found->second.Joined);
  Found->second.Joined.clear();
  if (Reply.Result == Outcome::NotRun) {
    this->Entries.erase(Found);
    return Joined;
  }
  Found->second.Reply = Reply;
  this->Bytes += Reply.Response.Body.size();
  this->Expiries.push_back(
      {.Due = Now + this->Options.Retention, .Name = Name});
  return Joined;
}

void IdempotencyCache::expire(TimePoint Now) {
  while (!this->Expiries.empty() && this->Expiries.front().Due <= Now) {
    const auto Found = this->Entries.find(this->Expiries.front().Name);
    if (Found != this->Entries.end() && Found->second.Reply) {
      this->Bytes -= Found->second.Reply->Response.Body.size();
      this->Entries.erase(Found);
    }
    this->Expiries.pop_front();
  }
}

} // namespace bluebellbarrow

#include "publishedsource.h"

#include "kernel/task.h"

#include <charconv>

namespace bluebellbarrow {

namespace {

constexpr const char *RevisionHeader = "platform-revision";
constexpr size_t MaxValueBytes = size_t{2} * 1024 * 1024;
constexpr size_t WatchSlots = 4;
constexpr size_t PartSlots = 4;

/** Time that an answer may take beyond the time for which it may wait. */
constexpr Duration AnswerLimit = seconds(2);

HttpClientOptions clientOptions(const PlatformSourceOptions &Options,
                                const std::string &Name, size_t Slots) {
  return {.Name = Name,
          .LocalIp = Options.LocalIp,
          .Remote = Options.Platform,
          .SlotCount = Slots,
          .MaxBodyBytes = MaxValueBytes};
}

std::string targetOf(const ReadPlatform &What) {
  const std::string Path =
      What.Kind == ResourceKind::Config ? "/v1/values/manifest" : "/v1/vms";
  return Path + "?changed-since=" + std::to_string(What.ChangedSince) +
         "&wait-ms=" + std::to_string(toMilliseconds(What.LongPollTimeout));
}

HttpRequest getRequest(const std::string &Target, const std::string &Host) {
  return {.Method = "GET",
          .RequestTarget = Target,
          .Headers = {{"Host", Host}},
          .Body = {}};
}

const PlatformSourceRegistry::Registration<PublishedSource>
    Registered("published");

} // namespace

PublishedSource::PublishedSource(const PlatformSourceOptions &Options)
    : Owner(Options.Owner),
      WatchClient(Owner, clientOptions(Options, "platform-watch", WatchSlots)),
      BlobClient(Owner, clientOptions(Options, "platform-part", PartSlots)),
      Host(Options.Platform.str()) {}

ReadResult PublishedSource::toResult(const CallResult &Result) {
  if (Result.Outcome != CallOutcome::Answered)
    return {.Status = ReadStatus::Failed, .Cause = Result.Cause};
  const HttpResponse &Response = Result.Response;
  if (Response.Status == 304)
    return {.Status = ReadStatus::Unchanged};
  if (Response.Status == 404)
    return {.Status = ReadStatus::NotFound};
  if (Response.Status != 200)
    return {.Status = ReadStatus::Failed,
            .Cause = "status " + std::to_string(Response.Status)};
  ReadResult Value{.Status = ReadStatus::Found, .Text = Response.Body};
  const std::string_view Revision =
      headerValue(Response.Headers, RevisionHeader);
  std::from_chars(Revision.data(), Revision.data() + Revision.size(),
                  Value.Revision);
  return Value;
}

void PublishedSource::read(const ReadPlatform &What, Done OnDone) {
  if (this->WatchClient.busySlots() == this->WatchClient.slotCount()) {
    this->Owner.post([OnDone = std::move(OnDone)] {
      OnDone({.Status = ReadStatus::Failed, .Cause = "too many reads"});
    });
    return;
  }
  this->WatchClient.call(
      getRequest(targetOf(What), this->Host),
      What.LongPollTimeout + AnswerLimit,
      [OnDone = std::move(OnDone)](const CallResult &Result) {
        OnDone(toResult(Result));
      });
}

void PublishedSource::readBlob(const Digest &Hash, Done OnDone) {
  const std::string Target = "/v1/values/" + Hash.str();
  if (this->BlobClient.busySlots() < this->BlobClient.slotCount())
    this->startBlobRead(Target, std::move(OnDone));
  else
    this->PendingReads.push_back({Target, std::move(OnDone)});
}

void PublishedSource::startBlobRead(const std::string &Target, Done OnDone) {
  this->BlobClient.call(
      getRequest(Target, this->Host), AnswerLimit,
      [this, OnDone = std::move(OnDone)](const CallResult &Result) {
        OnDone(toResult(Result));
        if (this->PendingReads.empty())
          return;
        PendingRead Next = std::move(this->PendingReads.front());
        this->PendingReads.pop_front();
        this->startBlobRead(Next.Target, std::move(Next.OnDone));
      });
}

} // namespace bluebellbarrow

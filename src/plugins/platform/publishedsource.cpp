#include "publishedsource.h"

#include "kernel/task.h"

#include <charconv>

namespace bluebellbarrow {

namespace {

constexpr const char *RevisionHeader = "platform-revision";
constexpr size_t MaxValueBytes = size_t{2} * 1024 * 1024;
constexpr size_t WatchSlots = 4;
constexpr size_t BlobSlots = 4;

/** Time allowed for a response, in addition to the long-poll timeout. */
constexpr Duration ResponseTimeout = seconds(2);

HttpClientOptions clientOptions(const PlatformSourceOptions &Options,
                                const std::string &Name, size_t Slots) {
  return {.Name = Name,
          .LocalIp = Options.LocalIp,
          .Remote = Options.Platform,
          .SlotCount = Slots,
          .MaxBodyBytes = MaxValueBytes};
}

std::string formatRequestTarget(const ReadPlatform &Request) {
  const std::string Path =
      Request.Kind == ResourceKind::Config ? "/v1/values/manifest" : "/v1/vms";
  return Path + "?changed-since=" + std::to_string(Request.ChangedSince) +
         "&wait-ms=" + std::to_string(toMilliseconds(Request.LongPollTimeout));
}

HttpRequest makeGetRequest(const std::string &RequestTarget,
                           const std::string &Host) {
  return {.Method = "GET",
          .RequestTarget = RequestTarget,
          .Headers = {{"Host", Host}},
          .Body = {}};
}

const PlatformSourceRegistry::Registration<PublishedSource>
    Registered("published");

} // namespace

PublishedSource::PublishedSource(const PlatformSourceOptions &Options)
    : Owner(Options.Owner),
      WatchClient(Owner, clientOptions(Options, "platform-watch", WatchSlots)),
      BlobClient(Owner, clientOptions(Options, "platform-part", BlobSlots)),
      Host(Options.Platform.str()) {}

ReadResult PublishedSource::toReadResult(const CallResult &Result) {
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
  ReadResult Read{.Status = ReadStatus::Found, .Text = Response.Body};
  const std::string_view Revision =
      headerValue(Response.Headers, RevisionHeader);
  std::from_chars(Revision.data(), Revision.data() + Revision.size(),
                  Read.Revision);
  return Read;
}

void PublishedSource::read(const ReadPlatform &Request, Done OnDone) {
  if (this->WatchClient.busySlots() == this->WatchClient.slotCount()) {
    this->Owner.post([OnDone = std::move(OnDone)] {
      OnDone({.Status = ReadStatus::Failed, .Cause = "too many reads"});
    });
    return;
  }
  this->WatchClient.call(
      makeGetRequest(formatRequestTarget(Request), this->Host),
      Request.LongPollTimeout + ResponseTimeout,
      [OnDone = std::move(OnDone)](const CallResult &Result) {
        OnDone(toReadResult(Result));
      });
}

void PublishedSource::readBlob(const Digest &Hash, Done OnDone) {
  const std::string RequestTarget = "/v1/values/" + Hash.str();
  if (this->BlobClient.busySlots() < this->BlobClient.slotCount())
    this->startBlobRead(RequestTarget, std::move(OnDone));
  else
    this->QueuedBlobReads.push_back({RequestTarget, std::move(OnDone)});
}

void PublishedSource::startBlobRead(const std::string &RequestTarget,
                                    Done OnDone) {
  this->BlobClient.call(
      makeGetRequest(RequestTarget, this->Host), ResponseTimeout,
      [this, OnDone = std::move(OnDone)](const CallResult &Result) {
        OnDone(toReadResult(Result));
        if (this->QueuedBlobReads.empty())
          return;
        QueuedBlobRead Next = std::move(this->QueuedBlobReads.front());
        this->QueuedBlobReads.pop_front();
        this->startBlobRead(Next.RequestTarget, std::move(Next.OnDone));
      });
}

} // namespace bluebellbarrow

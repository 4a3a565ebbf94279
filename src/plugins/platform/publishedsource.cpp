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
          .Slots = Slots,
          .MaxBodyBytes = MaxValueBytes};
}

std::string targetOf(const ReadPlatform &What) {
  const std::string Path =
      What.Kind == ItemKind::Config ? "/v1/values/manifest" : "/v1/vms";
  return Path + "?changed-since=" + std::to_string(What.ChangedSince) +
         "&wait-ms=" + std::to_string(toMilliseconds(What.Wait));
}

HttpRequest getRequest(const std::string &Target, const std::string &Host) {
  return {.Method = "GET",
          .Target = Target,
          .Headers = {{"Host", Host}},
          .Body = {}};
}

const PlatformSourceRegistry::Registration<PublishedSource>
    Registered("published");

} // namespace

PublishedSource::PublishedSource(const PlatformSourceOptions &Options)
    : Owner(Options.Owner),
      Watches(Owner, clientOptions(Options, "platform-watch", WatchSlots)),
      Parts(Owner, clientOptions(Options, "platform-part", PartSlots)),
      Host(Options.Platform.text()) {}

ReadResult PublishedSource::toResult(const CallResult &Result) {
  if (Result.End != CallEnd::Answered)
    return {.End = ReadEnd::Failed, .Cause = Result.Cause};
  const HttpResponse &Response = Result.Response;
  if (Response.Status == 304)
    return {.End = ReadEnd::Unchanged};
  if (Response.Status == 404)
    return {.End = ReadEnd::Missing};
  if (Response.Status != 200)
    return {.End = ReadEnd::Failed,
            .Cause = "status " + std::to_string(Response.Status)};
  ReadResult Value{.End = ReadEnd::Value, .Text = Response.Body};
  const std::string_view Revision =
      headerValue(Response.Headers, RevisionHeader);
  std::from_chars(Revision.data(), Revision.data() + Revision.size(),
                  Value.Revision);
  return Value;
}

void PublishedSource::read(const ReadPlatform &What, Done OnDone) {
  if (this->Watches.busy() == this->Watches.slots()) {
    this->Owner.post([OnDone = std::move(OnDone)] {
      OnDone({.End = ReadEnd::Failed, .Cause = "too many reads"});
    });
    return;
  }
  this->Watches.call(getRequest(targetOf(What), this->Host),
                     What.Wait + AnswerLimit,
                     [OnDone = std::move(OnDone)](const CallResult &Result) {
                       OnDone(toResult(Result));
                     });
}

void PublishedSource::readPart(const Digest &Hash, Done OnDone) {
  const std::string Target = "/v1/values/" + Hash.str();
  if (this->Parts.busy() < this->Parts.slots())
    this->startPart(Target, std::move(OnDone));
  else
    this->Queue.push_back({Target, std::move(OnDone)});
}

void PublishedSource::startPart(const std::string &Target, Done OnDone) {
  this->Parts.call(
      getRequest(Target, this->Host), AnswerLimit,
      [this, OnDone = std::move(OnDone)](const CallResult &Result) {
        OnDone(toResult(Result));
        if (this->Queue.empty())
          return;
        Waiting Next = std::move(this->Queue.front());
        this->Queue.pop_front();
        this->startPart(Next.Target, std::move(Next.OnDone));
      });
}

} // namespace bluebellbarrow

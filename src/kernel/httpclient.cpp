#include "httpclient.h"

#include "httpparser.h"
#include "task.h"
#include "tcpconnection.h"

#include <algorithm>
#include <charconv>

namespace bluebellbarrow {

namespace {

constexpr size_t MaxHeaderBytes = size_t{64} * 1024;

/** Share of the server's idle time after which a connection is not reused. */
constexpr double IdleShare = 0.8;

/** Time that an answer may take which arrives part by part. */
constexpr Duration LongestAnswer = seconds(10);

/** First status of a final answer; those below announce one. */
constexpr int FirstFinalStatus = 200;

/** Returns how long an idle connection lives after \a Response. */
Duration idleTime(const HttpResponse &Response, Duration Default) {
  constexpr std::string_view Parameter = "timeout=";
  const std::string_view Value = headerValue(Response.Headers, "keep-alive");
  const size_t Start = Value.find(Parameter);
  int64_t Seconds = 0;
  if (Start == std::string_view::npos)
    return Default;
  const char *Begin = Value.data() + Start + Parameter.size();
  std::from_chars(Begin, Value.data() + Value.size(), Seconds);
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(static_cast<double>(Seconds) * IdleShare));
}

} // namespace

/** One connection, and the call that it carries. */
struct HttpClient::Slot {
  Slot(Task &Owner, const HttpLimits &Limits, std::function<void()> OnLate)
      : Parser(HttpParser::Kind::Response, Limits),
        Limit(Owner, std::move(OnLate)) {}

  std::unique_ptr<TcpConnection> Connection;
  HttpParser Parser;
  Timer Limit;
  Done OnDone;

  /** The request as sent, until the connection has taken it. */
  std::string Bytes;

  /** Value that the answer must repeat. */
  std::string Echo;

  TimePoint Began;
  TimePoint IdleUntil;
  TimePoint LastUse;

  /** Bytes that the system had taken before this call. */
  uint64_t SentBefore = 0;

  bool Bodyless = false;
  bool Reused = false;

  /** The connection must not carry another call. */
  bool Spent = false;

  bool busy() const { return this->OnDone != nullptr; }

  bool reusable(TimePoint Now) const {
    return this->Connection != nullptr && this->Connection->ready() &&
           Now < this->IdleUntil;
  }
};

HttpClient::HttpClient(Task &Owner, HttpClientOptions NewOptions)
    : Owner(Owner), Options(std::move(NewOptions)) {
  this->setSlots(this->Options.Slots);
}

HttpClient::~HttpClient() = default;

void HttpClient::setSlots(size_t Count) {
  const HttpLimits Limits{.MaxHeaderBytes = MaxHeaderBytes,
                          .MaxBodyBytes = this->Options.MaxBodyBytes};
  while (this->Slots.size() < Count) {
    const size_t Index = this->Slots.size();
    this->Slots.push_back(
        std::make_unique<Slot>(this->Owner, Limits, [this, Index] {
          this->fail(Index, "no answer in time");
        }));
  }
  while (this->Slots.size() > Count && !this->Slots.back()->busy())
    this->Slots.pop_back();
}

size_t HttpClient::busy() const {
  return static_cast<size_t>(
      std::count_if(this->Slots.begin(), this->Slots.end(),
                    [](const auto &Each) { return Each->busy(); }));
}

size_t HttpClient::chooseSlot(TimePoint Now) {
  size_t Best = this->Slots.size();
  for (size_t Index = 0; Index < this->Slots.size(); ++Index) {
    const Slot &Each = *this->Slots[Index];
    if (Each.busy())
      continue;
    const bool Better =
        Best == this->Slots.size() ||
        (Each.reusable(Now) && (!this->Slots[Best]->reusable(Now) ||
                                Each.LastUse > this->Slots[Best]->LastUse));
    if (Better)
      Best = Index;
  }
  return Best;
}

size_t HttpClient::call(const HttpRequest &Request, Duration Timeout,
                        Done OnDone) {
  const TimePoint Now = Task::now();
  const size_t Index = this->chooseSlot(Now);
  Slot &Target = *this->Slots[Index];
  Target.OnDone = std::move(OnDone);
  Target.Began = Now;
  Target.Bytes = requestBytes(Request);
  Target.Echo = headerValue(Request.Headers, this->Options.EchoedHeader);
  Target.Bodyless = Request.Method == "HEAD";
  Target.Reused = Target.reusable(Now);
  Target.Spent = false;
  Target.Limit.start(Timeout);
  if (Target.Reused)
    this->sendRequest(Target);
  else
    this->connect(Index);
  return Index;
}

void HttpClient::connect(size_t Index) {
  Slot &Target = *this->Slots[Index];
  this->Opened += 1;
  Target.Parser.reset();
  Target.Connection = std::make_unique<TcpConnection>(
      this->Owner,
      TcpConnectOptions{.LocalIp = this->Options.LocalIp,
                        .Remote = this->Options.Remote},
      TcpEvents{
          .Connected = nullptr,
          .Received =
              [this, Index](std::string_view Bytes) {
                this->receive(Index, Bytes);
              },
          .Ended = [this, Index](TcpEnd How) { this->onEnded(Index, How); },
          .Drained = nullptr});
  this->sendRequest(Target);
}

void HttpClient::sendRequest(Slot &Target) {
  Target.Parser.setBodyless(Target.Bodyless);
  Target.SentBefore = Target.Connection->sentBytes();
  Target.Connection->send(Target.Bytes);
  Target.Bytes = std::string();
}

void HttpClient::extendLimit(Slot &Target) {
  const Duration Stall = this->Options.StallTime;
  if (Stall > Duration::zero() && Task::now() - Target.Began < LongestAnswer)
    Target.Limit.start(Stall);
}

void HttpClient::receive(size_t Index, std::string_view Bytes) {
  Slot &Target = *this->Slots[Index];
  if (!Target.busy()) {
    Target.Connection.reset();
    return;
  }
  this->extendLimit(Target);
  Target.Parser.feed(Bytes);
  while (Target.Parser.whole()) {
    const bool Interim = Target.Parser.response().Status < FirstFinalStatus;
    const bool Foreign = !Interim && this->isForeign(Target);
    if (!Interim && !Foreign) {
      this->onWhole(Target);
      return;
    }
    Target.Spent = Target.Spent || Foreign;
    Target.Parser.next();
  }
  if (Target.Parser.fault() != HttpFault::None)
    this->fail(Index,
               std::string("answer: ") + faultText(Target.Parser.fault()));
}

bool HttpClient::isForeign(Slot &Target) const {
  const std::string &Name = this->Options.EchoedHeader;
  return !Name.empty() && !Target.Echo.empty() &&
         headerValue(Target.Parser.response().Headers, Name) != Target.Echo;
}

void HttpClient::onWhole(Slot &Target) {
  CallResult Result{.End = CallEnd::Answered,
                    .Response = std::move(Target.Parser.response()),
                    .Cause = {},
                    .Reused = Target.Reused};
  const TimePoint Now = Task::now();
  Target.IdleUntil = Now + idleTime(Result.Response, this->Options.IdleTime);
  Target.LastUse = Now;
  const bool Keep = Target.Parser.keepsAlive() && !Target.Spent &&
                    Target.Parser.surplus() == 0 &&
                    Target.Connection->queued() == 0 &&
                    Target.Connection->ready();
  if (Keep)
    Target.Parser.next();
  else
    Target.Connection.reset();
  finish(Target, Result);
}

void HttpClient::onEnded(size_t Index, TcpEnd How) {
  Slot &Target = *this->Slots[Index];
  if (!Target.busy()) {
    Target.Connection.reset();
    return;
  }
  if (How == TcpEnd::Finished) {
    Target.Parser.finish();
    if (Target.Parser.whole() && !this->isForeign(Target)) {
      this->onWhole(Target);
      return;
    }
  }
  this->fail(Index, How == TcpEnd::Unreachable ? "no connection"
                                               : "connection closed");
}

void HttpClient::fail(size_t Index, const std::string &Cause) {
  Slot &Target = *this->Slots[Index];
  if (!Target.busy())
    return;
  const bool Sent = Target.Connection != nullptr &&
                    Target.Connection->sentBytes() > Target.SentBefore;
  Target.Connection.reset();
  finish(Target, {.End = Sent ? CallEnd::Broken : CallEnd::NotSent,
                  .Response = {},
                  .Cause = Cause,
                  .Reused = Target.Reused});
}

void HttpClient::finish(Slot &Target, const CallResult &Result) {
  Target.Limit.cancel();
  const Done OnDone = std::move(Target.OnDone);
  Target.OnDone = nullptr;
  OnDone(Result);
}

void HttpClient::cancel(size_t Index, const std::string &Cause) {
  this->fail(Index, Cause);
}

} // namespace bluebellbarrow

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
        TimeoutTimer(Owner, std::move(OnLate)) {}

  std::unique_ptr<TcpConnection> Connection;
  HttpParser Parser;
  Timer TimeoutTimer;
  CompletionHandler OnDone;

  /** The request as sent, until the connection has taken it. */
  std::string EncodedRequest;

  /** Value that the answer must repeat. */
  std::string ExpectedEcho;

  TimePoint StartTime;
  TimePoint IdleUntil;
  TimePoint LastUse;

  /** Bytes that the system had taken before this call. */
  uint64_t SentBytesAtStart = 0;

  bool IsHeadRequest = false;
  bool ConnectionReused = false;

  /** The connection must not carry another call. */
  bool MustClose = false;

  bool isBusy() const { return this->OnDone != nullptr; }

  bool isReusable(TimePoint Now) const {
    return this->Connection != nullptr && this->Connection->isReady() &&
           Now < this->IdleUntil;
  }
};

HttpClient::HttpClient(Task &Owner, HttpClientOptions NewOptions)
    : Owner(Owner), Options(std::move(NewOptions)) {
  this->setSlotCount(this->Options.SlotCount);
}

HttpClient::~HttpClient() = default;

void HttpClient::setSlotCount(size_t Count) {
  const HttpLimits Limits{.MaxHeaderBytes = MaxHeaderBytes,
                          .MaxBodyBytes = this->Options.MaxBodyBytes};
  while (this->Slots.size() < Count) {
    const size_t Index = this->Slots.size();
    this->Slots.push_back(
        std::make_unique<Slot>(this->Owner, Limits, [this, Index] {
          this->failCall(Index, "no answer in time");
        }));
  }
  while (this->Slots.size() > Count && !this->Slots.back()->isBusy())
    this->Slots.pop_back();
}

size_t HttpClient::busySlots() const {
  return static_cast<size_t>(
      std::count_if(this->Slots.begin(), this->Slots.end(),
                    [](const auto &Each) { return Each->isBusy(); }));
}

size_t HttpClient::chooseSlot(TimePoint Now) {
  size_t Best = this->Slots.size();
  for (size_t Index = 0; Index < this->Slots.size(); ++Index) {
    const Slot &Each = *this->Slots[Index];
    if (Each.isBusy())
      continue;
    const bool Better =
        Best == this->Slots.size() ||
        (Each.isReusable(Now) && (!this->Slots[Best]->isReusable(Now) ||
                                  Each.LastUse > this->Slots[Best]->LastUse));
    if (Better)
      Best = Index;
  }
  return Best;
}

size_t HttpClient::call(const HttpRequest &Request, Duration Timeout,
                        CompletionHandler OnDone) {
  const TimePoint Now = Task::now();
  const size_t Index = this->chooseSlot(Now);
  Slot &Target = *this->Slots[Index];
  Target.OnDone = std::move(OnDone);
  Target.StartTime = Now;
  Target.EncodedRequest = encodeRequest(Request);
  Target.ExpectedEcho =
      headerValue(Request.Headers, this->Options.EchoedHeader);
  Target.IsHeadRequest = Request.Method == "HEAD";
  Target.ConnectionReused = Target.isReusable(Now);
  Target.MustClose = false;
  Target.TimeoutTimer.start(Timeout);
  if (Target.ConnectionReused)
    this->sendRequest(Target);
  else
    this->connect(Index);
  return Index;
}

void HttpClient::connect(size_t Index) {
  Slot &Target = *this->Slots[Index];
  this->ConnectionsOpened += 1;
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
          .Closed = [this,
                     Index](TcpCloseReason How) { this->onClosed(Index, How); },
          .Drained = nullptr});
  this->sendRequest(Target);
}

void HttpClient::sendRequest(Slot &Target) {
  Target.Parser.setSkipBody(Target.IsHeadRequest);
  Target.SentBytesAtStart = Target.Connection->sentBytes();
  Target.Connection->send(Target.EncodedRequest);
  Target.EncodedRequest = std::string();
}

void HttpClient::extendTimeout(Slot &Target) {
  const Duration Stall = this->Options.StallTimeout;
  if (Stall > Duration::zero() &&
      Task::now() - Target.StartTime < LongestAnswer)
    Target.TimeoutTimer.start(Stall);
}

void HttpClient::receive(size_t Index, std::string_view Bytes) {
  Slot &Target = *this->Slots[Index];
  if (!Target.isBusy()) {
    Target.Connection.reset();
    return;
  }
  this->extendTimeout(Target);
  Target.Parser.feed(Bytes);
  while (Target.Parser.isComplete()) {
    const bool Interim = Target.Parser.response().Status < FirstFinalStatus;
    const bool Foreign = !Interim && this->isStaleResponse(Target);
    if (!Interim && !Foreign) {
      this->onResponseComplete(Target);
      return;
    }
    Target.MustClose = Target.MustClose || Foreign;
    Target.Parser.next();
  }
  if (Target.Parser.error() != HttpParseError::None)
    this->failCall(Index, std::string("answer: ") +
                              parseErrorText(Target.Parser.error()));
}

bool HttpClient::isStaleResponse(Slot &Target) const {
  const std::string &Name = this->Options.EchoedHeader;
  return !Name.empty() && !Target.ExpectedEcho.empty() &&
         headerValue(Target.Parser.response().Headers, Name) !=
             Target.ExpectedEcho;
}

void HttpClient::onResponseComplete(Slot &Target) {
  CallResult Result{.Outcome = CallOutcome::Answered,
                    .Response = std::move(Target.Parser.response()),
                    .Cause = {},
                    .ConnectionReused = Target.ConnectionReused};
  const TimePoint Now = Task::now();
  Target.IdleUntil = Now + idleTime(Result.Response, this->Options.IdleTimeout);
  Target.LastUse = Now;
  const bool Keep = Target.Parser.shouldKeepAlive() && !Target.MustClose &&
                    Target.Parser.surplusBytes() == 0 &&
                    Target.Connection->queuedBytes() == 0 &&
                    Target.Connection->isReady();
  if (Keep)
    Target.Parser.next();
  else
    Target.Connection.reset();
  completeCall(Target, Result);
}

void HttpClient::onClosed(size_t Index, TcpCloseReason How) {
  Slot &Target = *this->Slots[Index];
  if (!Target.isBusy()) {
    Target.Connection.reset();
    return;
  }
  if (How == TcpCloseReason::PeerClosed) {
    Target.Parser.finish();
    if (Target.Parser.isComplete() && !this->isStaleResponse(Target)) {
      this->onResponseComplete(Target);
      return;
    }
  }
  this->failCall(Index, How == TcpCloseReason::ConnectFailed
                            ? "no connection"
                            : "connection closed");
}

void HttpClient::failCall(size_t Index, const std::string &Cause) {
  Slot &Target = *this->Slots[Index];
  if (!Target.isBusy())
    return;
  const bool Sent = Target.Connection != nullptr &&
                    Target.Connection->sentBytes() > Target.SentBytesAtStart;
  Target.Connection.reset();
  completeCall(
      Target, {.Outcome = Sent ? CallOutcome::NoResponse : CallOutcome::NotSent,
               .Response = {},
               .Cause = Cause,
               .ConnectionReused = Target.ConnectionReused});
}

void HttpClient::completeCall(Slot &Target, const CallResult &Result) {
  Target.TimeoutTimer.cancel();
  const CompletionHandler OnDone = std::move(Target.OnDone);
  Target.OnDone = nullptr;
  OnDone(Result);
}

void HttpClient::cancel(size_t Index, const std::string &Cause) {
  this->failCall(Index, Cause);
}

} // namespace bluebellbarrow

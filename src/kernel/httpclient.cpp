#include "httpclient.h"

#include "httpparser.h"
#include "releasememory.h"
#include "task.h"
#include "tcpconnection.h"

#include <algorithm>
#include <charconv>

namespace bluebellbarrow {

namespace {

constexpr size_t MaxHeaderBytes = size_t{64} * 1024;

/**
 * Fraction of the server's idle timeout after which a connection is no longer
 * reused.
 */
constexpr double IdleTimeoutFraction = 0.8;

/**
 * Time after the start of a call in which received bytes extend its timeout.
 */
constexpr Duration TimeoutExtensionPeriod = seconds(10);

/** Responses up to this size are not ended for what the process holds. */
constexpr size_t MinEndedBytes = size_t{64} * 1024;

/** Responses that a call may receive before its own, interim or stale ones. */
constexpr int MaxEarlierResponses = 16;

/** Returns how long an idle connection may be reused after \a Response. */
Duration idleTimeout(const HttpResponse &Response, Duration Default) {
  constexpr std::string_view Parameter = "timeout=";
  const std::string_view Value = headerValue(Response.Headers, "keep-alive");
  const size_t Start = Value.find(Parameter);
  int64_t Seconds = 0;
  if (Start == std::string_view::npos)
    return Default;
  const char *Begin = Value.data() + Start + Parameter.size();
  std::from_chars(Begin, Value.data() + Value.size(), Seconds);
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
      static_cast<double>(Seconds) * IdleTimeoutFraction));
}

bool isLimitError(HttpParseError ParseError) {
  return ParseError == HttpParseError::HeaderTooLarge ||
         ParseError == HttpParseError::BodyTooLarge;
}

} // namespace

/** One connection and the call that it carries; busy while it has a call. */
struct HttpClient::Slot {
  Slot(Task &Owner, const HttpLimits &Limits, std::function<void()> OnTimeout)
      : Parser(HttpParser::Kind::Response, Limits),
        TimeoutTimer(Owner, std::move(OnTimeout)) {}

  std::unique_ptr<TcpConnection> Connection;
  HttpParser Parser;
  Timer TimeoutTimer;
  CompletionHandler OnDone;

  /** The encoded request, until it is passed to the connection. */
  std::string EncodedRequest;

  /** Value of EchoedHeader in the request; the response must repeat it. */
  std::string ExpectedEcho;

  TimePoint StartTime;

  /** Time until which the idle connection may be reused. */
  TimePoint ReusableUntil;

  /** When the last response was completed. */
  TimePoint LastUseTime;

  /** Bytes sent on the connection before this call. */
  uint64_t SentBytesAtStart = 0;

  /** Bytes of the response that are buffered so far. */
  size_t BufferedBytes = 0;

  /** Interim and stale responses received for this call. */
  int EarlierResponses = 0;

  bool IsHeadRequest = false;
  bool ConnectionReused = false;

  /** The connection must not carry another call. */
  bool MustClose = false;

  bool isBusy() const { return this->OnDone != nullptr; }

  bool isReusable(TimePoint Now) const {
    return this->Connection != nullptr && this->Connection->isReady() &&
           Now < this->ReusableUntil;
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
                    [](const auto &Entry) { return Entry->isBusy(); }));
}

size_t HttpClient::chooseSlot(TimePoint Now) {
  size_t Best = this->Slots.size();
  for (size_t Index = 0; Index < this->Slots.size(); ++Index) {
    const Slot &Candidate = *this->Slots[Index];
    if (Candidate.isBusy())
      continue;
    const bool IsBetter =
        Best == this->Slots.size() ||
        (Candidate.isReusable(Now) &&
         (!this->Slots[Best]->isReusable(Now) ||
          Candidate.LastUseTime > this->Slots[Best]->LastUseTime));
    if (IsBetter)
      Best = Index;
  }
  return Best;
}

size_t HttpClient::call(const HttpRequest &Request, Duration Timeout,
                        CompletionHandler OnDone) {
  const TimePoint Now = Task::now();
  const size_t Index = this->chooseSlot(Now);
  Slot &CallSlot = *this->Slots[Index];
  CallSlot.OnDone = std::move(OnDone);
  CallSlot.StartTime = Now;
  CallSlot.EncodedRequest = encodeRequest(Request);
  CallSlot.ExpectedEcho =
      headerValue(Request.Headers, this->Options.EchoedHeader);
  CallSlot.IsHeadRequest = Request.Method == "HEAD";
  CallSlot.ConnectionReused = CallSlot.isReusable(Now);
  CallSlot.MustClose = false;
  CallSlot.EarlierResponses = 0;
  CallSlot.TimeoutTimer.start(Timeout);
  if (CallSlot.ConnectionReused)
    this->sendRequest(CallSlot);
  else
    this->connect(Index);
  return Index;
}

void HttpClient::connect(size_t Index) {
  Slot &CallSlot = *this->Slots[Index];
  this->ConnectionsOpened += 1;
  CallSlot.Parser.reset();
  CallSlot.Connection = std::make_unique<TcpConnection>(
      this->Owner,
      TcpConnectOptions{.LocalIp = this->Options.LocalIp,
                        .Remote = this->Options.Remote},
      TcpEvents{.Connected = nullptr,
                .Received =
                    [this, Index](std::string_view Bytes) {
                      this->receive(Index, Bytes);
                    },
                .Closed =
                    [this, Index](TcpCloseReason Reason) {
                      this->onClosed(Index, Reason);
                    },
                .Drained = nullptr});
  this->sendRequest(CallSlot);
}

void HttpClient::sendRequest(Slot &CallSlot) {
  CallSlot.Parser.setSkipBody(CallSlot.IsHeadRequest);
  CallSlot.SentBytesAtStart = CallSlot.Connection->sentBytes();
  CallSlot.Connection->send(CallSlot.EncodedRequest);
  releaseMemory(CallSlot.EncodedRequest);
}

void HttpClient::extendTimeout(Slot &CallSlot) {
  const Duration Stall = this->Options.StallTimeout;
  if (Stall > Duration::zero() &&
      Task::now() - CallSlot.StartTime < TimeoutExtensionPeriod)
    CallSlot.TimeoutTimer.start(Stall);
}

void HttpClient::receive(size_t Index, std::string_view Bytes) {
  Slot &CallSlot = *this->Slots[Index];
  if (!CallSlot.isBusy()) {
    CallSlot.Connection.reset();
    return;
  }
  this->extendTimeout(CallSlot);
  CallSlot.Parser.feed(Bytes);
  while (CallSlot.Parser.isComplete()) {
    const bool IsInterim = !isFinalStatus(CallSlot.Parser.response().Status);
    const bool IsStale = !IsInterim && this->isStaleResponse(CallSlot);
    if (!IsInterim && !IsStale) {
      this->onResponseComplete(CallSlot);
      return;
    }
    CallSlot.MustClose = CallSlot.MustClose || IsStale;
    CallSlot.EarlierResponses += 1;
    CallSlot.Parser.next();
  }
  const HttpParseError ParseError = CallSlot.Parser.error();
  if (ParseError != HttpParseError::None) {
    this->failCall(Index, std::string("answer: ") + parseErrorText(ParseError),
                   isLimitError(ParseError) ? FailureKind::ExceededLimit
                                            : FailureKind::Other);
    return;
  }
  if (CallSlot.EarlierResponses > MaxEarlierResponses) {
    this->failCall(Index, "answer: too many interim responses",
                   FailureKind::ExceededLimit);
    return;
  }
  this->updateBufferedBytes(CallSlot);
  if (this->isOverBufferLimit())
    this->failLongestResponse();
}

bool HttpClient::isOverBufferLimit() const {
  if (this->Options.Budget == nullptr)
    return this->BufferedBytes > this->Options.MaxBufferedBytes;
  const size_t Longest =
      this->Slots[this->findLongestResponse()]->BufferedBytes;
  return Longest > MinEndedBytes && this->Options.Budget->mustEnd(Longest);
}

size_t HttpClient::findLongestResponse() const {
  const auto Longest = std::max_element(
      this->Slots.begin(), this->Slots.end(), [](const auto &A, const auto &B) {
        return A->BufferedBytes < B->BufferedBytes;
      });
  return static_cast<size_t>(Longest - this->Slots.begin());
}

void HttpClient::updateBufferedBytes(Slot &CallSlot) {
  this->BufferedBytes -= CallSlot.BufferedBytes;
  CallSlot.BufferedBytes =
      CallSlot.isBusy() ? CallSlot.Parser.bufferedBytes() : 0;
  this->BufferedBytes += CallSlot.BufferedBytes;
}

void HttpClient::failLongestResponse() {
  this->failCall(this->findLongestResponse(),
                 "answer: responses hold too many bytes",
                 FailureKind::ExceededLimit);
}

bool HttpClient::isStaleResponse(Slot &CallSlot) const {
  const std::string &Name = this->Options.EchoedHeader;
  return !Name.empty() && !CallSlot.ExpectedEcho.empty() &&
         headerValue(CallSlot.Parser.response().Headers, Name) !=
             CallSlot.ExpectedEcho;
}

void HttpClient::onResponseComplete(Slot &CallSlot) {
  CallResult Result{.Outcome = CallOutcome::Answered,
                    .Response = std::move(CallSlot.Parser.response()),
                    .Cause = {},
                    .ConnectionReused = CallSlot.ConnectionReused};
  const TimePoint Now = Task::now();
  CallSlot.ReusableUntil =
      Now + idleTimeout(Result.Response, this->Options.IdleTimeout);
  CallSlot.LastUseTime = Now;
  const bool Reusable =
      CallSlot.Parser.shouldKeepAlive() && !CallSlot.MustClose &&
      CallSlot.Parser.surplusBytes() == 0 &&
      CallSlot.Connection->queuedBytes() == 0 && CallSlot.Connection->isReady();
  if (Reusable)
    CallSlot.Parser.next();
  else
    CallSlot.Connection.reset();
  this->completeCall(CallSlot, std::move(Result));
}

void HttpClient::onClosed(size_t Index, TcpCloseReason Reason) {
  Slot &CallSlot = *this->Slots[Index];
  if (!CallSlot.isBusy()) {
    CallSlot.Connection.reset();
    return;
  }
  if (Reason == TcpCloseReason::PeerClosed) {
    CallSlot.Parser.finish();
    if (CallSlot.Parser.isComplete() && !this->isStaleResponse(CallSlot)) {
      this->onResponseComplete(CallSlot);
      return;
    }
  }
  this->failCall(Index,
                 Reason == TcpCloseReason::ConnectFailed ? "no connection"
                                                         : "connection closed",
                 FailureKind::ConnectionLost);
}

void HttpClient::failCall(size_t Index, const std::string &Cause,
                          FailureKind Kind) {
  Slot &CallSlot = *this->Slots[Index];
  if (!CallSlot.isBusy())
    return;
  const bool Sent =
      CallSlot.Connection != nullptr &&
      CallSlot.Connection->sentBytes() > CallSlot.SentBytesAtStart;
  CallSlot.Connection.reset();
  CallSlot.Parser.reset();
  completeCall(
      CallSlot,
      {.Outcome = Sent ? CallOutcome::NoResponse : CallOutcome::NotSent,
       .Response = {},
       .Cause = Cause,
       .ConnectionReused = CallSlot.ConnectionReused,
       .ExceededLimit = Kind == FailureKind::ExceededLimit,
       .ConnectionLost = Kind == FailureKind::ConnectionLost});
}

void HttpClient::completeCall(Slot &CallSlot, CallResult Result) {
  CallSlot.TimeoutTimer.cancel();
  const CompletionHandler OnDone = std::move(CallSlot.OnDone);
  CallSlot.OnDone = nullptr;
  this->updateBufferedBytes(CallSlot);
  OnDone(std::move(Result));
}

void HttpClient::cancel(size_t Index, const std::string &Cause) {
  this->failCall(Index, Cause);
}

} // namespace bluebellbarrow

#ifndef BLUEBELLBARROW_KERNEL_HTTPCLIENT_H
#define BLUEBELLBARROW_KERNEL_HTTPCLIENT_H

#include "bytebudget.h"
#include "clock.h"
#include "endpoint.h"
#include "httpmessage.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace bluebellbarrow {

class Task;
enum class TcpCloseReason;

/** Outcome of a call. */
enum class CallOutcome {
  /** A complete response was received. */
  Answered,

  /** No byte of the request was handed to the operating system. */
  NotSent,

  /** The request may have been sent; no complete response was received. */
  NoResponse,
};

/** Outcome and response of one call. */
struct CallResult {
  CallOutcome Outcome = CallOutcome::NoResponse;

  /** The response, when Outcome is Answered. */
  HttpResponse Response;

  /** The cause, when Outcome is not Answered. */
  std::string Cause;

  /** True when the connection had carried an earlier call. */
  bool ConnectionReused = false;

  /** True when the call failed since its response exceeded a limit. */
  bool ExceededLimit = false;

  /** True when the server refused, closed or reset the connection. */
  bool ConnectionLost = false;
};

/** Server, connections and limits of an HttpClient. */
struct HttpClientOptions {
  std::string Name;

  /** Local address to bind; empty for any. */
  Address LocalIp;

  Endpoint Remote;

  /** Calls that may be in flight at once. */
  size_t SlotCount = 1;

  size_t MaxBodyBytes = 0;

  /**
   * Bytes of incomplete responses that all calls together may buffer. Above the
   * limit, the call with the longest one fails.
   */
  size_t MaxBufferedBytes = size_t{32} * 1024 * 1024;

  /**
   * Bound of all bytes that the process holds, in place of MaxBufferedBytes;
   * null for none. Outlives the client, which is one of its holders.
   */
  const ByteBudget *Budget = nullptr;

  /**
   * Header that each response repeats from its request; empty for none. A
   * response with another value belongs to another request and is dropped.
   */
  std::string EchoedHeader;

  /**
   * Timeout that is started anew each time bytes are received in the first 10 s
   * of a call, in place of the timeout of the call; zero to keep the latter.
   */
  Duration StallTimeout{};

  /** Idle timeout of a connection when the server does not announce one. */
  Duration IdleTimeout = seconds(4);
};

/**
 * HTTP/1.1 client for one server. A connection carries one call at a time. It
 * is closed, and not reused, when its call ended without a complete response,
 * when the response came before the whole request was sent, and when bytes
 * arrive that belong to no call.
 *
 * Thread safety: none; owned by one task.
 */
class HttpClient {
public:
  using CompletionHandler = std::function<void(CallResult)>;

  /** \pre \a Owner outlives the client. */
  HttpClient(Task &Owner, HttpClientOptions Options);
  ~HttpClient();

  HttpClient(const HttpClient &) = delete;
  HttpClient &operator=(const HttpClient &) = delete;

  /** Returns the number of slots in use. */
  size_t busySlots() const;

  size_t slotCount() const { return this->Slots.size(); }

  /**
   * Sets the number of slots. Slots are removed from the end as long as they
   * are idle, so slotCount() stays higher while the last one is in use.
   */
  void setSlotCount(size_t Count);

  /**
   * Starts a call; \a OnDone is called once, never within call(). Returns the
   * index of the slot, for cancel(). \pre busySlots() < slotCount().
   */
  size_t call(const HttpRequest &Request, Duration Timeout,
              CompletionHandler OnDone);

  /**
   * Cancels the call in slot \a Index: closes its connection and calls its
   * OnDone with NoResponse or NotSent. Does nothing for an idle slot.
   */
  void cancel(size_t Index, const std::string &Cause);

  /** Replaces the limit of HttpClientOptions. */
  void setMaxBufferedBytes(size_t Bytes) {
    this->Options.MaxBufferedBytes = Bytes;
  }

  /** Returns the bytes of incomplete responses. */
  size_t bufferedBytes() const { return this->BufferedBytes; }

  /** Returns the number of connections opened so far. */
  uint64_t connectionsOpened() const { return this->ConnectionsOpened; }

private:
  struct Slot;

  size_t chooseSlot(TimePoint Now);
  void connect(size_t Index);
  void sendRequest(Slot &CallSlot);
  void receive(size_t Index, std::string_view Bytes);
  void extendTimeout(Slot &CallSlot);
  void onClosed(size_t Index, TcpCloseReason Reason);
  void onResponseComplete(Slot &CallSlot);
  bool isStaleResponse(Slot &CallSlot) const;
  /** Why a call fails, as far as callers tell the causes apart. */
  enum class FailureKind { Other, ExceededLimit, ConnectionLost };

  void failCall(size_t Index, const std::string &Cause,
                FailureKind Kind = FailureKind::Other);
  void updateBufferedBytes(Slot &CallSlot);
  bool isOverBufferLimit() const;

  /** Returns the index of the slot with the longest incomplete response. */
  size_t findLongestResponse() const;

  void failLongestResponse();
  void completeCall(Slot &CallSlot, CallResult Result);

  Task &Owner;
  HttpClientOptions Options;
  std::vector<std::unique_ptr<Slot>> Slots;

  /** Sum of the slots' BufferedBytes. */
  size_t BufferedBytes = 0;

  uint64_t ConnectionsOpened = 0;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_KERNEL_HTTPCLIENT_H

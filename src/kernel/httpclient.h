#ifndef BLUEBELLBARROW_KERNEL_HTTPCLIENT_H
#define BLUEBELLBARROW_KERNEL_HTTPCLIENT_H

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

/** How a call ended. */
enum class CallOutcome {
  /** The answer is whole. */
  Answered,

  /** Nothing of the request was handed to the system. */
  NotSent,

  /** Something may have been sent; no whole answer came. */
  NoResponse,
};

/** The end of one call. */
struct CallResult {
  CallOutcome Outcome = CallOutcome::NoResponse;

  /** The answer, when End is Answered. */
  HttpResponse Response;

  /** The cause, when End is not Answered. */
  std::string Cause;

  /** True when the call went over a connection that had served another. */
  bool ConnectionReused = false;
};

/** Where a client connects and what it accepts. */
struct HttpClientOptions {
  std::string Name;

  /** Local address to bind; empty for any. */
  Address LocalIp;

  Endpoint Remote;

  /** Calls that may be made at once. */
  size_t SlotCount = 1;

  size_t MaxBodyBytes = 0;

  /**
   * Header that each answer repeats from its request; empty for none. An
   * answer with another value belongs to another request and is dropped.
   */
  std::string EchoedHeader;

  /**
   * Time between two parts of an answer that has begun, in place of the time
   * limit of its call; zero for none.
   */
  Duration StallTimeout{};

  /** Time for which a connection is kept when the server does not say. */
  Duration IdleTimeout = seconds(4);
};

/**
 * HTTP/1.1 client for one server. A connection carries one call at a time; it
 * is closed for good when its call did not end with a whole answer, when the
 * answer came before the request was sent, and when unasked bytes come.
 *
 * Thread safety: none; owned by one task.
 */
class HttpClient {
public:
  using CompletionHandler = std::function<void(const CallResult &)>;

  /** \pre \a Owner outlives the client. */
  HttpClient(Task &Owner, HttpClientOptions Options);
  ~HttpClient();

  HttpClient(const HttpClient &) = delete;
  HttpClient &operator=(const HttpClient &) = delete;

  /** Returns the slots in use. */
  size_t busySlots() const;

  size_t slotCount() const { return this->Slots.size(); }

  /** Raises or lowers the number of slots; running calls go on. */
  void setSlotCount(size_t Count);

  /**
   * Makes a call; \a OnDone is called once, never within call(). Returns the
   * slot, for cancel(). \pre busy() < slots().
   */
  size_t call(const HttpRequest &Request, Duration Timeout,
              CompletionHandler OnDone);

  /**
   * Ends the call in \a Slot: closes its connection, and OnDone follows as
   * Broken or NotSent. Does nothing for an idle slot.
   */
  void cancel(size_t Slot, const std::string &Cause);

  /** Returns the connections opened so far. */
  uint64_t connectionsOpened() const { return this->ConnectionsOpened; }

private:
  struct Slot;

  size_t chooseSlot(TimePoint Now);
  void connect(size_t Index);
  void sendRequest(Slot &Target);
  void receive(size_t Index, std::string_view Bytes);
  void extendTimeout(Slot &Target);
  void onClosed(size_t Index, TcpCloseReason How);
  void onResponseComplete(Slot &Target);
  bool isStaleResponse(Slot &Target) const;
  void failCall(size_t Index, const std::string &Cause);
  static void completeCall(Slot &Target, const CallResult &Result);

  Task &Owner;
  HttpClientOptions Options;
  std::vector<std::unique_ptr<Slot>> Slots;
  uint64_t ConnectionsOpened = 0;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_KERNEL_HTTPCLIENT_H

#ifndef BLUEBELLBARROW_KERNEL_HTTPCLIENT_H
#define BLUEBELLBARROW_KERNEL_HTTPCLIENT_H

#include "clock.h"
#include "error.h"
#include "httpmessage.h"
#include "ids.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

struct lws;

namespace bluebellbarrow {

class Task;

/** How a call ended. */
enum class CallEnd {
  /** The answer is whole. */
  Answered,

  /** Nothing of the request was handed to the system. */
  NotSent,

  /** Something may have been sent; no whole answer came. */
  Broken,
};

/** The end of one call. */
struct CallResult {
  CallEnd End = CallEnd::Broken;

  /** The answer, when End is Answered. */
  HttpResponse Response;

  /** The cause, when End is not Answered. */
  std::string Cause;
};

/** Where a client connects and what it accepts. */
struct HttpClientOptions {
  std::string Name;

  /** Local address to bind; empty for any. */
  Address LocalIp;

  Address Ip;
  int Port = 0;

  /** Calls that may be made at once. */
  size_t Slots = 1;

  size_t MaxBodyBytes = 0;

  /** Headers to collect besides those that the library knows. */
  std::vector<std::string> CustomHeaders;
};

/**
 * HTTP/1.1 client for one server, with a fixed number of slots. A slot has at
 * most one connection, and a connection at most one request; a connection
 * whose call did not end with a whole answer is closed.
 *
 * Thread safety: none; owned by one task.
 */
class HttpClient {
public:
  using Done = std::function<void(const CallResult &)>;

  /** \pre \a Owner outlives the client. */
  HttpClient(Task &Owner, HttpClientOptions Options);
  ~HttpClient();

  HttpClient(const HttpClient &) = delete;
  HttpClient &operator=(const HttpClient &) = delete;

  /** Returns the slots in use. */
  size_t busy() const;

  size_t slots() const { return this->Slots.size(); }

  /**
   * Makes a call; \a OnDone is called once, never within call(). Returns the
   * slot, for cancel(). \pre busy() < slots().
   */
  size_t call(const HttpRequest &Request, Duration Timeout, Done OnDone);

  /**
   * Ends the call in \a Slot: closes its connection, and OnDone follows as
   * Broken or NotSent. Does nothing for an idle slot.
   */
  void cancel(size_t Slot, const std::string &Cause);

  struct Slot;

private:
  void connect(Slot &Free);

  Task &Owner;
  HttpClientOptions Options;
  std::vector<std::unique_ptr<Slot>> Slots;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_KERNEL_HTTPCLIENT_H

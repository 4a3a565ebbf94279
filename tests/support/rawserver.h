#ifndef BLUEBELLBARROW_TESTS_RAWSERVER_H
#define BLUEBELLBARROW_TESTS_RAWSERVER_H

#include <atomic>
#include <functional>
#include <string>
#include <thread>

namespace bluebellbarrow {

/**
 * A TCP server that misbehaves as a test says. Serves one connection after the
 * other in a thread of its own.
 *
 * Thread safety: connections() and requests() are safe.
 */
class RawServer {
public:
  /** What to do about the request with this number, counted from 1. */
  struct Response {
    /** Bytes to send, as they are. */
    std::string Bytes;

    /** Milliseconds to wait before. */
    int DelayMs = 0;

    /** Closes the connection afterwards. */
    bool Close = false;

    /** Closes it with a reset, once the bytes had time to arrive. */
    bool Reset = false;
  };

  using RequestHandler = std::function<Response(int, const std::string &)>;

  /** Listens on \a Address with any port. */
  RawServer(const std::string &Address, RequestHandler OnRequest);
  ~RawServer();

  int port() const { return this->Port; }

  int connections() const { return this->Connections; }

  /** Returns the requests received over all connections. */
  int requests() const { return this->Requests; }

private:
  void serve();
  void serveConnection(int Socket);

  RequestHandler OnRequest;
  int ListenFd = -1;
  int Port = 0;
  std::atomic<bool> Stopping = false;
  std::atomic<int> Connections = 0;
  std::atomic<int> Requests = 0;
  std::thread Thread;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_TESTS_RAWSERVER_H

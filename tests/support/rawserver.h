#ifndef BLUEBELLBARROW_TESTS_RAWSERVER_H
#define BLUEBELLBARROW_TESTS_RAWSERVER_H

#include <atomic>
#include <functional>
#include <string>
#include <thread>

namespace bluebellbarrow {

/**
 * TCP server for tests that sends the raw bytes, delays and closes that a
 * handler returns. Each connection has a thread of its own.
 *
 * Thread safety: connections() and requests() are safe.
 */
class RawServer {
public:
  /** How to respond to one request. */
  struct Response {
    /** Bytes to send, without any change. */
    std::string Bytes;

    /** Delay before the bytes, in milliseconds. */
    int DelayMs = 0;

    /** Closes the connection after the bytes. */
    bool Close = false;

    /** With Close: closes with a reset, a short time after the bytes. */
    bool Reset = false;
  };

  /**
   * Receives the number of the request, counted from 1 over all connections,
   * and its bytes. Called on the thread of the connection.
   */
  using RequestHandler = std::function<Response(int, const std::string &)>;

  /** Listens on a free port of \a Address. */
  RawServer(const std::string &Address, RequestHandler OnRequest);
  ~RawServer();

  int port() const { return this->Port; }

  /** Returns the number of connections accepted. */
  int connections() const { return this->Connections; }

  /** Returns the number of requests received over all connections. */
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

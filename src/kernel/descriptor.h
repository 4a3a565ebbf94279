#ifndef BLUEBELLBARROW_KERNEL_DESCRIPTOR_H
#define BLUEBELLBARROW_KERNEL_DESCRIPTOR_H

#include <functional>
#include <memory>

struct lws_protocols;

namespace bluebellbarrow {

class Task;

/** Event handlers of a Descriptor; each is called on its task. */
struct DescriptorEvents {
  /** Bytes can be read, or the other end has closed. */
  std::function<void()> Readable;

  /** Bytes can be written; called once after notifyWhenWritable(). */
  std::function<void()> Writable;

  /** The other end hung up; the file descriptor is closed already. */
  std::function<void()> HungUp;
};

/**
 * A file descriptor in a task's event loop. An event handler may destroy the
 * Descriptor that calls it.
 *
 * Thread safety: none; owned by one task.
 */
class Descriptor {
public:
  /**
   * Takes ownership of \a Fd. If the event loop has no room for another
   * descriptor, \a Fd is closed at once and isOpen() returns false.
   *
   * \pre \a Fd is non-blocking, and \a Owner outlives the object.
   */
  Descriptor(Task &Owner, int Fd, DescriptorEvents Events);
  ~Descriptor();

  Descriptor(const Descriptor &) = delete;
  Descriptor &operator=(const Descriptor &) = delete;

  /** Returns false once the event loop has closed the file descriptor. */
  bool isOpen() const;

  /** Returns the file descriptor. \pre isOpen(). */
  int fd() const { return this->Fd; }

  /** Requests one call of Writable. */
  void notifyWhenWritable();

  /** Enables or disables calls of Readable; they are enabled initially. */
  void setReadEnabled(bool Enabled);

  /** Returns the protocol table that Task passes to libwebsockets. */
  static const lws_protocols *protocols();

  /** State shared with the callback of libwebsockets. */
  struct CallbackState;

private:
  std::shared_ptr<CallbackState> SharedState;
  int Fd;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_KERNEL_DESCRIPTOR_H

#ifndef BLUEBELLBARROW_KERNEL_DESCRIPTOR_H
#define BLUEBELLBARROW_KERNEL_DESCRIPTOR_H

#include <functional>
#include <memory>

struct lws_protocols;

namespace bluebellbarrow {

class Task;

/** Event handlers of a Descriptor; each is called on its task. */
struct DescriptorEvents {
  /** Bytes can be read, or the peer has closed. */
  std::function<void()> Readable;

  /** Bytes can be written; called once after notifyWhenWritable(). */
  std::function<void()> Writable;

  /** The peer hung up; the file descriptor is closed already. */
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
   * Takes ownership of \a Fd, and closes it when the event loop has no room
   * for it. \pre \a Fd is non-blocking, and \a Owner outlives the object.
   */
  Descriptor(Task &Owner, int Fd, DescriptorEvents Events);
  ~Descriptor();

  Descriptor(const Descriptor &) = delete;
  Descriptor &operator=(const Descriptor &) = delete;

  /** Returns true while the file descriptor is open. */
  bool isOpen() const;

  /** Returns the file descriptor. \pre isOpen(). */
  int fd() const { return this->Fd; }

  /** Requests one call of Writable. */
  void notifyWhenWritable();

  /** Enables or disables Readable, which is enabled initially. */
  void setReadEnabled(bool Enabled);

  /** Returns the protocol table that Task passes to libwebsockets. */
  static const lws_protocols *protocols();

  /** State shared with the callback of libwebsockets. */
  struct Binding;

private:
  std::shared_ptr<Binding> SharedBinding;
  int Fd;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_KERNEL_DESCRIPTOR_H

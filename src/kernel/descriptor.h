#ifndef BLUEBELLBARROW_KERNEL_DESCRIPTOR_H
#define BLUEBELLBARROW_KERNEL_DESCRIPTOR_H

#include <functional>
#include <memory>

struct lws_protocols;

namespace bluebellbarrow {

class Task;

/** What a descriptor reports; each member is called on its task. */
struct DescriptorEvents {
  /** There is something to read, or the other side has closed. */
  std::function<void()> Readable;

  /** There is room to write again; follows awaitWritable(), once. */
  std::function<void()> Writable;

  /** The other side hung up; the system's descriptor is closed already. */
  std::function<void()> HungUp;
};

/**
 * A descriptor of the system in a task's event loop. Every event may destroy
 * the object that reports it.
 *
 * Thread safety: none; owned by one task.
 */
class Descriptor {
public:
  /**
   * Takes over \a Number and closes it in the end. \pre \a Number is
   * non-blocking, and \a Owner outlives the object.
   */
  Descriptor(Task &Owner, int Number, DescriptorEvents Events);
  ~Descriptor();

  Descriptor(const Descriptor &) = delete;
  Descriptor &operator=(const Descriptor &) = delete;

  /** Returns true while the system's descriptor is open. */
  bool isOpen() const;

  /** Returns the system's number. \pre open(). */
  int fd() const { return this->Fd; }

  /** Asks for one Writable. */
  void notifyWhenWritable();

  /** Turns Readable on or off; it is on at first. */
  void setReadEnabled(bool On);

  /** Returns the library's table of handlers; for Task. */
  static const lws_protocols *protocols();

  /** Ties a descriptor to the library's record of it; for the library. */
  struct Binding;

private:
  std::shared_ptr<Binding> Bound;
  int Fd;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_KERNEL_DESCRIPTOR_H

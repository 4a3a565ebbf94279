#ifndef BLUEBELLBARROW_HTTP_TARGETPROBE_H
#define BLUEBELLBARROW_HTTP_TARGETPROBE_H

#include "kernel/httpclient.h"
#include "kernel/nodesettings.h"
#include "kernel/task.h"
#include "plugins/membership/memberannouncement.h"

#include <functional>

namespace bluebellbarrow {

/**
 * Asks the target for its health from time to time. The answer is a hint for
 * "serving"; when it says that it drains, that is binding.
 *
 * Thread safety: none; owned by one task.
 */
class TargetProbe {
public:
  /** \a OnState is called with each answer. */
  TargetProbe(Task &Owner, const NodeSettings &Settings,
              std::function<void(MemberState)> OnState);

  /** Sets the time between two probes; zero for none. */
  void setPeriod(Duration New);

  /** Sets the path to probe. */
  void setPath(const std::string &New) { this->Path = New; }

private:
  void probe();
  void onProbeDone(const CallResult &Result);

  std::function<void(MemberState)> OnState;
  std::string Path;
  HttpClient Client;
  Timer ProbeTimer;
  Duration Period{};
  int ConsecutiveFailures = 0;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_HTTP_TARGETPROBE_H

#ifndef BLUEBELLBARROW_HTTP_TARGETPROBE_H
#define BLUEBELLBARROW_HTTP_TARGETPROBE_H

#include "kernel/httpclient.h"
#include "kernel/nodesettings.h"
#include "kernel/task.h"
#include "plugins/membership/memberannouncement.h"

#include <functional>

namespace bluebellbarrow {

/**
 * Probes the target's health path periodically. Status 200 means serving, and
 * several failures in a row mean starting; a response that says draining takes
 * effect at once.
 *
 * Thread safety: none; owned by one task.
 */
class TargetProbe {
public:
  /** \a OnState is called with the target's state after a probe. */
  TargetProbe(Task &Owner, const NodeSettings &Settings,
              std::function<void(MemberState)> OnState);

  /** Sets the time between two probes; zero stops them. */
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

#ifndef BLUEBELLBARROW_PLUGINS_SETTINGSWATCHER_H
#define BLUEBELLBARROW_PLUGINS_SETTINGSWATCHER_H

#include "kernel/nodesettings.h"
#include "kernel/timer.h"

#include <functional>
#include <memory>
#include <string>

namespace bluebellbarrow {

class Task;

/**
 * Reads the file of settings again when it changes, with or without a signal.
 * A file that can't be read changes nothing. Says which changes only a
 * restart brings.
 *
 * Thread safety: none; owned by one task.
 */
class SettingsWatcher {
public:
  using ChangeHandler =
      std::function<void(std::shared_ptr<const NodeSettings>)>;

  /** \pre \a Owner outlives the watch; \a Path was read as \a First. */
  SettingsWatcher(Task &Owner, std::string Path, const NodeSettings &First,
                  ChangeHandler OnChanged);

  /** Looks at the file at once. */
  void reload();

private:
  void poll();
  void logChanges(const NodeSettings &New) const;

  std::string Path;
  ChangeHandler OnChanged;
  std::shared_ptr<const NodeSettings> CurrentSettings;
  std::string LastText;
  Timer PollTimer;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_PLUGINS_SETTINGSWATCHER_H

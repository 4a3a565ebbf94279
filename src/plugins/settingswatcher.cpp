#include "settingswatcher.h"

#include "kernel/inifile.h"
#include "kernel/log.h"
#include "tree/snapshotdefaults.h"

#include <array>

namespace bluebellbarrow {

namespace {

/** Time between two checks of the file. */
constexpr Duration PollPeriod = seconds(1);

/** A setting that takes effect only after a restart. */
struct RestartOnlySetting {
  const char *Name;
  bool (*Differs)(const NodeSettings &, const NodeSettings &);
};

template <auto Member>
bool differs(const NodeSettings &Old, const NodeSettings &New) {
  return Old.*Member != New.*Member;
}

constexpr std::array<RestartOnlySetting, 12> RestartOnlySettings = {{
    {"node/mesh", differs<&NodeSettings::Mesh>},
    {"node/name", differs<&NodeSettings::Name>},
    {"node/address", differs<&NodeSettings::Ip>},
    {"node/domain", differs<&NodeSettings::Domain>},
    {"node/threads", differs<&NodeSettings::Threads>},
    {"machine", differs<&NodeSettings::Resources>},
    {"platform", differs<&NodeSettings::PlatformEndpoint>},
    {"listen/bind-address", differs<&NodeSettings::BindIp>},
    {"listen/callers", differs<&NodeSettings::CallerEndpoint>},
    {"listen/peers", differs<&NodeSettings::PeerPort>},
    {"listen/control", differs<&NodeSettings::ControlPort>},
    {"listen/admin", differs<&NodeSettings::AdminEndpoint>},
}};

} // namespace

SettingsWatcher::SettingsWatcher(Task &Owner, std::string NewPath,
                                 const NodeSettings &Initial,
                                 ChangeHandler OnChanged)
    : Path(std::move(NewPath)), OnChanged(std::move(OnChanged)),
      CurrentSettings(std::make_shared<const NodeSettings>(Initial)),
      PollTimer(Owner, [this] { this->poll(); }) {
  const Result<std::string> FileText = readFile(this->Path);
  if (FileText)
    this->LastText = FileText.value();
  this->PollTimer.start(PollPeriod);
}

void SettingsWatcher::poll() {
  this->reload();
  this->PollTimer.start(PollPeriod);
}

void SettingsWatcher::reload() {
  const Result<std::string> FileText = readFile(this->Path);
  if (!FileText || FileText.value() == this->LastText)
    return;
  this->LastText = FileText.value();
  const Result<NodeSettings> Parsed =
      parseNodeSettings(this->Path, this->LastText, overridableKeys());
  if (!Parsed) {
    logError(LogLevel::Error, Parsed.error());
    return;
  }
  this->logChanges(Parsed.value());
  this->CurrentSettings = std::make_shared<const NodeSettings>(Parsed.value());
  setLogLevel(this->CurrentSettings->Log.Level);
  this->OnChanged(this->CurrentSettings);
}

void SettingsWatcher::logChanges(const NodeSettings &New) const {
  logEvent(LogLevel::Info, "settings reloaded",
           {{"file", this->Path},
            {"service", New.Service.str()},
            {"target", New.TargetEndpoint.str()}});
  for (const RestartOnlySetting &Setting : RestartOnlySettings)
    if (Setting.Differs(*this->CurrentSettings, New))
      logEvent(LogLevel::Warning, "setting needs a restart",
               {{"setting", Setting.Name}});
}

} // namespace bluebellbarrow

#include "settingswatch.h"

#include "kernel/inifile.h"
#include "kernel/log.h"
#include "tree/snapshotdefaults.h"

#include <array>

namespace bluebellbarrow {

namespace {

/** Time between two looks at the file. */
constexpr Duration PollPeriod = seconds(1);

/** A setting that only a restart changes. */
struct FixedSetting {
  const char *Name;
  bool (*Differs)(const NodeSettings &, const NodeSettings &);
};

template <auto Member>
bool differs(const NodeSettings &Old, const NodeSettings &New) {
  return Old.*Member != New.*Member;
}

constexpr std::array<FixedSetting, 11> FixedSettings = {{
    {"node/mesh", differs<&NodeSettings::Mesh>},
    {"node/name", differs<&NodeSettings::Name>},
    {"node/address", differs<&NodeSettings::Ip>},
    {"node/domain", differs<&NodeSettings::Domain>},
    {"node/threads", differs<&NodeSettings::Threads>},
    {"platform", differs<&NodeSettings::Platform>},
    {"listen/bind-address", differs<&NodeSettings::BindIp>},
    {"listen/callers", differs<&NodeSettings::Callers>},
    {"listen/peers", differs<&NodeSettings::PeerPort>},
    {"listen/control", differs<&NodeSettings::ControlPort>},
    {"listen/admin", differs<&NodeSettings::Admin>},
}};

} // namespace

SettingsWatch::SettingsWatch(Task &Owner, std::string NewPath,
                             const NodeSettings &First, Changed OnChanged)
    : Path(std::move(NewPath)), OnChanged(std::move(OnChanged)),
      Current(std::make_shared<const NodeSettings>(First)),
      Next(Owner, [this] { this->poll(); }) {
  const Result<std::string> Read = readFile(this->Path);
  if (Read)
    this->Text = Read.value();
  this->Next.start(PollPeriod);
}

void SettingsWatch::poll() {
  this->reload();
  this->Next.start(PollPeriod);
}

void SettingsWatch::reload() {
  const Result<std::string> Read = readFile(this->Path);
  if (!Read || Read.value() == this->Text)
    return;
  this->Text = Read.value();
  const Result<NodeSettings> Parsed =
      parseNodeSettings(this->Path, this->Text, defaultKeys());
  if (!Parsed) {
    logError(LogLevel::Error, Parsed.error());
    return;
  }
  this->report(Parsed.value());
  this->Current = std::make_shared<const NodeSettings>(Parsed.value());
  setLogLevel(this->Current->Log.Level);
  this->OnChanged(this->Current);
}

void SettingsWatch::report(const NodeSettings &New) const {
  logEvent(LogLevel::Info, "settings reloaded",
           {{"file", this->Path},
            {"service", New.Service.str()},
            {"target", New.Target.text()}});
  for (const FixedSetting &Each : FixedSettings)
    if (Each.Differs(*this->Current, New))
      logEvent(LogLevel::Warning, "setting needs a restart",
               {{"setting", Each.Name}});
}

} // namespace bluebellbarrow

#include "experiment.h"

#include "kernel/inifile.h"
#include "kernel/schema.h"
#include "plugins/routing/balancer.h"

#include <algorithm>
#include <array>
#include <sstream>
#include <variant>

namespace bluebellbarrow {

namespace {

constexpr double MicrosPerSecond = 1e6;
constexpr double MicrosPerHour = 3600 * MicrosPerSecond;

/** Binds a key to the member of a model that holds its value. */
template <typename T> struct Field {
  KeySpec Key;
  std::variant<Duration T::*, double T::*, size_t T::*, int64_t T::*, int T::*,
               bool T::*, std::string T::*, std::vector<double> T::*>
      Member;
};

const std::array<Field<MeshModel>, 7> MeshFields = {{
    {{"mesh", "length", KeyType::Duration, MicrosPerSecond, MicrosPerHour,
      "30 s", "simulated time"},
     &MeshModel::Length},
    {{"mesh", "domains", KeyType::Integer, 1, 100, "3", "failure domains"},
     &MeshModel::Domains},
    {{"mesh", "inside-delay", KeyType::Duration, 0, MicrosPerSecond, "200 us",
      "one-way delay inside a domain"},
     &MeshModel::SameDomainDelay},
    {{"mesh", "between-delay", KeyType::Duration, 0, MicrosPerSecond, "1 ms",
      "one-way delay between domains"},
     &MeshModel::CrossDomainDelay},
    {{"mesh", "caller-delay", KeyType::Duration, 0, MicrosPerSecond, "1 ms",
      "one-way delay between callers and nodes"},
     &MeshModel::CallerDelay},
    {{"mesh", "message-cost", KeyType::Duration, 0, MicrosPerSecond, "0 ms",
      "processor time of a node for each message"},
     &MeshModel::MessageCost},
    {{"mesh", "seed", KeyType::Integer, 0, 1e15, "1",
      "seed of all random draws"},
     &MeshModel::Seed},
}};

const std::array<Field<ServiceModel>, 6> ServiceFields = {{
    {{"service", "targets", KeyType::Integer, 1, 100000, "4", "targets"},
     &ServiceModel::Targets},
    {{"service", "slots", KeyType::Integer, 1, 10000, "10",
      "requests that a target runs at once"},
     &ServiceModel::Slots},
    {{"service", "speeds", KeyType::Text, 1, 190, "1",
      "relative speeds, assigned to targets in rotation"},
     &ServiceModel::Speeds},
    {{"service", "cold", KeyType::Duration, 0, MicrosPerHour, "0 s",
      "time after a start in which a target is slow"},
     &ServiceModel::ColdTime},
    {{"service", "cold-factor", KeyType::Number, 1, 100, "1",
      "factor of the service time while cold"},
     &ServiceModel::ColdFactor},
    {{"service", "full-factor", KeyType::Number, 0, 10, "0",
      "relative increase of the service time when all slots are taken"},
     &ServiceModel::FullFactor},
}};

const std::array<Field<KindModel>, 19> KindFields = {{
    {{"kind", "service", KeyType::Text, 1, 63, "", "service"},
     &KindModel::Service},
    {{"kind", "rate", KeyType::Number, 0, 1e6, "0", "requests per second"},
     &KindModel::Rate},
    {{"kind", "work", KeyType::Duration, 1, MicrosPerHour, "10 ms",
      "mean service time"},
     &KindModel::ServiceTime},
    {{"kind", "spread", KeyType::Number, 0, 10, "0",
      "relative standard deviation of the service time"},
     &KindModel::RelativeDeviation},
    {{"kind", "tail-share", KeyType::Number, 0, 1, "0",
      "share of long requests"},
     &KindModel::TailShare},
    {{"kind", "tail-factor", KeyType::Number, 1, 1000, "1",
      "factor of their service time"},
     &KindModel::TailFactor},
    {{"kind", "aim", KeyType::Duration, 1, MicrosPerHour, "1 s",
      "latency objective"},
     &KindModel::LatencyObjective},
    {{"kind", "deadline", KeyType::Duration, 1, MicrosPerHour, "5 s",
      "total time that callers wait"},
     &KindModel::Deadline},
    {{"kind", "timeout", KeyType::Duration, 1, MicrosPerHour, "5 s",
      "timeout of the route"},
     &KindModel::Timeout},
    {{"kind", "priority", KeyType::Integer, 0, 100, "1", "priority; 0 first"},
     &KindModel::Priority},
    {{"kind", "worth", KeyType::Number, 0, 1e6, "1",
      "utility of an on-time response"},
     &KindModel::Utility},
    {{"kind", "late-worth", KeyType::Number, 0, 1e6, "0",
      "utility of a late response"},
     &KindModel::LateUtility},
    {{"kind", "caller-retries", KeyType::Integer, 0, 100, "0",
      "retries by callers"},
     &KindModel::CallerRetries},
    {{"kind", "retries", KeyType::Integer, 0, 100, "1",
      "retries by nodes, each at another target"},
     &KindModel::Retries},
    {{"kind", "idempotent", KeyType::Bool, 0, 1, "no",
      "whether a request may run twice"},
     &KindModel::Idempotent},
    {{"kind", "bytes", KeyType::Integer, 0, 1e9, "0", "size of a response"},
     &KindModel::ResponseBytes},
    {{"kind", "calls", KeyType::Text, 0, 63, "", "kind of the target's calls"},
     &KindModel::CalledKind},
    {{"kind", "call-count", KeyType::Integer, 0, 100, "0",
      "parallel calls for each request"},
     &KindModel::CallCount},
    {{"kind", "call-share", KeyType::Number, 0, 1, "1",
      "share of requests that make calls"},
     &KindModel::CallShare},
}};

const std::array<Field<EventModel>, 6> EventFields = {{
    {{"event", "what", KeyType::Text, 1, 63, "",
      "restart, slow, fail or burst"},
     &EventModel::Type},
    {{"event", "at", KeyType::Duration, 0, MicrosPerHour, "0 s",
      "start of the event"},
     &EventModel::Start},
    {{"event", "length", KeyType::Duration, 0, MicrosPerHour, "5 s",
      "duration of the event"},
     &EventModel::Length},
    {{"event", "service", KeyType::Text, 0, 63, "",
      "service, or kind for a burst; empty for all"},
     &EventModel::Scope},
    {{"event", "share", KeyType::Number, 0, 1, "1",
      "share of the targets that are affected"},
     &EventModel::Share},
    {{"event", "factor", KeyType::Number, 0, 1000, "1",
      "factor of the service time or rate, or share of failures"},
     &EventModel::Factor},
}};

const std::array<KeySpec, 8> VariantAndSweepKeys = {{
    {"variant", "late-stay-share", KeyType::Number, 0, 1000, "0.5",
     "share of its remaining time that a queued late request may wait"},
    {"variant", "admits", KeyType::Bool, 0, 1, "yes",
     "no: requests queue without a limit"},
    {"variant", "shares-means", KeyType::Bool, 0, 1, "yes",
     "replies report the mean service time"},
    {"variant", "balance", KeyType::Text, 1, 32, "least-loss",
     "load balancing policy"},
    {"variant", "queue", KeyType::Integer, 0, 100000, "64",
     "largest queue of a target's node"},
    {"variant", "late-wait-share", KeyType::Number, 0, 1, "0.33",
     "share of its remaining time that a late request may wait"},
    {"sweep", "key", KeyType::Text, 1, 150, "", "'SECTION/KEY' to vary"},
    {"sweep", "values", KeyType::Text, 1, 190, "",
     "values, separated by commas"},
}};

std::vector<std::string> splitText(const std::string &Text, char Separator) {
  std::vector<std::string> Parts;
  std::istringstream Stream(Text);
  for (std::string Part; std::getline(Stream, Part, Separator);) {
    std::erase(Part, ' ');
    if (!Part.empty())
      Parts.push_back(Part);
  }
  return Parts;
}

/** Assigns a parsed value to the member of a model. */
template <typename T> struct MemberSetter {
  T &Model;
  const std::string &Text;
  double BaseValue;

  void operator()(Duration T::*Member) const {
    this->Model.*Member = microseconds(static_cast<int64_t>(this->BaseValue));
  }

  void operator()(bool T::*Member) const {
    this->Model.*Member = this->BaseValue != 0;
  }

  void operator()(std::string T::*Member) const {
    this->Model.*Member = this->Text;
  }

  void operator()(std::vector<double> T::*Member) const {
    (this->Model.*Member).clear();
    std::istringstream Words(this->Text);
    for (double Value = 0; Words >> Value;)
      (this->Model.*Member).push_back(Value);
  }

  template <typename NumberType> void operator()(NumberType T::*Member) const {
    this->Model.*Member = static_cast<NumberType>(this->BaseValue);
  }
};

template <typename T>
void setMember(const Field<T> &KeyField, T &Model, const std::string &Text,
               double BaseValue) {
  std::visit(MemberSetter<T>{Model, Text, BaseValue}, KeyField.Member);
}

template <typename T, size_t Count>
T makeDefault(const std::array<Field<T>, Count> &Fields) {
  T Model;
  for (const Field<T> &KeyField : Fields)
    if (const Result<double> Value =
            parseValue(KeyField.Key, KeyField.Key.Default))
      setMember(KeyField, Model, KeyField.Key.Default, Value.value());
  return Model;
}

template <typename T, size_t Count>
void addKeys(std::vector<KeySpec> &All,
             const std::array<Field<T>, Count> &Fields) {
  for (const Field<T> &KeyField : Fields)
    All.push_back(KeyField.Key);
}

KeyTable allKeys() {
  std::vector<KeySpec> All(VariantAndSweepKeys.begin(),
                           VariantAndSweepKeys.end());
  addKeys(All, MeshFields);
  addKeys(All, ServiceFields);
  addKeys(All, KindFields);
  addKeys(All, EventFields);
  return KeyTable(std::move(All));
}

/** Returns the model with the given name, which is added if missing. */
template <typename T>
T &findOrAdd(std::vector<T> &All, const std::string &Name, const T &New) {
  const auto Found =
      std::find_if(All.begin(), All.end(),
                   [&Name](const T &Model) { return Model.Name == Name; });
  if (Found != All.end())
    return *Found;
  All.push_back(New);
  All.back().Name = Name;
  return All.back();
}

template <typename T, size_t Count>
bool setField(const std::array<Field<T>, Count> &Fields, T &Model,
              const KeySpec &Spec, const std::string &Text, double BaseValue) {
  const auto Found =
      std::find_if(Fields.begin(), Fields.end(), [&Spec](const auto &KeyField) {
        return std::string_view(KeyField.Key.Key) == Spec.Key;
      });
  if (Found == Fields.end())
    return false;
  setMember(*Found, Model, Text, BaseValue);
  return true;
}

VariantModel defaultVariant() {
  VariantModel Model{.RouteDefaults = defaultPolicy()};
  Model.RouteDefaults.BalancerName = "least-loss";
  Model.RouteDefaults.MaxQueueLength = 64;
  return Model;
}

void setVariantField(VariantModel &Variant, const KeySpec &Spec,
                     const std::string &Text, double BaseValue) {
  const std::string_view Key = Spec.Key;
  if (Key == "balance")
    Variant.RouteDefaults.BalancerName = Text;
  if (Key == "queue")
    Variant.RouteDefaults.MaxQueueLength = static_cast<int64_t>(BaseValue);
  if (Key == "late-wait-share")
    Variant.Admission.LateWaitShare = BaseValue;
  if (Key == "late-stay-share")
    Variant.Admission.QueuedLateWaitShare = BaseValue;
  if (Key == "admits")
    Variant.AdmissionEnabled = BaseValue != 0;
  if (Key == "shares-means")
    Variant.ReportsMeanServiceTime = BaseValue != 0;
}

void applyEntry(Experiment &Parsed, const KeySpec &Spec, const IniEntry &Entry,
                double BaseValue) {
  const std::string Name = sectionName(Entry.Section);
  const std::string_view SectionType = Spec.Section;
  const std::string &Text = Entry.Value;
  if (SectionType == "mesh")
    setField(MeshFields, Parsed.Mesh, Spec, Text, BaseValue);
  if (SectionType == "service")
    setField(ServiceFields,
             findOrAdd(Parsed.Services, Name, makeDefault(ServiceFields)), Spec,
             Text, BaseValue);
  if (SectionType == "kind")
    setField(KindFields, findOrAdd(Parsed.Kinds, Name, makeDefault(KindFields)),
             Spec, Text, BaseValue);
  if (SectionType == "event")
    setField(EventFields,
             findOrAdd(Parsed.Events, Name, makeDefault(EventFields)), Spec,
             Text, BaseValue);
  if (SectionType == "variant")
    setVariantField(findOrAdd(Parsed.Variants, Name, defaultVariant()), Spec,
                    Text, BaseValue);
  if (SectionType == "sweep" && std::string_view(Spec.Key) == "key")
    Parsed.SweepKey = Text;
  if (SectionType == "sweep" && std::string_view(Spec.Key) == "values")
    Parsed.SweepValues = splitText(Text, ',');
}

template <typename T>
bool containsName(const std::vector<T> &All, const std::string &Name) {
  return std::any_of(All.begin(), All.end(),
                     [&Name](const T &Model) { return Model.Name == Name; });
}

/** Returns an error for an unknown reference, or no kind or service at all. */
std::optional<Error> checkReferences(const Experiment &Parsed,
                                     const std::string &File) {
  const auto MakeNotFound = [&File](const std::string &Name) {
    return makeError(Errc::NotFound, File, "", "'" + Name + "'");
  };
  for (const KindModel &Kind : Parsed.Kinds) {
    if (!containsName(Parsed.Services, Kind.Service))
      return MakeNotFound(Kind.Service);
    if (!Kind.CalledKind.empty() &&
        !containsName(Parsed.Kinds, Kind.CalledKind))
      return MakeNotFound(Kind.CalledKind);
  }
  static const std::array<std::string, 4> EventTypes = {"restart", "slow",
                                                        "fail", "burst"};
  for (const EventModel &Event : Parsed.Events) {
    if (std::find(EventTypes.begin(), EventTypes.end(), Event.Type) ==
        EventTypes.end())
      return MakeNotFound(Event.Type);
    if (!Event.Scope.empty() && !containsName(Parsed.Services, Event.Scope) &&
        !containsName(Parsed.Kinds, Event.Scope))
      return MakeNotFound(Event.Scope);
  }
  for (const VariantModel &Variant : Parsed.Variants)
    if (!BalancerRegistry::instance().contains(
            Variant.RouteDefaults.BalancerName))
      return MakeNotFound(Variant.RouteDefaults.BalancerName);
  if (Parsed.Kinds.empty() || Parsed.Services.empty())
    return makeError(Errc::Incomplete, File, "",
                     "expected at least one kind and one service");
  return std::nullopt;
}

} // namespace

Result<Experiment> readExperiment(const std::string &Path,
                                  const Overrides &ValueOverrides) {
  const Result<std::string> Text = readFile(Path);
  if (!Text)
    return Text.error();
  Result<IniFile> File = parseIni(Path, Text.value());
  if (!File)
    return File.error();
  for (IniEntry &Entry : File.value().Entries) {
    const auto Override = ValueOverrides.find(Entry.Section + "/" + Entry.Key);
    if (Override != ValueOverrides.end())
      Entry.Value = Override->second;
  }
  static const KeyTable Keys = allKeys();
  Experiment Parsed{.Mesh = makeDefault(MeshFields)};
  const auto Checked =
      checkEntries(File.value(), Keys,
                   [&Parsed](size_t Index, const IniEntry &Entry,
                             double BaseValue) -> Result<std::monostate> {
                     applyEntry(Parsed, Keys[Index], Entry, BaseValue);
                     return std::monostate();
                   });
  if (!Checked)
    return Checked.error();
  for (const std::string &Section : File.value().Sections)
    if (sectionKind(Section) == "variant")
      findOrAdd(Parsed.Variants, sectionName(Section), defaultVariant());
  if (Parsed.Variants.empty())
    Parsed.Variants.push_back(defaultVariant());
  if (const std::optional<Error> Failure = checkReferences(Parsed, Path))
    return *Failure;
  return Parsed;
}

} // namespace bluebellbarrow

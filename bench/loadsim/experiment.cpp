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

constexpr double Second = 1e6;
constexpr double Hour = 3600 * Second;

/** Binds a key to the member of a model that holds its value. */
template <typename T> struct Field {
  KeySpec Key;
  std::variant<Duration T::*, double T::*, size_t T::*, int64_t T::*, int T::*,
               bool T::*, std::string T::*, std::vector<double> T::*>
      Member;
};

const std::array<Field<MeshModel>, 7> MeshFields = {{
    {{"mesh", "length", KeyType::Duration, Second, Hour, "30 s",
      "time simulated"},
     &MeshModel::Length},
    {{"mesh", "domains", KeyType::Integer, 1, 100, "3", "failure domains"},
     &MeshModel::Domains},
    {{"mesh", "inside-delay", KeyType::Duration, 0, Second, "200 us",
      "one way inside a domain"},
     &MeshModel::InsideDelay},
    {{"mesh", "between-delay", KeyType::Duration, 0, Second, "1 ms",
      "one way between domains"},
     &MeshModel::BetweenDelay},
    {{"mesh", "caller-delay", KeyType::Duration, 0, Second, "1 ms",
      "one way to callers"},
     &MeshModel::CallerDelay},
    {{"mesh", "message-cost", KeyType::Duration, 0, Second, "0 ms",
      "time that a node needs for a message"},
     &MeshModel::MessageCost},
    {{"mesh", "seed", KeyType::Integer, 0, 1e15, "1", "seed of the load"},
     &MeshModel::Seed},
}};

const std::array<Field<ServiceModel>, 6> ServiceFields = {{
    {{"service", "targets", KeyType::Integer, 1, 100000, "4", "targets"},
     &ServiceModel::Targets},
    {{"service", "slots", KeyType::Integer, 1, 10000, "10",
      "requests that a target runs at once"},
     &ServiceModel::Slots},
    {{"service", "speeds", KeyType::Text, 1, 190, "1",
      "speeds of the targets, in turn"},
     &ServiceModel::Speeds},
    {{"service", "cold", KeyType::Duration, 0, Hour, "0 s",
      "time in which a started target is slow"},
     &ServiceModel::Cold},
    {{"service", "cold-factor", KeyType::Number, 1, 100, "1",
      "how much longer work takes then"},
     &ServiceModel::ColdFactor},
    {{"service", "full-factor", KeyType::Number, 0, 10, "0",
      "part by which work is longer at a full target"},
     &ServiceModel::FullFactor},
}};

const std::array<Field<KindModel>, 19> KindFields = {{
    {{"kind", "service", KeyType::Text, 1, 63, "", "service"},
     &KindModel::Service},
    {{"kind", "rate", KeyType::Number, 0, 1e6, "0", "requests a second"},
     &KindModel::Rate},
    {{"kind", "work", KeyType::Duration, 1, Hour, "10 ms", "mean work"},
     &KindModel::Work},
    {{"kind", "spread", KeyType::Number, 0, 10, "0", "relative deviation"},
     &KindModel::Spread},
    {{"kind", "tail-share", KeyType::Number, 0, 1, "0", "share of long ones"},
     &KindModel::TailShare},
    {{"kind", "tail-factor", KeyType::Number, 1, 1000, "1", "their length"},
     &KindModel::TailFactor},
    {{"kind", "aim", KeyType::Duration, 1, Hour, "1 s", "time of full use"},
     &KindModel::Aim},
    {{"kind", "deadline", KeyType::Duration, 1, Hour, "5 s",
      "callers wait so long"},
     &KindModel::Deadline},
    {{"kind", "timeout", KeyType::Duration, 1, Hour, "5 s",
      "limit of the route"},
     &KindModel::Timeout},
    {{"kind", "priority", KeyType::Integer, 0, 100, "1", "0 goes first"},
     &KindModel::Priority},
    {{"kind", "worth", KeyType::Number, 0, 1e6, "1", "of an answer in time"},
     &KindModel::Worth},
    {{"kind", "late-worth", KeyType::Number, 0, 1e6, "0", "of a late answer"},
     &KindModel::LateWorth},
    {{"kind", "caller-retries", KeyType::Integer, 0, 100, "0",
      "times that callers try again"},
     &KindModel::CallerRetries},
    {{"kind", "retries", KeyType::Integer, 0, 100, "1",
      "further targets for one request"},
     &KindModel::Retries},
    {{"kind", "idempotent", KeyType::Bool, 0, 1, "no", "may run twice"},
     &KindModel::Idempotent},
    {{"kind", "bytes", KeyType::Integer, 0, 1e9, "0", "size of an answer"},
     &KindModel::Bytes},
    {{"kind", "calls", KeyType::Text, 0, 63, "", "kind of the target's calls"},
     &KindModel::Calls},
    {{"kind", "call-count", KeyType::Integer, 0, 100, "0", "calls at once"},
     &KindModel::CallCount},
    {{"kind", "call-share", KeyType::Number, 0, 1, "1",
      "share of requests that make them"},
     &KindModel::CallShare},
}};

const std::array<Field<EventModel>, 6> EventFields = {{
    {{"event", "what", KeyType::Text, 1, 63, "",
      "restart, slow, fail or burst"},
     &EventModel::What},
    {{"event", "at", KeyType::Duration, 0, Hour, "0 s", "when it begins"},
     &EventModel::At},
    {{"event", "length", KeyType::Duration, 0, Hour, "5 s",
      "how long it lasts"},
     &EventModel::Length},
    {{"event", "service", KeyType::Text, 0, 63, "",
      "service, or kind for a burst; empty for all"},
     &EventModel::Service},
    {{"event", "share", KeyType::Number, 0, 1, "1", "share of the targets"},
     &EventModel::Share},
    {{"event", "factor", KeyType::Number, 0, 1000, "1",
      "factor of work or rate, or share of failures"},
     &EventModel::Factor},
}};

const std::array<KeySpec, 8> OwnKeys = {{
    {"variant", "late-stay-share", KeyType::Number, 0, 1000, "0.5",
     "share of its time left that one which waits may stay when it is late"},
    {"variant", "admits", KeyType::Bool, 0, 1, "yes",
     "no: requests queue without limit"},
    {"variant", "shares-means", KeyType::Bool, 0, 1, "yes",
     "answers tell how long the target usually takes"},
    {"variant", "balance", KeyType::Text, 1, 32, "least-loss",
     "how upstreams are chosen"},
    {"variant", "queue", KeyType::Integer, 0, 100000, "64",
     "requests that wait at a target's node"},
    {"variant", "late-wait-share", KeyType::Number, 0, 1, "0.33",
     "share of its time left that a late request may wait"},
    {"sweep", "key", KeyType::Text, 1, 150, "", "'SECTION/KEY' to vary"},
    {"sweep", "values", KeyType::Text, 1, 190, "", "values, with commas"},
}};

std::vector<std::string> splitBy(const std::string &Text, char Separator) {
  std::vector<std::string> Parts;
  std::istringstream Stream(Text);
  for (std::string Part; std::getline(Stream, Part, Separator);) {
    std::erase(Part, ' ');
    if (!Part.empty())
      Parts.push_back(Part);
  }
  return Parts;
}

/** Stores a value into the member of a model that its field names. */
template <typename T> struct StoreInto {
  T &Target;
  const std::string &Text;
  double Base;

  void operator()(Duration T::*Member) const {
    this->Target.*Member = microseconds(static_cast<int64_t>(this->Base));
  }

  void operator()(bool T::*Member) const {
    this->Target.*Member = this->Base != 0;
  }

  void operator()(std::string T::*Member) const {
    this->Target.*Member = this->Text;
  }

  void operator()(std::vector<double> T::*Member) const {
    (this->Target.*Member).clear();
    std::istringstream Words(this->Text);
    for (double Value = 0; Words >> Value;)
      (this->Target.*Member).push_back(Value);
  }

  template <typename Number> void operator()(Number T::*Member) const {
    this->Target.*Member = static_cast<Number>(this->Base);
  }
};

template <typename T>
void store(const Field<T> &Into, T &Target, const std::string &Text,
           double Base) {
  std::visit(StoreInto<T>{Target, Text, Base}, Into.Member);
}

template <typename T, size_t Count>
T withDefaults(const std::array<Field<T>, Count> &Fields) {
  T Made;
  for (const Field<T> &Each : Fields)
    if (const Result<double> Base = parseValue(Each.Key, Each.Key.Default))
      store(Each, Made, Each.Key.Default, Base.value());
  return Made;
}

template <typename T, size_t Count>
void addKeys(std::vector<KeySpec> &All,
             const std::array<Field<T>, Count> &Fields) {
  for (const Field<T> &Each : Fields)
    All.push_back(Each.Key);
}

KeyTable allKeys() {
  std::vector<KeySpec> All(OwnKeys.begin(), OwnKeys.end());
  addKeys(All, MeshFields);
  addKeys(All, ServiceFields);
  addKeys(All, KindFields);
  addKeys(All, EventFields);
  return KeyTable(std::move(All));
}

/** Finds the model that a section names, or adds it. */
template <typename T>
T &modelOf(std::vector<T> &All, const std::string &Name, const T &New) {
  const auto Known =
      std::find_if(All.begin(), All.end(),
                   [&Name](const T &Each) { return Each.Name == Name; });
  if (Known != All.end())
    return *Known;
  All.push_back(New);
  All.back().Name = Name;
  return All.back();
}

template <typename T, size_t Count>
bool setField(const std::array<Field<T>, Count> &Fields, T &Target,
              const KeySpec &Spec, const std::string &Text, double Base) {
  const auto Found =
      std::find_if(Fields.begin(), Fields.end(), [&Spec](const auto &Each) {
        return std::string_view(Each.Key.Key) == Spec.Key;
      });
  if (Found == Fields.end())
    return false;
  store(*Found, Target, Text, Base);
  return true;
}

VariantModel defaultVariant() {
  VariantModel Made{.Rules = defaultPolicy()};
  Made.Rules.BalancerName = "least-loss";
  Made.Rules.MaxQueueLength = 64;
  return Made;
}

void storeVariant(VariantModel &Target, const KeySpec &Spec,
                  const std::string &Text, double Base) {
  const std::string_view Key = Spec.Key;
  if (Key == "balance")
    Target.Rules.BalancerName = Text;
  if (Key == "queue")
    Target.Rules.MaxQueueLength = static_cast<int64_t>(Base);
  if (Key == "late-wait-share")
    Target.Admission.LateWaitShare = Base;
  if (Key == "late-stay-share")
    Target.Admission.QueuedLateWaitShare = Base;
  if (Key == "admits")
    Target.Admits = Base != 0;
  if (Key == "shares-means")
    Target.SharesMeans = Base != 0;
}

void storeEntry(Experiment &Target, const KeySpec &Spec, const IniEntry &Entry,
                double Base) {
  const std::string Name = sectionName(Entry.Section);
  const std::string_view Kind = Spec.Section;
  const std::string &Text = Entry.Value;
  if (Kind == "mesh")
    setField(MeshFields, Target.Mesh, Spec, Text, Base);
  if (Kind == "service")
    setField(ServiceFields,
             modelOf(Target.Services, Name, withDefaults(ServiceFields)), Spec,
             Text, Base);
  if (Kind == "kind")
    setField(KindFields, modelOf(Target.Kinds, Name, withDefaults(KindFields)),
             Spec, Text, Base);
  if (Kind == "event")
    setField(EventFields,
             modelOf(Target.Events, Name, withDefaults(EventFields)), Spec,
             Text, Base);
  if (Kind == "variant")
    storeVariant(modelOf(Target.Variants, Name, defaultVariant()), Spec, Text,
                 Base);
  if (Kind == "sweep" && std::string_view(Spec.Key) == "key")
    Target.SweepKey = Text;
  if (Kind == "sweep" && std::string_view(Spec.Key) == "values")
    Target.SweepValues = splitBy(Text, ',');
}

template <typename T>
bool has(const std::vector<T> &All, const std::string &Name) {
  return std::any_of(All.begin(), All.end(),
                     [&Name](const T &Each) { return Each.Name == Name; });
}

/** Returns what names something that the experiment does not have. */
std::optional<Error> checkNames(const Experiment &Of, const std::string &File) {
  const auto Missing = [&File](const std::string &Name) {
    return makeError(Errc::NotFound, File, "", "'" + Name + "'");
  };
  for (const KindModel &Each : Of.Kinds) {
    if (!has(Of.Services, Each.Service))
      return Missing(Each.Service);
    if (!Each.Calls.empty() && !has(Of.Kinds, Each.Calls))
      return Missing(Each.Calls);
  }
  static const std::array<std::string, 4> Known = {"restart", "slow", "fail",
                                                   "burst"};
  for (const EventModel &Each : Of.Events) {
    if (std::find(Known.begin(), Known.end(), Each.What) == Known.end())
      return Missing(Each.What);
    if (!Each.Service.empty() && !has(Of.Services, Each.Service) &&
        !has(Of.Kinds, Each.Service))
      return Missing(Each.Service);
  }
  for (const VariantModel &Each : Of.Variants)
    if (!BalancerRegistry::instance().contains(Each.Rules.BalancerName))
      return Missing(Each.Rules.BalancerName);
  if (Of.Kinds.empty() || Of.Services.empty())
    return makeError(Errc::Incomplete, File, "", "no kind, or no service");
  return std::nullopt;
}

} // namespace

Result<Experiment> readExperiment(const std::string &Path,
                                  const Replacements &Replaced) {
  const Result<std::string> Text = readFile(Path);
  if (!Text)
    return Text.error();
  Result<IniFile> File = parseIni(Path, Text.value());
  if (!File)
    return File.error();
  for (IniEntry &Each : File.value().Entries) {
    const auto New = Replaced.find(Each.Section + "/" + Each.Key);
    if (New != Replaced.end())
      Each.Value = New->second;
  }
  static const KeyTable Keys = allKeys();
  Experiment Read{.Mesh = withDefaults(MeshFields)};
  const auto Checked =
      checkEntries(File.value(), Keys,
                   [&Read](size_t Index, const IniEntry &Entry,
                           double Base) -> Result<std::monostate> {
                     storeEntry(Read, Keys[Index], Entry, Base);
                     return std::monostate();
                   });
  if (!Checked)
    return Checked.error();
  for (const std::string &Section : File.value().Sections)
    if (sectionKind(Section) == "variant")
      modelOf(Read.Variants, sectionName(Section), defaultVariant());
  if (Read.Variants.empty())
    Read.Variants.push_back(defaultVariant());
  if (const std::optional<Error> Fault = checkNames(Read, Path))
    return *Fault;
  return Read;
}

} // namespace bluebellbarrow

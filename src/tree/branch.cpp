#include "branch.h"

#include "policy.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <sstream>

namespace bluebellbarrow {

namespace {

constexpr size_t MaxNameLength = 63;

const std::array<KeySpec, 7> OwnKeys = {{
    {"mesh", "name", KeyType::Text, 1, MaxNameLength, "", "name of the mesh"},
    {"service", "about", KeyType::Text, 0, 150, "", "what the service is for"},
    {"route", "match", KeyType::Text, 1, 150, "",
     "method and path prefix; '*' for any method"},
    {"route", "host", KeyType::Text, 1, 150, "", "host that callers name"},
    {"route", "split", KeyType::Text, 1, 180, "",
     "services that share the requests, as 'NAME WEIGHT, NAME WEIGHT'"},
    {"route", "calls", KeyType::Text, 0, 150, "", "services that it calls"},
    {"place", "about", KeyType::Text, 0, 150, "", "what the place is"},
}};

struct SectionRule {
  BranchKind Kind;
  const char *Section;
};

/** The sections that each kind of branch may hold. */
constexpr std::array<SectionRule, 14> SectionRules = {{
    {BranchKind::Mesh, "mesh"},
    {BranchKind::Mesh, "policy"},
    {BranchKind::Mesh, "spread"},
    {BranchKind::Mesh, "limits"},
    {BranchKind::Domain, "place"},
    {BranchKind::Domain, "policy"},
    {BranchKind::Domain, "spread"},
    {BranchKind::Domain, "limits"},
    {BranchKind::Service, "service"},
    {BranchKind::Service, "policy"},
    {BranchKind::Service, "route"},
    {BranchKind::RouteGroup, "route"},
    {BranchKind::DomainService, "policy"},
    {BranchKind::DomainService, "route"},
}};

bool mayHold(BranchKind Kind, std::string_view Section) {
  return std::any_of(SectionRules.begin(), SectionRules.end(),
                     [&](const SectionRule &Rule) {
                       return Rule.Kind == Kind && Section == Rule.Section;
                     });
}

bool isName(const std::string &Text) {
  const auto Allowed = [](unsigned char Character) {
    return std::isalnum(Character) != 0 || Character == '-' ||
           Character == '_' || Character == '.';
  };
  return !Text.empty() && Text.front() != '.' && Text.size() <= MaxNameLength &&
         std::all_of(Text.begin(), Text.end(), Allowed);
}

std::vector<std::string> splitBy(const std::string &Text, char Separator) {
  std::vector<std::string> Parts;
  std::istringstream Stream(Text);
  for (std::string Part; std::getline(Stream, Part, Separator);)
    Parts.push_back(Part);
  return Parts;
}

/** Sets kind, place and service from the path; false for a bad path. */
bool classify(Branch &Target) {
  const std::vector<std::string> Names = splitBy(Target.Path, '/');
  if (!std::all_of(Names.begin(), Names.end(), isName))
    return false;
  if (Target.Path == "mesh")
    return true;
  if (Names.size() < 2 || Names.size() > 3)
    return false;
  if (Names[0] == "service") {
    Target.Kind =
        Names.size() == 2 ? BranchKind::Service : BranchKind::RouteGroup;
    Target.Service = ServiceName(Names[1]);
    return true;
  }
  if (Names[0] != "place")
    return false;
  Target.Kind =
      Names.size() == 2 ? BranchKind::Domain : BranchKind::DomainService;
  Target.Domain = FailureDomain(Names[1]);
  if (Names.size() == 3)
    Target.Service = ServiceName(Names[2]);
  return true;
}

/** What an entry sets. */
enum class EntryKind { Own, Policy, RoutePolicy, Spread, Limits };

/** The meaning of a key. */
struct KeyMeaning {
  EntryKind Kind = EntryKind::Own;

  /** Index into the table of the kind's fields. */
  size_t Field = 0;
};

/** Every key of a branch with its meaning. */
class BranchKeys {
public:
  static const BranchKeys &instance() {
    static const BranchKeys Only;
    return Only;
  }

  const KeyTable &table() const { return this->Table; }

  const KeyMeaning &meaning(size_t Index) const {
    return this->Meanings[Index];
  }

private:
  BranchKeys() : Table(this->collect()) {}

  std::vector<KeySpec> collect() {
    std::vector<KeySpec> All;
    const auto Add = [&](KeySpec Spec, KeyMeaning Meaning) {
      All.push_back(Spec);
      this->Meanings.push_back(Meaning);
    };
    const auto AddFields = [&](const auto &Fields, EntryKind Kind) {
      for (size_t Field = 0; Field < Fields.size(); ++Field) {
        KeySpec Spec = Fields[Field].Key;
        if (Kind == EntryKind::RoutePolicy)
          Spec.Section = "route";
        Add(Spec, {.Kind = Kind, .Field = Field});
      }
    };
    for (const KeySpec &Each : OwnKeys)
      Add(Each, {});
    AddFields(policyFields(), EntryKind::Policy);
    AddFields(policyFields(), EntryKind::RoutePolicy);
    AddFields(spreadFields(), EntryKind::Spread);
    AddFields(limitFields(), EntryKind::Limits);
    return All;
  }

  std::vector<KeyMeaning> Meanings;
  KeyTable Table;
};

Result<std::monostate> storeMatch(RouteDefinition &Route,
                                  const IniEntry &Entry) {
  static const std::array<const char *, 8> Methods = {
      "*", "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"};
  const size_t Space = Entry.Value.find(' ');
  Route.Method = Entry.Value.substr(0, Space);
  Route.PathPrefix =
      Space == std::string::npos ? "" : Entry.Value.substr(Space + 1);
  const bool Known =
      std::find(Methods.begin(), Methods.end(), Route.Method) != Methods.end();
  if (!Known || Route.PathPrefix.empty() || Route.PathPrefix[0] != '/' ||
      Route.PathPrefix.find(' ') != std::string::npos)
    return makeError(Errc::BadValue, "", "",
                     "'" + Entry.Value + "' is not 'METHOD /path'");
  if (Route.Method == "*")
    Route.Method.clear();
  return std::monostate();
}

Result<std::monostate> storeHost(RouteDefinition &Route,
                                 const IniEntry &Entry) {
  Route.Host = Entry.Value;
  const auto Lower = [](unsigned char Letter) {
    return static_cast<char>(std::tolower(Letter));
  };
  std::transform(Route.Host.begin(), Route.Host.end(), Route.Host.begin(),
                 Lower);
  if (Route.Host.find_first_of(" /:") != std::string::npos)
    return makeError(Errc::BadValue, "", "",
                     "'" + Entry.Value + "' is not the name of a host");
  return std::monostate();
}

Result<std::monostate> storeSplit(RouteDefinition &Route,
                                  const IniEntry &Entry) {
  double Sum = 0;
  for (const std::string &Part : splitBy(Entry.Value, ',')) {
    std::istringstream Words(Part);
    std::string Name;
    WeightedService Share;
    if (!(Words >> Name >> Share.Weight) || !isName(Name) || Share.Weight < 0)
      return makeError(Errc::BadValue, "", "",
                       "'" + Part + "' is not 'SERVICE WEIGHT'");
    Share.Service = ServiceName(Name);
    Sum += Share.Weight;
    Route.WeightedServices.push_back(std::move(Share));
  }
  if (Sum <= 0)
    return makeError(Errc::BadValue, "", "", "all weights are zero");
  return std::monostate();
}

Result<std::monostate> storeCalls(RouteDefinition &Route,
                                  const IniEntry &Entry) {
  for (std::string Name : splitBy(Entry.Value, ',')) {
    std::erase(Name, ' ');
    if (!isName(Name))
      return makeError(Errc::BadValue, "", "",
                       "'" + Name + "' is not the name of a service");
    Route.Dependencies.emplace_back(Name);
  }
  return std::monostate();
}

/** A key of a route that is not part of its policy. */
struct RouteKey {
  const char *Key;
  Result<std::monostate> (*Store)(RouteDefinition &, const IniEntry &);
};

constexpr std::array<RouteKey, 4> RouteKeys = {{
    {"match", storeMatch},
    {"calls", storeCalls},
    {"host", storeHost},
    {"split", storeSplit},
}};

RouteDefinition &routeOf(Branch &Target, const std::string &Name) {
  // The entries of a route follow each other.
  if (!Target.Routes.empty() && Target.Routes.back().Name.str() == Name)
    return Target.Routes.back();
  for (RouteDefinition &Each : Target.Routes)
    if (Each.Name.str() == Name)
      return Each;
  Target.Routes.push_back({.Name = RouteName(Name)});
  return Target.Routes.back();
}

/** Returns the route that an entry belongs to. */
Result<RouteDefinition *> routeFor(Branch &Target, const IniEntry &Entry) {
  const std::string Name = sectionName(Entry.Section);
  if (!isName(Name))
    return makeError(Errc::BadValue, "", "",
                     "'" + Name + "' is not the name of a route");
  return &routeOf(Target, Name);
}

/** Stores a key of a route that is not part of its policy. */
Result<std::monostate> storeOwnOfRoute(Branch &Target, RouteDefinition &Route,
                                       const IniEntry &Entry) {
  Route.Line = Entry.Line;
  if (Target.Kind == BranchKind::DomainService)
    return makeError(Errc::UnknownKey, "", "", "a place can't change it");
  const auto Own = std::find_if(
      RouteKeys.begin(), RouteKeys.end(),
      [&Entry](const RouteKey &Each) { return Entry.Key == Each.Key; });
  return Own->Store(Route, Entry);
}

/** Stores a key that is no setting of a policy, of the spread or of limits. */
Result<std::monostate> storeOwn(Branch &Target, const KeySpec &Spec,
                                const IniEntry &Entry) {
  const std::string_view Section = Spec.Section;
  if (Section == "mesh")
    Target.MeshName = Entry.Value;
  if (Section != "route")
    return std::monostate();
  const Result<RouteDefinition *> Route = routeFor(Target, Entry);
  if (!Route)
    return Route.error();
  return storeOwnOfRoute(Target, *Route.value(), Entry);
}

Result<std::monostate> storeEntry(Branch &Target, size_t Key,
                                  const IniEntry &Entry, double Base) {
  const BranchKeys &Keys = BranchKeys::instance();
  const KeyMeaning &Meaning = Keys.meaning(Key);
  FieldOverride Value{.Field = Meaning.Field,
                      .Text = Entry.Value,
                      .NumericValue = Base,
                      .Line = Entry.Line};
  switch (Meaning.Kind) {
  case EntryKind::Own:
    return storeOwn(Target, Keys.table()[Key], Entry);
  case EntryKind::Policy:
    Target.PolicyOverrides.push_back(std::move(Value));
    break;
  case EntryKind::Spread:
    Target.SpreadOverrides.push_back(std::move(Value));
    break;
  case EntryKind::Limits:
    Target.LimitOverrides.push_back(std::move(Value));
    break;
  case EntryKind::RoutePolicy: {
    const Result<RouteDefinition *> Route = routeFor(Target, Entry);
    if (!Route)
      return Route.error();
    if (Route.value()->Line == 0)
      Route.value()->Line = Entry.Line;
    Route.value()->PolicyOverrides.push_back(std::move(Value));
    break;
  }
  }
  return std::monostate();
}

Result<std::monostate> checkSections(const Branch &Target,
                                     const IniFile &File) {
  for (const std::string &Section : File.Sections) {
    const std::string_view Kind = sectionKind(Section);
    if (!mayHold(Target.Kind, Kind))
      return makeError(Errc::UnknownKey, File.Name, "",
                       "section [" + Section + "] has no place here");
    if (Kind != "route" && Kind != Section)
      return makeError(Errc::UnknownKey, File.Name, "",
                       "section [" + Section + "] takes no name");
  }
  return std::monostate();
}

} // namespace

Result<Branch> parseBranch(const std::string &Path, std::string_view Text) {
  Branch Target{.Path = Path};
  const std::string Name = Path + ".ini";
  if (!classify(Target))
    return makeError(Errc::BadValue, Name, "",
                     "not the path of a branch: expected mesh, place/NAME, "
                     "service/NAME, service/NAME/GROUP or "
                     "place/NAME/SERVICE");
  const Result<IniFile> File = parseIni(Name, Text);
  if (!File)
    return File.error();
  const auto Sections = checkSections(Target, File.value());
  if (!Sections)
    return Sections.error();
  const auto Checked =
      checkEntries(File.value(), BranchKeys::instance().table(),
                   [&Target](size_t Key, const IniEntry &Entry, double Base) {
                     return storeEntry(Target, Key, Entry, Base);
                   });
  if (!Checked)
    return Checked.error();
  if (Target.Kind == BranchKind::Mesh && Target.MeshName.empty())
    return makeError(Errc::Incomplete, Name, "", "[mesh] has no key 'name'");
  for (const RouteDefinition &Route : Target.Routes)
    if (Target.Kind != BranchKind::DomainService && Route.PathPrefix.empty())
      return makeLineError(Errc::Incomplete, Name, Route.Line,
                           "route '" + Route.Name.str() +
                               "' has no key 'match'");
  return Target;
}

} // namespace bluebellbarrow

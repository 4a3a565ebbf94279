#include "branch.h"

#include "branchpath.h"
#include "policy.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <optional>
#include <sstream>

namespace bluebellbarrow {

namespace {

/** Keys that are not fields of a policy, a spread policy or limits. */
const std::array<KeySpec, 7> StructureKeys = {{
    {"mesh", "name", KeyType::Text, 1, MaxTextBytes, "", "name of the mesh"},
    {"service", "about", KeyType::Text, 0, MaxTextBytes, "",
     "what the service is for"},
    {"route", "match", KeyType::Text, 1, MaxTextBytes, "",
     "method and path prefix; '*' for any method"},
    {"route", "host", KeyType::Text, 1, MaxTextBytes, "",
     "host name that requests must have"},
    {"route", "split", KeyType::Text, 1, MaxTextBytes, "",
     "services that share the requests, as 'NAME WEIGHT, NAME WEIGHT'"},
    {"route", "calls", KeyType::Text, 0, MaxTextBytes, "",
     "services that the route's target calls"},
    {"place", "about", KeyType::Text, 0, MaxTextBytes, "",
     "what the failure domain is"},
}};

struct SectionRule {
  BranchKind Kind;
  const char *Section;
};

/** The sections that each kind of branch may have. */
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

bool isSectionAllowed(BranchKind Kind, std::string_view Section) {
  return std::any_of(SectionRules.begin(), SectionRules.end(),
                     [&](const SectionRule &Rule) {
                       return Rule.Kind == Kind && Section == Rule.Section;
                     });
}

std::vector<std::string> splitBy(const std::string &Text, char Separator) {
  std::vector<std::string> Parts;
  std::istringstream Stream(Text);
  for (std::string Part; std::getline(Stream, Part, Separator);)
    Parts.push_back(Part);
  return Parts;
}

/** Decodes the names in \a Path; nullopt if one of them is malformed. */
std::optional<std::vector<std::string>> decodePath(const std::string &Path) {
  std::vector<std::string> Names;
  for (const std::string &Encoded : splitBy(Path, '/')) {
    std::optional<std::string> Name = decodeName(Encoded);
    if (!Name)
      return std::nullopt;
    Names.push_back(std::move(*Name));
  }
  return Names;
}

/**
 * Sets the kind, domain and service of \a Parsed from its path. Returns false
 * if the path is invalid.
 */
bool parsePath(Branch &Parsed) {
  if (Parsed.Path == MeshPath)
    return true;
  const std::optional<std::vector<std::string>> Decoded =
      decodePath(Parsed.Path);
  if (!Decoded || Decoded->size() < 2 || Decoded->size() > 3)
    return false;
  const std::vector<std::string> &Names = *Decoded;
  if (Names[0] == "service") {
    Parsed.Kind =
        Names.size() == 2 ? BranchKind::Service : BranchKind::RouteGroup;
    Parsed.Service = ServiceName(Names[1]);
    return true;
  }
  if (Names[0] != "place")
    return false;
  Parsed.Kind =
      Names.size() == 2 ? BranchKind::Domain : BranchKind::DomainService;
  Parsed.Domain = FailureDomain(Names[1]);
  if (Names.size() == 3)
    Parsed.Service = ServiceName(Names[2]);
  return true;
}

/** Kind of value that an entry of a branch sets. */
enum class EntryKind {
  /** The mesh's name, a description, or the definition of a route. */
  Structure,

  Policy,
  RoutePolicy,
  Spread,
  Limits
};

/** The value of a branch that a key sets. */
struct KeyMeaning {
  EntryKind Kind = EntryKind::Structure;

  /**
   * Index into policyFields(), spreadFields() or limitFields(), depending on
   * the kind; unused for Structure.
   */
  size_t Field = 0;
};

/** Every key that a branch may have, with its meaning. */
class BranchKeys {
public:
  static const BranchKeys &instance() {
    static const BranchKeys Instance;
    return Instance;
  }

  const KeyTable &table() const { return this->Table; }

  const KeyMeaning &meaning(size_t Index) const {
    return this->Meanings[Index];
  }

private:
  BranchKeys() : Table(this->collectKeys()) {}

  /** Returns all keys; fills Meanings in the same order. */
  std::vector<KeySpec> collectKeys() {
    std::vector<KeySpec> Specs;
    const auto Add = [&](KeySpec Spec, KeyMeaning Meaning) {
      Specs.push_back(Spec);
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
    for (const KeySpec &Spec : StructureKeys)
      Add(Spec, {});
    AddFields(policyFields(), EntryKind::Policy);
    AddFields(policyFields(), EntryKind::RoutePolicy);
    AddFields(spreadFields(), EntryKind::Spread);
    AddFields(limitFields(), EntryKind::Limits);
    return Specs;
  }

  /** Declared before Table, whose initialization fills it. */
  std::vector<KeyMeaning> Meanings;

  KeyTable Table;
};

Result<std::monostate> parseMatch(RouteDefinition &Route,
                                  const IniEntry &Entry) {
  static const std::array<const char *, 8> Methods = {
      "*", "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"};
  const size_t Space = Entry.Value.find(' ');
  Route.Method = Entry.Value.substr(0, Space);
  Route.PathPrefix =
      Space == std::string::npos ? "" : Entry.Value.substr(Space + 1);
  const bool IsKnownMethod =
      std::find(Methods.begin(), Methods.end(), Route.Method) != Methods.end();
  if (!IsKnownMethod || Route.PathPrefix.empty() ||
      Route.PathPrefix[0] != '/' ||
      Route.PathPrefix.find(' ') != std::string::npos)
    return makeError(Errc::BadValue, "", "",
                     "'" + Entry.Value + "' is not 'METHOD /path'");
  if (Route.Method == "*")
    Route.Method.clear();
  return std::monostate();
}

Result<std::monostate> parseHost(RouteDefinition &Route,
                                 const IniEntry &Entry) {
  Route.Host = Entry.Value;
  const auto ToLower = [](unsigned char Character) {
    return static_cast<char>(std::tolower(Character));
  };
  std::transform(Route.Host.begin(), Route.Host.end(), Route.Host.begin(),
                 ToLower);
  if (Route.Host.find_first_of(" /:") != std::string::npos)
    return makeError(Errc::BadValue, "", "",
                     "'" + Entry.Value + "' is not a host name");
  return std::monostate();
}

Result<std::monostate> parseSplit(RouteDefinition &Route,
                                  const IniEntry &Entry) {
  double Sum = 0;
  for (const std::string &Part : splitBy(Entry.Value, ',')) {
    std::istringstream Words(Part);
    std::string Name;
    WeightedService Weighted;
    Words >> Name >> Weighted.Weight;
    const std::optional<std::string> Service = decodeName(Name);
    if (!Words || !Service || Weighted.Weight < 0)
      return makeError(Errc::BadValue, "", "",
                       "'" + Part + "' is not 'SERVICE WEIGHT'");
    Weighted.Service = ServiceName(*Service);
    Sum += Weighted.Weight;
    Route.WeightedServices.push_back(std::move(Weighted));
  }
  if (Sum <= 0)
    return makeError(Errc::BadValue, "", "", "all weights are zero");
  return std::monostate();
}

Result<std::monostate> parseCalls(RouteDefinition &Route,
                                  const IniEntry &Entry) {
  for (std::string Name : splitBy(Entry.Value, ',')) {
    std::erase(Name, ' ');
    std::optional<std::string> Service = decodeName(Name);
    if (!Service)
      return makeError(Errc::BadValue, "", "",
                       "'" + Name + "' is not a service name");
    Route.Dependencies.emplace_back(std::move(*Service));
  }
  return std::monostate();
}

/** A key of a route that is not a policy key. */
struct RouteKey {
  const char *Key;
  Result<std::monostate> (*Parse)(RouteDefinition &, const IniEntry &);
};

constexpr std::array<RouteKey, 4> RouteKeys = {{
    {"match", parseMatch},
    {"calls", parseCalls},
    {"host", parseHost},
    {"split", parseSplit},
}};

RouteDefinition &findOrAddRoute(Branch &Parsed, const std::string &Name) {
  // Entries of one route are adjacent, so the last route usually matches.
  if (!Parsed.Routes.empty() && Parsed.Routes.back().Name.str() == Name)
    return Parsed.Routes.back();
  for (RouteDefinition &Route : Parsed.Routes)
    if (Route.Name.str() == Name)
      return Route;
  Parsed.Routes.push_back({.Name = RouteName(Name)});
  return Parsed.Routes.back();
}

/** Returns the route that the section of \a Entry names; adds it if missing. */
Result<RouteDefinition *> routeOfEntry(Branch &Parsed, const IniEntry &Entry) {
  const std::string Encoded = sectionName(Entry.Section);
  const std::optional<std::string> Name = decodeName(Encoded);
  if (!Name)
    return makeError(Errc::BadValue, "", "",
                     "'" + Encoded + "' is not a route name");
  return &findOrAddRoute(Parsed, *Name);
}

/** Parses a key of a route that is not a policy key into \a Route. */
Result<std::monostate> parseRouteKey(Branch &Parsed, RouteDefinition &Route,
                                     const IniEntry &Entry) {
  Route.Line = Entry.Line;
  if (Parsed.Kind == BranchKind::DomainService)
    return makeError(Errc::UnknownKey, "", "",
                     "a branch place/NAME/SERVICE can't set this key");
  // Always found: checkEntries() rejects unknown keys.
  const auto Found = std::find_if(RouteKeys.begin(), RouteKeys.end(),
                                  [&Entry](const RouteKey &Candidate) {
                                    return Entry.Key == Candidate.Key;
                                  });
  return Found->Parse(Route, Entry);
}

/** Applies an entry of EntryKind::Structure. */
Result<std::monostate> applyStructureKey(Branch &Parsed, const KeySpec &Spec,
                                         const IniEntry &Entry) {
  const std::string_view Section = Spec.Section;
  if (Section == "mesh")
    Parsed.MeshName = Entry.Value;
  if (Section != "route")
    return std::monostate();
  const Result<RouteDefinition *> Route = routeOfEntry(Parsed, Entry);
  if (!Route)
    return Route.error();
  return parseRouteKey(Parsed, *Route.value(), Entry);
}

Result<std::monostate> applyEntry(Branch &Parsed, size_t KeyIndex,
                                  const IniEntry &Entry, double NumericValue) {
  const BranchKeys &Keys = BranchKeys::instance();
  const KeyMeaning &Meaning = Keys.meaning(KeyIndex);
  FieldOverride Override{.Field = Meaning.Field,
                         .Text = Entry.Value,
                         .NumericValue = NumericValue,
                         .Line = Entry.Line};
  switch (Meaning.Kind) {
  case EntryKind::Structure:
    return applyStructureKey(Parsed, Keys.table()[KeyIndex], Entry);
  case EntryKind::Policy:
    Parsed.PolicyOverrides.push_back(std::move(Override));
    break;
  case EntryKind::Spread:
    Parsed.SpreadOverrides.push_back(std::move(Override));
    break;
  case EntryKind::Limits:
    Parsed.LimitOverrides.push_back(std::move(Override));
    break;
  case EntryKind::RoutePolicy: {
    const Result<RouteDefinition *> Route = routeOfEntry(Parsed, Entry);
    if (!Route)
      return Route.error();
    if (Route.value()->Line == 0)
      Route.value()->Line = Entry.Line;
    Route.value()->PolicyOverrides.push_back(std::move(Override));
    break;
  }
  }
  return std::monostate();
}

Result<std::monostate> checkSections(const Branch &Parsed,
                                     const IniFile &File) {
  for (const std::string &Section : File.Sections) {
    const std::string_view Kind = sectionKind(Section);
    if (!isSectionAllowed(Parsed.Kind, Kind))
      return makeError(Errc::UnknownKey, File.Name, "",
                       "section [" + Section + "] has no place here");
    if (Kind != "route" && Kind != Section)
      return makeError(Errc::UnknownKey, File.Name, "",
                       "section [" + Section + "] can't have a name");
  }
  return std::monostate();
}

} // namespace

Result<Branch> parseBranch(const std::string &Path, std::string_view Text) {
  Branch Parsed{.Path = Path};
  const std::string FileName = Path + ".ini";
  if (!parsePath(Parsed))
    return makeError(Errc::BadValue, FileName, "",
                     "not the path of a branch: expected mesh, place/NAME, "
                     "service/NAME, service/NAME/GROUP or "
                     "place/NAME/SERVICE");
  const Result<IniFile> File = parseIni(FileName, Text);
  if (!File)
    return File.error();
  const auto SectionsStatus = checkSections(Parsed, File.value());
  if (!SectionsStatus)
    return SectionsStatus.error();
  const auto EntriesStatus = checkEntries(
      File.value(), BranchKeys::instance().table(),
      [&Parsed](size_t KeyIndex, const IniEntry &Entry, double NumericValue) {
        return applyEntry(Parsed, KeyIndex, Entry, NumericValue);
      });
  if (!EntriesStatus)
    return EntriesStatus.error();
  if (Parsed.Kind == BranchKind::Mesh && Parsed.MeshName.empty())
    return makeError(Errc::Incomplete, FileName, "",
                     "[mesh] has no key 'name'");
  for (const RouteDefinition &Route : Parsed.Routes)
    if (Parsed.Kind != BranchKind::DomainService && Route.PathPrefix.empty())
      return makeLineError(Errc::Incomplete, FileName, Route.Line,
                           "route '" + Route.Name.str() +
                               "' has no key 'match'");
  return Parsed;
}

} // namespace bluebellbarrow

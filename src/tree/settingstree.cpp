#include "settingstree.h"

#include "kernel/hashing.h"
#include "kernel/inifile.h"
#include "routetable.h"

#include <algorithm>
#include <filesystem>
#include <functional>
#include <set>

namespace bluebellbarrow {

namespace {

std::string fileName(const Branch &Of) { return Of.Path + ".ini"; }

/** Returns a hash of a route's name in a service. */
uint64_t nameHash(const ServiceName &Service, const RouteName &Route) {
  constexpr uint64_t ServiceFactor = 0x9e3779b97f4a7c15;
  return stableHash(Service.str()) * ServiceFactor + stableHash(Route.str());
}

/** Returns the refinement of a route by a place, or null. */
const RouteDefinition *findRefinement(const Branch &In, const RouteName &Name) {
  const auto Found = std::find_if(
      In.Routes.begin(), In.Routes.end(),
      [&Name](const RouteDefinition &Each) { return Each.Name == Name; });
  return Found == In.Routes.end() ? nullptr : &*Found;
}

} // namespace

std::vector<Error> SettingsTree::findFaults() const {
  std::vector<Error> Faults;
  this->checkParents(Faults);
  this->checkRoutes(Faults);
  this->checkCycles(Faults);
  return Faults;
}

std::vector<Error> SettingsTree::check(const BranchTexts &Texts) {
  SettingsTree Tree;
  std::vector<Error> Faults;
  for (const auto &[Path, Text] : Texts) {
    Result<Branch> Parsed = parseBranch(Path, Text);
    if (Parsed)
      Tree.Branches.emplace(
          Path, std::make_shared<const Branch>(std::move(Parsed.value())));
    else
      Faults.push_back(Parsed.error());
  }
  if (!Faults.empty())
    return Faults;
  Tree.indexRoutes();
  return Tree.findFaults();
}

Result<std::shared_ptr<const SettingsTree>>
SettingsTree::build(BranchMap Parsed) {
  auto Tree = std::make_shared<SettingsTree>();
  Tree->Branches = std::move(Parsed);
  Tree->indexRoutes();
  const std::vector<Error> Faults = Tree->findFaults();
  if (!Faults.empty())
    return Faults.front();
  return std::shared_ptr<const SettingsTree>(std::move(Tree));
}

Result<std::shared_ptr<const SettingsTree>>
SettingsTree::parse(const BranchTexts &Texts) {
  BranchMap Branches;
  for (const auto &[Path, Text] : Texts) {
    Result<Branch> Parsed = parseBranch(Path, Text);
    if (!Parsed)
      return Parsed.error();
    Branches.emplace(Path,
                     std::make_shared<const Branch>(std::move(Parsed.value())));
  }
  return build(std::move(Branches));
}

const std::string &SettingsTree::meshName() const {
  return this->Branches.at("mesh")->MeshName;
}

const Branch *SettingsTree::find(const std::string &Path) const {
  const auto Found = this->Branches.find(Path);
  return Found == this->Branches.end() ? nullptr : Found->second.get();
}

std::vector<ServiceName> SettingsTree::services() const {
  std::vector<ServiceName> Names;
  for (const auto &[Path, Each] : this->Branches)
    if (Each->Kind == BranchKind::Service)
      Names.push_back(Each->Service);
  return Names;
}

const std::vector<const RouteDefinition *> &
SettingsTree::routes(const ServiceName &Service) const {
  static const std::vector<const RouteDefinition *> None;
  const auto Found = this->RoutesByService.find(Service);
  return Found == this->RoutesByService.end() ? None : Found->second;
}

void SettingsTree::indexRoutes() {
  HashIndex<const RouteDefinition *> Matches;
  for (const auto &[Path, Each] : this->Branches) {
    if (Each->Kind != BranchKind::Service &&
        Each->Kind != BranchKind::RouteGroup)
      continue;
    std::vector<const RouteDefinition *> &Routes =
        this->RoutesByService[Each->Service];
    for (const RouteDefinition &Route : Each->Routes) {
      Routes.push_back(&Route);
      this->RouteIndex.add(nameHash(Each->Service, Route.Name),
                           {.Route = &Route, .Owner = Each.get()});
      Matches.add(matchHash(Route.Host, Route.Method, Route.PathPrefix),
                  &Route);
    }
  }
  this->RouteIndex.build();
  Matches.build();
  this->MayHaveDuplicateMatches = Matches.hasDuplicateHashes();
}

const SettingsTree::RouteOwner *
SettingsTree::findRoute(const ServiceName &Service,
                        const RouteName &Route) const {
  return this->RouteIndex.find(
      nameHash(Service, Route), [&](const RouteOwner &Each) {
        return Each.Route->Name == Route && Each.Owner->Service == Service;
      });
}

std::vector<SettingsTree::Layer>
SettingsTree::collectLayers(const FailureDomain &Place,
                            const ServiceName &Service,
                            const RouteName &Route) const {
  const std::string PlacePath = "place/" + Place.str();
  const std::string BothPath = PlacePath + "/" + Service.str();
  std::vector<Layer> Layers;
  for (const std::string &Path :
       {std::string("mesh"), PlacePath, "service/" + Service.str(), BothPath})
    if (const Branch *Each = this->find(Path))
      Layers.push_back({Path, &Each->PolicyOverrides});
  if (const RouteOwner *Found = this->findRoute(Service, Route))
    Layers.push_back({Found->Owner->Path + "/" + Route.str(),
                      &Found->Route->PolicyOverrides});
  const Branch *Both = this->find(BothPath);
  const RouteDefinition *Refined =
      Both == nullptr ? nullptr : findRefinement(*Both, Route);
  if (Refined != nullptr)
    Layers.push_back({BothPath + "/" + Route.str(), &Refined->PolicyOverrides});
  return Layers;
}

Policy SettingsTree::policy(const FailureDomain &Place,
                            const ServiceName &Service, const RouteName &Route,
                            const Policy &Base) const {
  Policy Effective = Base;
  for (const Layer &Each : this->collectLayers(Place, Service, Route))
    for (const FieldOverride &Value : *Each.Overrides)
      setField(policyFields()[Value.Field], Value.Text, Value.NumericValue,
               Effective);
  return Effective;
}

Policy SettingsTree::routePolicy(const FailureDomain &Place,
                                 const ServiceName &Service,
                                 const RouteDefinition &Route,
                                 const Policy &Common) const {
  Policy Effective = Common;
  const auto Apply = [&Effective](const std::vector<FieldOverride> &Values) {
    for (const FieldOverride &Value : Values)
      setField(policyFields()[Value.Field], Value.Text, Value.NumericValue,
               Effective);
  };
  Apply(Route.PolicyOverrides);
  const Branch *Both = this->find("place/" + Place.str() + "/" + Service.str());
  const RouteDefinition *Refined =
      Both == nullptr ? nullptr : findRefinement(*Both, Route.Name);
  if (Refined != nullptr)
    Apply(Refined->PolicyOverrides);
  return Effective;
}

SpreadPolicy SettingsTree::spreadPolicy(const FailureDomain &Place,
                                        const SpreadPolicy &Base) const {
  SpreadPolicy Effective = Base;
  for (const std::string &Path : {std::string("mesh"), "place/" + Place.str()})
    if (const Branch *Each = this->find(Path))
      for (const FieldOverride &Value : Each->SpreadOverrides)
        setField(spreadFields()[Value.Field], Value.Text, Value.NumericValue,
                 Effective);
  return Effective;
}

CallerLimits SettingsTree::callerLimits(const FailureDomain &Place) const {
  CallerLimits Effective = defaultCallerLimits();
  for (const std::string &Path : {std::string("mesh"), "place/" + Place.str()})
    if (const Branch *Each = this->find(Path))
      for (const FieldOverride &Value : Each->LimitOverrides)
        setField(limitFields()[Value.Field], Value.Text, Value.NumericValue,
                 Effective);
  return Effective;
}

std::vector<EffectiveValue>
SettingsTree::explain(const FailureDomain &Place, const ServiceName &Service,
                      const RouteName &Route) const {
  std::vector<EffectiveValue> Values;
  for (const auto &Field : policyFields())
    Values.push_back(
        {.Key = Field.Key.Key, .Text = Field.Key.Default, .Source = "default"});
  for (const Layer &Each : this->collectLayers(Place, Service, Route))
    for (const FieldOverride &Value : *Each.Overrides) {
      EffectiveValue &Target = Values[Value.Field];
      Target.Text = Value.Text;
      Target.Source = Each.Source;
      Target.Line = Value.Line;
    }
  return Values;
}

void SettingsTree::checkParents(std::vector<Error> &Faults) const {
  if (this->find("mesh") == nullptr)
    Faults.push_back(makeError(Errc::MissingParent, "mesh.ini", "",
                               "the tree has no branch 'mesh'"));
  for (const auto &[Path, Shared] : this->Branches) {
    const Branch &Each = *Shared;
    std::vector<std::string> Parents;
    if (Each.Kind == BranchKind::DomainService)
      Parents.push_back("place/" + Each.Domain.str());
    if (Each.Kind == BranchKind::DomainService ||
        Each.Kind == BranchKind::RouteGroup)
      Parents.push_back("service/" + Each.Service.str());
    for (const std::string &Parent : Parents)
      if (this->find(Parent) == nullptr)
        Faults.push_back(makeError(Errc::MissingParent, fileName(Each), "",
                                   "the tree has no branch '" + Parent + "'"));
  }
}

void SettingsTree::checkReferences(const Branch &In,
                                   const RouteDefinition &Route,
                                   std::vector<Error> &Faults) const {
  const auto Check = [&](const char *Key, const ServiceName &Name) {
    if (this->find("service/" + Name.str()) == nullptr)
      Faults.push_back(makeLineError(
          Errc::UnknownService, fileName(In), Route.Line,
          std::string("key '") + Key + "': '" + Name.str() + "'"));
  };
  for (const ServiceName &Name : Route.Dependencies)
    Check("calls", Name);
  for (const WeightedService &Share : Route.WeightedServices)
    Check("split", Share.Service);
}

void SettingsTree::checkRoutes(std::vector<Error> &Faults) const {
  for (const auto &[Path, Shared] : this->Branches) {
    const Branch &Each = *Shared;
    if (Each.Routes.empty())
      continue;
    const bool HasService =
        this->find("service/" + Each.Service.str()) != nullptr;
    for (const RouteDefinition &Route : Each.Routes) {
      const RouteOwner *Known = this->findRoute(Each.Service, Route.Name);
      if (Known == nullptr && HasService)
        Faults.push_back(makeLineError(
            Errc::MissingParent, fileName(Each), Route.Line,
            "the service has no route '" + Route.Name.str() + "'"));
      this->checkReferences(Each, Route, Faults);
      if (Each.Kind != BranchKind::DomainService && Known != nullptr &&
          Known->Owner != &Each)
        Faults.push_back(makeLineError(
            Errc::Duplicate, fileName(Each), Route.Line,
            "route '" + Route.Name.str() + "' is in " + Known->Owner->Path));
    }
  }
  if (this->MayHaveDuplicateMatches)
    this->checkMatches(Faults);
}

void SettingsTree::checkMatches(std::vector<Error> &Faults) const {
  std::map<std::string, std::string> Matches;
  for (const auto &[Path, Each] : this->Branches) {
    if (Each->Kind == BranchKind::DomainService)
      continue;
    for (const RouteDefinition &Route : Each->Routes) {
      const std::string Match = (Route.Method.empty() ? "*" : Route.Method) +
                                " " + Route.Host + Route.PathPrefix;
      const auto [Taken, New] =
          Matches.emplace(Match, Path + "/" + Route.Name.str());
      if (!New)
        Faults.push_back(makeLineError(
            Errc::Duplicate, fileName(*Each), Route.Line,
            "key 'match': '" + Match + "' is that of " + Taken->second));
    }
  }
}

void SettingsTree::checkCycles(std::vector<Error> &Faults) const {
  std::set<ServiceName> Finished;
  std::vector<ServiceName> Stack;
  const std::function<bool(const ServiceName &)> Visit =
      [&](const ServiceName &Name) {
        if (Finished.contains(Name))
          return true;
        if (std::find(Stack.begin(), Stack.end(), Name) != Stack.end())
          return false;
        Stack.push_back(Name);
        for (const RouteDefinition *Route : this->routes(Name))
          for (const ServiceName &Called : Route->Dependencies)
            if (!Visit(Called)) {
              const Branch &Owner = *this->findRoute(Name, Route->Name)->Owner;
              Faults.push_back(makeLineError(
                  Errc::DependencyCycle, fileName(Owner), Route->Line,
                  "key 'calls': '" + Called.str() + "' leads back here"));
              Finished.insert(Name);
            }
        Stack.pop_back();
        Finished.insert(Name);
        return true;
      };
  for (const ServiceName &Name : this->services())
    Visit(Name);
}

Result<BranchTexts> readBranchTexts(const std::string &Directory) {
  namespace fs = std::filesystem; // NOLINT: customary alias
  std::error_code Code;
  const fs::path Root(Directory);
  fs::recursive_directory_iterator Files(Root, Code);
  if (Code)
    return Error{.Code = Code,
                 .Step = "read tree",
                 .Peer = "",
                 .Detail = "'" + Directory + "'"};
  BranchTexts Texts;
  for (const fs::directory_entry &File : Files) {
    if (!File.is_regular_file())
      continue;
    fs::path Path = File.path().lexically_relative(Root);
    if (Path.extension() != ".ini")
      return makeError(Errc::BadValue, Path.string(), "",
                       "a tree holds only files named *.ini");
    Result<std::string> Text = readFile(File.path().string());
    if (!Text)
      return Text.error();
    Texts.emplace(Path.replace_extension().generic_string(),
                  std::move(Text.value()));
  }
  return Texts;
}

} // namespace bluebellbarrow

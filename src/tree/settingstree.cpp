#include "settingstree.h"

#include "branchpath.h"
#include "kernel/hashing.h"
#include "kernel/inifile.h"
#include "routetable.h"

#include <algorithm>
#include <filesystem>
#include <functional>
#include <set>

namespace bluebellbarrow {

namespace {

std::string fileName(const Branch &Source) { return Source.Path + ".ini"; }

/** Returns a hash of a route's name in a service. */
uint64_t routeNameHash(const ServiceName &Service, const RouteName &Route) {
  constexpr uint64_t ServiceFactor = 0x9e3779b97f4a7c15;
  return stableHash(Service.str()) * ServiceFactor + stableHash(Route.str());
}

/** Returns the overrides that a branch of a domain sets for a route, or null.
 */
const RouteDefinition *findRouteOverrides(const Branch &Source,
                                          const RouteName &Name) {
  const auto Found = std::find_if(
      Source.Routes.begin(), Source.Routes.end(),
      [&Name](const RouteDefinition &Route) { return Route.Name == Name; });
  return Found == Source.Routes.end() ? nullptr : &*Found;
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
  return this->Branches.at(MeshPath)->MeshName;
}

const Branch *SettingsTree::find(const std::string &Path) const {
  const auto Found = this->Branches.find(Path);
  return Found == this->Branches.end() ? nullptr : Found->second.get();
}

std::vector<ServiceName> SettingsTree::services() const {
  std::vector<ServiceName> Names;
  for (const auto &[Path, Source] : this->Branches)
    if (Source->Kind == BranchKind::Service)
      Names.push_back(Source->Service);
  // Paths hold encoded names, whose order may differ.
  std::sort(Names.begin(), Names.end());
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
  for (const auto &[Path, Source] : this->Branches) {
    if (Source->Kind != BranchKind::Service &&
        Source->Kind != BranchKind::RouteGroup)
      continue;
    std::vector<const RouteDefinition *> &Routes =
        this->RoutesByService[Source->Service];
    for (const RouteDefinition &Route : Source->Routes) {
      Routes.push_back(&Route);
      this->RouteIndex.add(routeNameHash(Source->Service, Route.Name),
                           {.Route = &Route, .Owner = Source.get()});
      Matches.add(matchHash(Route.Host, Route.Method, Route.PathPrefix),
                  &Route);
    }
  }
  this->RouteIndex.build();
  Matches.build();
  this->MayHaveDuplicateMatches = Matches.hasDuplicateHashes();
}

const SettingsTree::OwnedRoute *
SettingsTree::findRoute(const ServiceName &Service,
                        const RouteName &Route) const {
  return this->RouteIndex.find(routeNameHash(Service, Route),
                               [&](const OwnedRoute &Candidate) {
                                 return Candidate.Route->Name == Route &&
                                        Candidate.Owner->Service == Service;
                               });
}

std::vector<SettingsTree::Layer>
SettingsTree::collectLayers(const FailureDomain &Domain,
                            const ServiceName &Service,
                            const RouteName &Route) const {
  const std::string DomainServicePath = domainServicePath(Domain, Service);
  std::vector<Layer> Layers;
  for (const std::string &Path : {std::string(MeshPath), domainPath(Domain),
                                  servicePath(Service), DomainServicePath})
    if (const Branch *Source = this->find(Path))
      Layers.push_back({Path, &Source->PolicyOverrides});
  if (const OwnedRoute *Found = this->findRoute(Service, Route))
    Layers.push_back({Found->Owner->Path + "/" + Route.str(),
                      &Found->Route->PolicyOverrides});
  const Branch *DomainServiceBranch = this->find(DomainServicePath);
  const RouteDefinition *DomainRoute =
      DomainServiceBranch == nullptr
          ? nullptr
          : findRouteOverrides(*DomainServiceBranch, Route);
  if (DomainRoute != nullptr)
    Layers.push_back(
        {DomainServicePath + "/" + Route.str(), &DomainRoute->PolicyOverrides});
  return Layers;
}

Policy SettingsTree::policy(const FailureDomain &Domain,
                            const ServiceName &Service, const RouteName &Route,
                            const Policy &Defaults) const {
  Policy Effective = Defaults;
  for (const Layer &CurrentLayer : this->collectLayers(Domain, Service, Route))
    for (const FieldOverride &Override : *CurrentLayer.Overrides)
      setField(policyFields()[Override.Field], Override.Text,
               Override.NumericValue, Effective);
  return Effective;
}

Policy SettingsTree::routePolicy(const FailureDomain &Domain,
                                 const ServiceName &Service,
                                 const RouteDefinition &Route,
                                 const Policy &ServicePolicy) const {
  Policy Effective = ServicePolicy;
  const auto Apply = [&Effective](const std::vector<FieldOverride> &Overrides) {
    for (const FieldOverride &Override : Overrides)
      setField(policyFields()[Override.Field], Override.Text,
               Override.NumericValue, Effective);
  };
  Apply(Route.PolicyOverrides);
  const Branch *DomainServiceBranch =
      this->find(domainServicePath(Domain, Service));
  const RouteDefinition *DomainRoute =
      DomainServiceBranch == nullptr
          ? nullptr
          : findRouteOverrides(*DomainServiceBranch, Route.Name);
  if (DomainRoute != nullptr)
    Apply(DomainRoute->PolicyOverrides);
  return Effective;
}

SpreadPolicy SettingsTree::spreadPolicy(const FailureDomain &Domain,
                                        const SpreadPolicy &Defaults) const {
  SpreadPolicy Effective = Defaults;
  for (const std::string &Path : {std::string(MeshPath), domainPath(Domain)})
    if (const Branch *Source = this->find(Path))
      for (const FieldOverride &Override : Source->SpreadOverrides)
        setField(spreadFields()[Override.Field], Override.Text,
                 Override.NumericValue, Effective);
  return Effective;
}

CallerLimits SettingsTree::callerLimits(const FailureDomain &Domain) const {
  CallerLimits Effective = defaultCallerLimits();
  for (const std::string &Path : {std::string(MeshPath), domainPath(Domain)})
    if (const Branch *Source = this->find(Path))
      for (const FieldOverride &Override : Source->LimitOverrides)
        setField(limitFields()[Override.Field], Override.Text,
                 Override.NumericValue, Effective);
  return Effective;
}

std::vector<EffectiveValue>
SettingsTree::explain(const FailureDomain &Domain, const ServiceName &Service,
                      const RouteName &Route) const {
  std::vector<EffectiveValue> Values;
  for (const auto &Field : policyFields())
    Values.push_back(
        {.Key = Field.Key.Key, .Text = Field.Key.Default, .Source = "default"});
  for (const Layer &CurrentLayer : this->collectLayers(Domain, Service, Route))
    for (const FieldOverride &Override : *CurrentLayer.Overrides) {
      EffectiveValue &Effective = Values[Override.Field];
      Effective.Text = Override.Text;
      Effective.Source = CurrentLayer.Source;
      Effective.Line = Override.Line;
    }
  return Values;
}

void SettingsTree::checkParents(std::vector<Error> &Faults) const {
  if (this->find(MeshPath) == nullptr)
    Faults.push_back(makeError(Errc::MissingParent, "mesh.ini", "",
                               "the tree has no branch 'mesh'"));
  for (const auto &[Path, SourcePtr] : this->Branches) {
    const Branch &Source = *SourcePtr;
    std::vector<std::string> Parents;
    if (Source.Kind == BranchKind::DomainService)
      Parents.push_back(domainPath(Source.Domain));
    if (Source.Kind == BranchKind::DomainService ||
        Source.Kind == BranchKind::RouteGroup)
      Parents.push_back(servicePath(Source.Service));
    for (const std::string &Parent : Parents)
      if (this->find(Parent) == nullptr)
        Faults.push_back(makeError(Errc::MissingParent, fileName(Source), "",
                                   "the tree has no branch '" + Parent + "'"));
  }
}

void SettingsTree::checkReferences(const Branch &Owner,
                                   const RouteDefinition &Route,
                                   std::vector<Error> &Faults) const {
  const auto Check = [&](const char *Key, const ServiceName &Name) {
    if (this->find(servicePath(Name)) == nullptr)
      Faults.push_back(makeLineError(
          Errc::UnknownService, fileName(Owner), Route.Line,
          std::string("key '") + Key + "': '" + Name.str() + "'"));
  };
  for (const ServiceName &Name : Route.Dependencies)
    Check("calls", Name);
  for (const WeightedService &Weighted : Route.WeightedServices)
    Check("split", Weighted.Service);
}

void SettingsTree::checkRoutes(std::vector<Error> &Faults) const {
  for (const auto &[Path, SourcePtr] : this->Branches) {
    const Branch &Source = *SourcePtr;
    if (Source.Routes.empty())
      continue;
    const bool HasService = this->find(servicePath(Source.Service)) != nullptr;
    for (const RouteDefinition &Route : Source.Routes) {
      const OwnedRoute *Indexed = this->findRoute(Source.Service, Route.Name);
      if (Indexed == nullptr && HasService)
        Faults.push_back(makeLineError(
            Errc::MissingParent, fileName(Source), Route.Line,
            "the service has no route '" + Route.Name.str() + "'"));
      this->checkReferences(Source, Route, Faults);
      if (Source.Kind != BranchKind::DomainService && Indexed != nullptr &&
          Indexed->Owner != &Source)
        Faults.push_back(
            makeLineError(Errc::Duplicate, fileName(Source), Route.Line,
                          "route '" + Route.Name.str() + "' is already in " +
                              Indexed->Owner->Path));
    }
  }
  if (this->MayHaveDuplicateMatches)
    this->checkMatches(Faults);
}

void SettingsTree::checkMatches(std::vector<Error> &Faults) const {
  std::map<std::string, std::string> Matches;
  for (const auto &[Path, Source] : this->Branches) {
    if (Source->Kind == BranchKind::DomainService)
      continue;
    for (const RouteDefinition &Route : Source->Routes) {
      const std::string Match = (Route.Method.empty() ? "*" : Route.Method) +
                                " " + Route.Host + Route.PathPrefix;
      const auto [Existing, Inserted] =
          Matches.emplace(Match, Path + "/" + Route.Name.str());
      if (!Inserted)
        Faults.push_back(makeLineError(
            Errc::Duplicate, fileName(*Source), Route.Line,
            "key 'match': '" + Match + "' is that of " + Existing->second));
    }
  }
}

void SettingsTree::checkCycles(std::vector<Error> &Faults) const {
  std::set<ServiceName> Finished;
  std::vector<ServiceName> Stack;
  // Returns false for a service that is being visited: a cycle leads to it.
  const std::function<bool(const ServiceName &)> Visit =
      [&](const ServiceName &Name) {
        if (Finished.contains(Name))
          return true;
        if (std::find(Stack.begin(), Stack.end(), Name) != Stack.end())
          return false;
        Stack.push_back(Name);
        for (const RouteDefinition *Route : this->routes(Name))
          for (const ServiceName &Dependency : Route->Dependencies)
            if (!Visit(Dependency)) {
              const Branch &Owner = *this->findRoute(Name, Route->Name)->Owner;
              Faults.push_back(makeLineError(
                  Errc::DependencyCycle, fileName(Owner), Route->Line,
                  "key 'calls': '" + Dependency.str() + "' leads back here"));
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
                 .Step = "read settings tree",
                 .Peer = "",
                 .Detail = "'" + Directory + "'"};
  BranchTexts Texts;
  for (const fs::directory_entry &File : Files) {
    if (!File.is_regular_file())
      continue;
    fs::path Path = File.path().lexically_relative(Root);
    if (Path.extension() != ".ini")
      return makeError(Errc::BadValue, Path.string(), "",
                       "a settings tree may contain only .ini files");
    Result<std::string> Text = readFile(File.path().string());
    if (!Text)
      return Text.error();
    Texts.emplace(Path.replace_extension().generic_string(),
                  std::move(Text.value()));
  }
  return Texts;
}

} // namespace bluebellbarrow

#include "settingstree.h"

#include "kernel/inifile.h"

#include <algorithm>
#include <filesystem>
#include <functional>
#include <set>

namespace bluebellbarrow {

namespace {

std::string fileName(const Branch &Of) { return Of.Path + ".ini"; }

const RouteBranch *findRoute(const Branch &In, const RouteName &Name) {
  const auto Found = std::find_if(
      In.Routes.begin(), In.Routes.end(),
      [&Name](const RouteBranch &Each) { return Each.Name == Name; });
  return Found == In.Routes.end() ? nullptr : &*Found;
}

} // namespace

std::vector<Error> SettingsTree::faults() const {
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
  return Faults.empty() ? Tree.faults() : Faults;
}

Result<std::shared_ptr<const SettingsTree>>
SettingsTree::build(BranchMap Parsed) {
  auto Tree = std::make_shared<SettingsTree>();
  Tree->Branches = std::move(Parsed);
  const std::vector<Error> Faults = Tree->faults();
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

const std::vector<RouteBranch> &
SettingsTree::routes(const ServiceName &Service) const {
  return this->Branches.at("service/" + Service.str())->Routes;
}

std::vector<SettingsTree::Layer>
SettingsTree::layers(const FailureDomain &Place, const ServiceName &Service,
                     const RouteName &Route) const {
  const std::string PlacePath = "place/" + Place.str();
  const std::string ServicePath = "service/" + Service.str();
  const std::string BothPath = PlacePath + "/" + Service.str();
  std::vector<Layer> Layers;
  for (const std::string &Path :
       {std::string("mesh"), PlacePath, ServicePath, BothPath})
    if (const Branch *Each = this->find(Path))
      Layers.push_back({Path, &Each->Policy});
  for (const std::string &Path : {ServicePath, BothPath}) {
    const Branch *Each = this->find(Path);
    const RouteBranch *Found =
        Each == nullptr ? nullptr : findRoute(*Each, Route);
    if (Found != nullptr)
      Layers.push_back({Path + "/" + Route.str(), &Found->Policy});
  }
  return Layers;
}

Policy SettingsTree::policy(const FailureDomain &Place,
                            const ServiceName &Service,
                            const RouteName &Route) const {
  Policy Effective = defaultPolicy();
  for (const Layer &Each : this->layers(Place, Service, Route))
    for (const Override &Value : *Each.Values)
      storeField(policyFields()[Value.Field], Value.Text, Value.Base,
                 Effective);
  return Effective;
}

SpreadPolicy SettingsTree::spreadPolicy(const FailureDomain &Place) const {
  SpreadPolicy Effective = defaultSpreadPolicy();
  for (const std::string &Path : {std::string("mesh"), "place/" + Place.str()})
    if (const Branch *Each = this->find(Path))
      for (const Override &Value : Each->Spread)
        storeField(spreadFields()[Value.Field], Value.Text, Value.Base,
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
  for (const Layer &Each : this->layers(Place, Service, Route))
    for (const Override &Value : *Each.Values) {
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
    if (Each.Kind != BranchKind::PlaceService)
      continue;
    for (const std::string &Parent :
         {"place/" + Each.Place.str(), "service/" + Each.Service.str()})
      if (this->find(Parent) == nullptr)
        Faults.push_back(makeError(Errc::MissingParent, fileName(Each), "",
                                   "the tree has no branch '" + Parent + "'"));
  }
}

void SettingsTree::checkRoutes(std::vector<Error> &Faults) const {
  std::map<std::string, std::string> Matches;
  for (const auto &[Path, Shared] : this->Branches) {
    const Branch &Each = *Shared;
    const Branch *Service = this->find("service/" + Each.Service.str());
    for (const RouteBranch &Route : Each.Routes) {
      const bool Known =
          Service != nullptr && findRoute(*Service, Route.Name) != nullptr;
      if (!Known && Service != nullptr)
        Faults.push_back(
            lineError(Errc::MissingParent, fileName(Each), Route.Line,
                      "the service has no route '" + Route.Name.str() + "'"));
      for (const ServiceName &Name : Route.Calls)
        if (this->find("service/" + Name.str()) == nullptr)
          Faults.push_back(lineError(Errc::UnknownService, fileName(Each),
                                     Route.Line,
                                     "key 'calls': '" + Name.str() + "'"));
      if (Each.Kind != BranchKind::Service)
        continue;
      const std::string Match = Route.Method + " " + Route.PathPrefix;
      const std::string Owner = Path + "/" + Route.Name.str();
      const auto [Taken, New] = Matches.emplace(Match, Owner);
      if (!New)
        Faults.push_back(lineError(Errc::Duplicate, fileName(Each), Route.Line,
                                   "key 'match': '" + Match + "' is that of " +
                                       Taken->second));
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
        const Branch *Each = this->find("service/" + Name.str());
        if (Each == nullptr)
          return true;
        Stack.push_back(Name);
        for (const RouteBranch &Route : Each->Routes)
          for (const ServiceName &Called : Route.Calls)
            if (!Visit(Called)) {
              Faults.push_back(lineError(
                  Errc::DependencyCycle, fileName(*Each), Route.Line,
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

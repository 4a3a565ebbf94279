#include "treecommands.h"

#include "exitcodes.h"
#include "kernel/hashing.h"
#include "tree/manifest.h"
#include "tree/settingstree.h"

#include <nlohmann/json.hpp>

#include <filesystem>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <set>

namespace bluebellbarrow {

namespace {

using Json = nlohmann::json;

/** The platform holds values of up to 1 MB; a bundle stays below. */
constexpr size_t MaxBundleBytes = size_t{900} * 1024;

constexpr int KeyWidth = 16;
constexpr int ValueWidth = 16;

int printFaults(const std::vector<Error> &Faults, bool AsJson) {
  Json List = Json::array();
  for (const Error &Each : Faults) {
    if (AsJson)
      List.push_back({{"at", Each.Step},
                      {"fault", Each.Code.message()},
                      {"detail", Each.Detail}});
    else
      std::cerr << Each.message() << '\n';
  }
  if (AsJson)
    std::cout << Json{{"faults", List}}.dump(2) << '\n';
  return Faults.empty() ? ExitSuccess : ExitInvalidInput;
}

/** Reads and checks a tree; prints its faults and returns null for a bad one.
 */
std::shared_ptr<const SettingsTree> loadTree(const std::string &Directory) {
  const Result<BranchTexts> Texts = readBranchTexts(Directory);
  if (!Texts) {
    printFaults({Texts.error()}, false);
    return nullptr;
  }
  const std::vector<Error> Faults = SettingsTree::check(Texts.value());
  if (!Faults.empty()) {
    printFaults(Faults, false);
    return nullptr;
  }
  return SettingsTree::parse(Texts.value()).value();
}

std::set<FailureDomain> domainsOf(const SettingsTree &Tree) {
  std::set<FailureDomain> Domains = {FailureDomain()};
  for (const auto &[Path, Each] : Tree.branches())
    if (Each->Kind == BranchKind::Domain)
      Domains.insert(Each->Domain);
  return Domains;
}

using ValueMap = std::map<std::string, std::string>;

void addValues(ValueMap &All, const SettingsTree &Tree,
               const FailureDomain &Domain, const ServiceName &Service,
               const RouteName &Route) {
  const std::string Where = (Domain.empty() ? "*" : Domain.str()) + " " +
                            Service.str() +
                            (Route.empty() ? "" : "/" + Route.str()) + " ";
  for (const EffectiveValue &Each : Tree.explain(Domain, Service, Route))
    All[Where + Each.Key] = Each.Text;
}

ValueMap allValues(const SettingsTree &Tree) {
  ValueMap All;
  for (const FailureDomain &Domain : domainsOf(Tree))
    for (const ServiceName &Service : Tree.services()) {
      addValues(All, Tree, Domain, Service, RouteName());
      for (const RouteDefinition *Route : Tree.routes(Service))
        addValues(All, Tree, Domain, Service, Route->Name);
    }
  return All;
}

/** One line of a difference: what, before and after. */
struct Change {
  std::string What;
  std::string Old;
  std::string New;
};

std::vector<Change> differences(const ValueMap &Old, const ValueMap &New) {
  std::vector<Change> Changes;
  for (const auto &[Key, Value] : Old) {
    const auto Other = New.find(Key);
    const std::string After = Other == New.end() ? "" : Other->second;
    if (After != Value)
      Changes.push_back({Key, Value, After});
  }
  for (const auto &[Key, Value] : New)
    if (!Old.contains(Key))
      Changes.push_back({Key, "", Value});
  return Changes;
}

bool writeFile(const std::filesystem::path &Path, const std::string &Text) {
  std::ofstream Stream(Path, std::ios::binary | std::ios::trunc);
  return static_cast<bool>(Stream << Text << std::flush);
}

/** Adds bundles of all parts to the catalog; returns their texts. */
std::vector<std::string> addBundles(Manifest &Target,
                                    const PartsByDigest &Parts) {
  std::vector<std::string> Bundles;
  std::vector<PartText> Pending;
  size_t Bytes = 0;
  const auto Flush = [&] {
    if (Pending.empty())
      return;
    Bundles.push_back(formatBundle(Pending));
    Target.Bundles.push_back(
        {computeDigest(Bundles.back()), Bundles.back().size()});
    Pending.clear();
    Bytes = 0;
  };
  for (const auto &[Hash, Text] : Parts) {
    if (Bytes + Text->size() > MaxBundleBytes)
      Flush();
    Pending.push_back(Text);
    Bytes += Text->size();
  }
  Flush();
  return Bundles;
}

} // namespace

int checkTree(const std::string &Directory, bool AsJson) {
  const Result<BranchTexts> Texts = readBranchTexts(Directory);
  if (!Texts)
    return printFaults({Texts.error()}, AsJson);
  const std::vector<Error> Faults = SettingsTree::check(Texts.value());
  const int Code = printFaults(Faults, AsJson);
  if (Faults.empty() && !AsJson)
    std::cout << Texts.value().size() << " branches, no fault\n";
  return Code;
}

int explainTree(const std::string &Directory, const FailureDomain &Domain,
                const ServiceName &Service, const RouteName &Route,
                bool AsJson) {
  const auto Tree = loadTree(Directory);
  if (Tree == nullptr)
    return ExitInvalidInput;
  if (!Tree->branches().contains("service/" + Service.str())) {
    std::cerr << "explain: unknown service '" << Service.str() << "'\n";
    return ExitInvalidInput;
  }
  const auto &Routes = Tree->routes(Service);
  const bool KnownRoute =
      Route.empty() || std::any_of(Routes.begin(), Routes.end(),
                                   [&Route](const RouteDefinition *Each) {
                                     return Each->Name == Route;
                                   });
  if (!KnownRoute) {
    std::cerr << "explain: service '" << Service.str() << "' has no route '"
              << Route.str() << "'\n";
    return ExitInvalidInput;
  }
  Json List = Json::array();
  for (const EffectiveValue &Each : Tree->explain(Domain, Service, Route)) {
    const std::string Source =
        Each.Line == 0 ? Each.Source
                       : Each.Source + " line " + std::to_string(Each.Line);
    if (AsJson)
      List.push_back({{"key", Each.Key},
                      {"value", Each.Text},
                      {"source", Each.Source},
                      {"line", Each.Line}});
    else
      std::cout << std::left << std::setw(KeyWidth) << Each.Key
                << std::setw(ValueWidth) << Each.Text << Source << '\n';
  }
  if (AsJson)
    std::cout << List.dump(2) << '\n';
  return ExitSuccess;
}

int diffTrees(const std::string &Old, const std::string &New, bool AsJson) {
  const auto Before = loadTree(Old);
  const auto After = loadTree(New);
  if (Before == nullptr || After == nullptr)
    return ExitInvalidInput;
  const Result<BranchTexts> OldTexts = readBranchTexts(Old);
  const Result<BranchTexts> NewTexts = readBranchTexts(New);
  Json Branches = Json::array();
  for (const Change &Each : differences(OldTexts.value(), NewTexts.value())) {
    const char *How = Each.Old.empty()   ? "added"
                      : Each.New.empty() ? "removed"
                                         : "changed";
    Branches.push_back({{"path", Each.What}, {"change", How}});
    if (!AsJson)
      std::cout << "branch " << Each.What << ' ' << How << '\n';
  }
  Json Values = Json::array();
  for (const Change &Each :
       differences(allValues(*Before), allValues(*After))) {
    Values.push_back(
        {{"value", Each.What}, {"old", Each.Old}, {"new", Each.New}});
    if (!AsJson)
      std::cout << Each.What << ": " << (Each.Old.empty() ? "-" : Each.Old)
                << " -> " << (Each.New.empty() ? "-" : Each.New) << '\n';
  }
  if (AsJson)
    std::cout << Json{{"branches", Branches}, {"values", Values}}.dump(2)
              << '\n';
  return ExitSuccess;
}

int packTree(const std::string &Directory, uint64_t Version, uint64_t Parent,
             const std::string &Out) {
  if (Version == 0 || Parent >= Version || Out.empty()) {
    std::cerr << "pack: needs --version above --parent, and --out\n";
    return ExitInvalidInput;
  }
  const auto Tree = loadTree(Directory);
  if (Tree == nullptr)
    return ExitInvalidInput;
  Manifest Target{.Mesh = Tree->meshName(),
                  .Number = VersionNumber(Version),
                  .Parent = VersionNumber(Parent)};
  PartsByDigest Parts;
  const Result<BranchTexts> Texts = readBranchTexts(Directory);
  for (const auto &[Path, Text] : Texts.value())
    addPart(Target, Parts, Path, Text);
  const std::vector<std::string> Bundles = addBundles(Target, Parts);

  const std::filesystem::path Root(Out);
  std::error_code Code;
  std::filesystem::create_directories(Root / "values", Code);
  bool Good = !Code;
  for (const auto &[Hash, Text] : Parts)
    Good = Good && writeFile(Root / "values" / Hash.str(), *Text);
  for (const std::string &Text : Bundles)
    Good = Good && writeFile(Root / "values" / computeDigest(Text).str(), Text);
  Good = Good && writeFile(Root / "manifest", formatManifest(Target));
  if (!Good) {
    std::cerr << "pack: can't write below '" << Out << "'\n";
    return ExitFailure;
  }
  std::cout << "version " << computeVersionId(Target).text() << ": "
            << Target.Entries.size() << " branches, " << Bundles.size()
            << " bundles\n";
  return ExitSuccess;
}

} // namespace bluebellbarrow

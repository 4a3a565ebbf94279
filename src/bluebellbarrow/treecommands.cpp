#include "treecommands.h"

#include "exitcodes.h"
#include "kernel/hashing.h"
#include "tree/branchpath.h"
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

/** Keeps bundles below the platform's limit of 1 MB per value. */
constexpr size_t MaxBundleBytes = size_t{900} * 1024;

constexpr int KeyWidth = 16;
constexpr int ValueWidth = 16;

int printFaults(const std::vector<Error> &Faults, bool AsJson) {
  Json List = Json::array();
  for (const Error &Fault : Faults) {
    if (AsJson)
      List.push_back({{"at", Fault.Step},
                      {"fault", Fault.Code.message()},
                      {"detail", Fault.Detail}});
    else
      std::cerr << Fault.message() << '\n';
  }
  if (AsJson)
    std::cout << Json{{"faults", List}}.dump(2) << '\n';
  return Faults.empty() ? ExitSuccess : ExitInvalidInput;
}

/** Reads and checks a tree; prints faults and returns null if it has any. */
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

/** Returns the domains with a branch, and an empty one for all others. */
std::set<FailureDomain> collectDomains(const SettingsTree &Tree) {
  std::set<FailureDomain> Domains = {FailureDomain()};
  for (const auto &[Path, Source] : Tree.branches())
    if (Source->Kind == BranchKind::Domain)
      Domains.insert(Source->Domain);
  return Domains;
}

using ValueMap = std::map<std::string, std::string>;

void addEffectiveValues(ValueMap &Values, const SettingsTree &Tree,
                        const FailureDomain &Domain, const ServiceName &Service,
                        const RouteName &Route) {
  const std::string KeyPrefix = (Domain.empty() ? "*" : Domain.str()) + " " +
                                Service.str() +
                                (Route.empty() ? "" : "/" + Route.str()) + " ";
  for (const EffectiveValue &Value : Tree.explain(Domain, Service, Route))
    Values[KeyPrefix + Value.Key] = Value.Text;
}

ValueMap collectEffectiveValues(const SettingsTree &Tree) {
  ValueMap Values;
  for (const FailureDomain &Domain : collectDomains(Tree))
    for (const ServiceName &Service : Tree.services()) {
      addEffectiveValues(Values, Tree, Domain, Service, RouteName());
      for (const RouteDefinition *Route : Tree.routes(Service))
        addEffectiveValues(Values, Tree, Domain, Service, Route->Name);
    }
  return Values;
}

/** A value, or the text of a branch, that differs between two trees. */
struct Change {
  std::string Key;
  std::string Old;
  std::string New;
};

std::vector<Change> findChanges(const ValueMap &Old, const ValueMap &New) {
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

/** Adds bundles with all parts to the manifest; returns the bundles' texts. */
std::vector<std::string> addBundles(Manifest &Content,
                                    const PartsByDigest &Parts) {
  std::vector<std::string> Bundles;
  std::vector<PartText> Pending;
  size_t Bytes = 0;
  const auto Flush = [&] {
    if (Pending.empty())
      return;
    Bundles.push_back(formatBundle(Pending));
    Content.Bundles.push_back(
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
  if (!Tree->branches().contains(servicePath(Service))) {
    std::cerr << "explain: unknown service '" << Service.str() << "'\n";
    return ExitInvalidInput;
  }
  const auto &Routes = Tree->routes(Service);
  const bool KnownRoute =
      Route.empty() || std::any_of(Routes.begin(), Routes.end(),
                                   [&Route](const RouteDefinition *Candidate) {
                                     return Candidate->Name == Route;
                                   });
  if (!KnownRoute) {
    std::cerr << "explain: service '" << Service.str() << "' has no route '"
              << Route.str() << "'\n";
    return ExitInvalidInput;
  }
  Json List = Json::array();
  for (const EffectiveValue &Value : Tree->explain(Domain, Service, Route)) {
    const std::string Source =
        Value.Line == 0 ? Value.Source
                        : Value.Source + " line " + std::to_string(Value.Line);
    if (AsJson)
      List.push_back({{"key", Value.Key},
                      {"value", Value.Text},
                      {"source", Value.Source},
                      {"line", Value.Line}});
    else
      std::cout << std::left << std::setw(KeyWidth) << Value.Key
                << std::setw(ValueWidth) << Value.Text << Source << '\n';
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
  for (const Change &Difference :
       findChanges(OldTexts.value(), NewTexts.value())) {
    const char *ChangeKind = Difference.Old.empty()   ? "added"
                             : Difference.New.empty() ? "removed"
                                                      : "changed";
    Branches.push_back({{"path", Difference.Key}, {"change", ChangeKind}});
    if (!AsJson)
      std::cout << "branch " << Difference.Key << ' ' << ChangeKind << '\n';
  }
  Json Values = Json::array();
  for (const Change &Difference : findChanges(collectEffectiveValues(*Before),
                                              collectEffectiveValues(*After))) {
    Values.push_back({{"value", Difference.Key},
                      {"old", Difference.Old},
                      {"new", Difference.New}});
    if (!AsJson)
      std::cout << Difference.Key << ": "
                << (Difference.Old.empty() ? "-" : Difference.Old) << " -> "
                << (Difference.New.empty() ? "-" : Difference.New) << '\n';
  }
  if (AsJson)
    std::cout << Json{{"branches", Branches}, {"values", Values}}.dump(2)
              << '\n';
  return ExitSuccess;
}

int packTree(const std::string &Directory, uint64_t Version, uint64_t Parent,
             const std::string &Out) {
  if (Version == 0 || Parent >= Version || Out.empty()) {
    std::cerr << "pack: --out and a --version above --parent are required\n";
    return ExitInvalidInput;
  }
  const auto Tree = loadTree(Directory);
  if (Tree == nullptr)
    return ExitInvalidInput;
  Manifest Content{.Mesh = Tree->meshName(),
                   .Number = VersionNumber(Version),
                   .Parent = VersionNumber(Parent)};
  PartsByDigest Parts;
  const Result<BranchTexts> Texts = readBranchTexts(Directory);
  for (const auto &[Path, Text] : Texts.value())
    addPart(Content, Parts, Path, Text);
  const std::vector<std::string> Bundles = addBundles(Content, Parts);

  const std::filesystem::path Root(Out);
  std::error_code Code;
  std::filesystem::create_directories(Root / "values", Code);
  bool Succeeded = !Code;
  for (const auto &[Hash, Text] : Parts)
    Succeeded = Succeeded && writeFile(Root / "values" / Hash.str(), *Text);
  for (const std::string &Text : Bundles)
    Succeeded = Succeeded &&
                writeFile(Root / "values" / computeDigest(Text).str(), Text);
  Succeeded =
      Succeeded && writeFile(Root / "manifest", formatManifest(Content));
  if (!Succeeded) {
    std::cerr << "pack: can't write to '" << Out << "'\n";
    return ExitFailure;
  }
  std::cout << "version " << computeVersionId(Content).text() << ": "
            << Content.Entries.size() << " branches, " << Bundles.size()
            << " bundles\n";
  return ExitSuccess;
}

} // namespace bluebellbarrow

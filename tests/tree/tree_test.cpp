#include "golden.h"
#include "kernel/hashing.h"
#include "tree/routecompiler.h"
#include "tree/snapshot.h"

#include <criterion/criterion.h>

#include <filesystem>
#include <set>

using namespace bluebellbarrow; // NOLINT: test

namespace {

BranchTexts validTree() {
  return {{"mesh", "[mesh]\nname = m\n[policy]\ndeadline = 1 s\nretries = 1\n"},
          {"place/p", "[policy]\nretries = 3\n"},
          {"service/a", "[policy]\nslots = 5\n[route r]\nmatch = GET /a\n"
                        "calls = b\nidempotent = yes\ndeadline = 2 s\n"},
          {"service/b", "[route r]\nmatch = POST /b\n"},
          {"place/p/a", "[policy]\nslots = 7\n[route r]\ndeadline = 3 s\n"}};
}

std::shared_ptr<const Snapshot> makeSnapshot(const SettingsTreePtr &Tree,
                                             const std::vector<Vm> &Vms) {
  const FailureDomain Domain("p");
  const SnapshotDefaults Defaults;
  RouteCompiler Routes;
  return compileSnapshot(
      {.Tree = *Tree,
       .Version = VersionId(),
       .Routes = Routes.compile(Tree, Domain, Defaults.CallPolicy),
       .Vms = Vms,
       .VmListVersion = VersionId(),
       .Domain = Domain,
       .Defaults = Defaults});
}

/**
 * Builds a tree. Branches with the path and text of one in \a Cache are shared
 * with it, as between versions on a node.
 */
SettingsTreePtr buildTree(const BranchTexts &Texts, BranchMap &Cache) {
  BranchMap Parsed;
  for (const auto &[Path, Text] : Texts) {
    std::string Key = Path;
    Key += '\n';
    Key += Text;
    BranchPtr &Cached = Cache[Key];
    if (Cached == nullptr)
      Cached = std::make_shared<const Branch>(parseBranch(Path, Text).value());
    Parsed.emplace(Path, Cached);
  }
  return SettingsTree::build(std::move(Parsed)).value();
}

} // namespace

Test(tree, most_specific_value_wins) {
  const auto Tree = SettingsTree::parse(validTree());
  cr_assert(static_cast<bool>(Tree));
  const auto PolicyOf = [&](const char *Domain, const char *Route) {
    return Tree.value()->policy(FailureDomain(Domain), ServiceName("a"),
                                RouteName(Route));
  };
  cr_expect_eq(PolicyOf("q", "").Retries, 1);
  cr_expect_eq(PolicyOf("p", "").Retries, 3);
  cr_expect_eq(PolicyOf("q", "").Slots, 5);
  cr_expect_eq(PolicyOf("p", "").Slots, 7);
  cr_expect_eq(PolicyOf("q", "").Deadline, Duration(seconds(1)));
  cr_expect_eq(PolicyOf("q", "r").Deadline, Duration(seconds(2)));
  cr_expect_eq(PolicyOf("p", "r").Deadline, Duration(seconds(3)));
  cr_expect(PolicyOf("p", "r").Idempotent);
  cr_expect_not(PolicyOf("p", "").Idempotent);
}

Test(tree, reports_faults_of_invalid_trees_with_file_and_line) {
  const std::filesystem::path Root(testsDirectory() + "/tree/bad");
  std::set<std::filesystem::path> Directories;
  for (const auto &Entry : std::filesystem::directory_iterator(Root))
    Directories.insert(Entry.path());
  std::string Report;
  for (const auto &Directory : Directories) {
    Report += Directory.filename().string() + ":\n";
    const Result<BranchTexts> Texts = readBranchTexts(Directory.string());
    const std::vector<Error> Faults = Texts ? SettingsTree::check(Texts.value())
                                            : std::vector<Error>{Texts.error()};
    cr_expect_not(Faults.empty(), "%s", Directory.c_str());
    for (const Error &Fault : Faults)
      Report += "  " + Fault.message() + "\n";
  }
  expectGolden("bad-trees.txt", Report);
}

Test(tree, example_trees_are_valid) {
  for (const char *Name : {"shirakaba", "agencia"}) {
    const auto Texts =
        readBranchTexts(testsDirectory() + "/../examples/" + Name + "/tree");
    cr_assert(static_cast<bool>(Texts));
    cr_expect(SettingsTree::check(Texts.value()).empty(), "%s", Name);
  }
}

Test(manifest, round_trips_and_rejects_malformed_text) {
  Manifest Content{
      .Mesh = "m", .Number = VersionNumber(7), .Parent = VersionNumber(6)};
  PartsByDigest Parts;
  addPart(Content, Parts, "mesh", "x");
  addPart(Content, Parts, "service/a", "y");
  const auto Parsed = parseManifest(formatManifest(Content));
  cr_assert(static_cast<bool>(Parsed));
  cr_expect(computeVersionId(Parsed.value()) == computeVersionId(Content));
  for (const char *Bad :
       {"", "{}", "[1]", "{\"format\":2}", "null", "{\"format\":\"1\"}"})
    cr_expect_not(static_cast<bool>(parseManifest(Bad)), "%s", Bad);
}

Test(snapshot, routes_refer_to_services_by_index) {
  const auto Tree = SettingsTree::parse(validTree());
  std::vector<Vm> Vms;
  for (int Index = 0; Index < 40; ++Index) {
    Vms.push_back({.Name = VmName("v" + std::to_string(Index)),
                   .Ip = Address("127.0.0.1"),
                   .Domain = FailureDomain("p"),
                   .Service = ServiceName(Index % 3 == 0   ? "a"
                                          : Index % 3 == 1 ? "b"
                                                           : "unknown")});
    const auto Compiled = makeSnapshot(Tree.value(), Vms);
    cr_assert_eq(Compiled->Services.size(), 2);
    for (const BranchRoutesPtr &Routes : Compiled->Routes->routesByBranch())
      for (const RouteEntry &Route : *Routes) {
        cr_assert_eq(Route.WeightedServices.size(), 1);
        const size_t Index = Route.WeightedServices.front().ServiceIndex;
        cr_assert_lt(Index, Compiled->Services.size());
        for (const Vm &Upstream : Compiled->Services[Index].Upstreams)
          cr_assert(Upstream.Service == Compiled->Services[Index].Name);
      }
  }
}

Test(snapshot, matches_whole_path_segments_longest_first) {
  BranchTexts Texts = validTree();
  Texts["service/c"] = "[route r]\nmatch = GET /a/deep\n"
                       "[route slash]\nmatch = GET /only/\n"
                       "[route root]\nmatch = PUT /\n";
  const auto Tree = SettingsTree::parse(Texts);
  const auto Compiled = makeSnapshot(Tree.value(), {});
  const auto ServiceOf = [&](const char *Method, const char *Path) {
    const RouteEntry *Route = Compiled->Routes->find("", Method, Path);
    return Route == nullptr
               ? std::string("-")
               : Compiled
                     ->Services[Route->WeightedServices.front().ServiceIndex]
                     .Name.str();
  };
  cr_expect_str_eq(ServiceOf("GET", "/a").c_str(), "a");
  cr_expect_str_eq(ServiceOf("GET", "/a/x").c_str(), "a");
  cr_expect_str_eq(ServiceOf("GET", "/a/deep/x").c_str(), "c");
  cr_expect_str_eq(ServiceOf("GET", "/ab").c_str(), "-");
  cr_expect_str_eq(ServiceOf("GET", "/only/x").c_str(), "c");
  cr_expect_str_eq(ServiceOf("GET", "/only").c_str(), "-");
  cr_expect_str_eq(ServiceOf("PUT", "/any/where").c_str(), "c");
  cr_expect_str_eq(ServiceOf("GET", "").c_str(), "-");
  cr_expect_str_eq(ServiceOf("GET", "no-slash").c_str(), "-");
  cr_expect_str_eq(ServiceOf("POST", "/a").c_str(), "-");
}

Test(routecompiler, recompiles_only_branches_affected_by_a_change) {
  BranchMap Cache;
  RouteCompiler Routes;
  const SnapshotDefaults Defaults;
  const auto Compile = [&](const BranchTexts &Texts) {
    return Routes.compile(buildTree(Texts, Cache), FailureDomain("p"),
                          Defaults.CallPolicy);
  };
  BranchTexts Texts = validTree();
  Texts["service/b/more"] = "[route s]\nmatch = GET /s\ndeadline = 4 s\n";
  const RouteTablePtr First = Compile(Texts);
  cr_assert_eq(First->routesByBranch().size(), 3);
  cr_expect_eq(First->routesByBranch()[0], Compile(Texts)->routesByBranch()[0]);

  Texts["service/b/more"] = "[route s]\nmatch = GET /s\ndeadline = 5 s\n";
  const RouteTablePtr Second = Compile(Texts);
  cr_expect_eq(First->routesByBranch()[0], Second->routesByBranch()[0]);
  cr_expect_eq(First->routesByBranch()[1], Second->routesByBranch()[1]);
  cr_expect_neq(First->routesByBranch()[2], Second->routesByBranch()[2]);
  cr_expect_eq(First->find("", "GET", "/s")->EffectivePolicy->Deadline,
               Duration(seconds(4)));
  cr_expect_eq(Second->find("", "GET", "/s")->EffectivePolicy->Deadline,
               Duration(seconds(5)));

  Texts["place/p/a"] = "[policy]\nslots = 9\n[route r]\ndeadline = 6 s\n";
  const RouteTablePtr Third = Compile(Texts);
  cr_expect_eq(Third->find("", "GET", "/a")->EffectivePolicy->Slots, 9);
  cr_expect_eq(Third->find("", "GET", "/a")->EffectivePolicy->Deadline,
               Duration(seconds(6)));

  Texts["service/aa"] = "[route t]\nmatch = GET /t\n";
  const RouteTablePtr Fourth = Compile(Texts);
  cr_expect_eq(
      Fourth->find("", "POST", "/b")->WeightedServices.front().ServiceIndex, 2);
}

Test(routecompiler, equal_policies_are_shared) {
  BranchMap Cache;
  RouteCompiler Routes;
  BranchTexts Texts = validTree();
  for (int Index = 0; Index < 20; ++Index)
    Texts["service/b"] += "[route x" + std::to_string(Index) +
                          "]\nmatch = GET /x" + std::to_string(Index) +
                          "\ndeadline = " + std::to_string(1 + Index % 2) +
                          " s\n";
  const SnapshotDefaults Defaults;
  const RouteTablePtr Table = Routes.compile(
      buildTree(Texts, Cache), FailureDomain("q"), Defaults.CallPolicy);
  std::set<const Policy *> DistinctPolicies;
  for (const RouteEntry &Route : *Table->routesByBranch().back())
    DistinctPolicies.insert(Route.EffectivePolicy.get());
  cr_expect_eq(DistinctPolicies.size(), 2);
}

Test(digest, round_trips_and_rejects_malformed_text) {
  const Digest Value = computeDigest("x");
  cr_expect_eq(Digest::parse(Value.str()).value(), Value);
  cr_expect_eq(Value.str().size(), 64);
  for (const char *Bad : {"", "12", "g"})
    cr_expect_not(Digest::parse(Bad).has_value());
  cr_expect_not(Digest::parse(std::string(64, 'A')).has_value());
}

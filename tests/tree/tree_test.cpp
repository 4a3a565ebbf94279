#include "golden.h"
#include "kernel/hashing.h"
#include "tree/routecompiler.h"
#include "tree/snapshot.h"

#include <criterion/criterion.h>

#include <filesystem>
#include <set>

using namespace bluebellbarrow; // NOLINT: test

namespace {

BranchTexts goodTree() {
  return {{"mesh", "[mesh]\nname = m\n[policy]\ndeadline = 1 s\nretries = 1\n"},
          {"place/p", "[policy]\nretries = 3\n"},
          {"service/a", "[policy]\nslots = 5\n[route r]\nmatch = GET /a\n"
                        "calls = b\nidempotent = yes\ndeadline = 2 s\n"},
          {"service/b", "[route r]\nmatch = POST /b\n"},
          {"place/p/a", "[policy]\nslots = 7\n[route r]\ndeadline = 3 s\n"}};
}

std::shared_ptr<const Snapshot> snapshotOf(const SettingsTreePtr &Tree,
                                           const std::vector<Vm> &Vms) {
  const FailureDomain Domain("p");
  const SnapshotDefaults Base;
  RouteCompiler Routes;
  return compileSnapshot(
      {.Tree = *Tree,
       .Version = VersionId(),
       .Routes = Routes.compile(Tree, Domain, Base.CallPolicy),
       .Vms = Vms,
       .VmListVersion = VersionId(),
       .Domain = Domain,
       .Defaults = Base});
}

/** Parses a tree, taking branches that \a Known holds already from there. */
SettingsTreePtr treeOf(const BranchTexts &Texts, BranchMap &Known) {
  BranchMap Parsed;
  for (const auto &[Path, Text] : Texts) {
    std::string Key = Path;
    Key += '\n';
    Key += Text;
    BranchPtr &Each = Known[Key];
    if (Each == nullptr)
      Each = std::make_shared<const Branch>(parseBranch(Path, Text).value());
    Parsed.emplace(Path, Each);
  }
  return SettingsTree::build(std::move(Parsed)).value();
}

} // namespace

Test(tree, looks_values_up_from_general_to_particular) {
  const auto Tree = SettingsTree::parse(goodTree());
  cr_assert(static_cast<bool>(Tree));
  const auto PolicyOf = [&](const char *Place, const char *Route) {
    return Tree.value()->policy(FailureDomain(Place), ServiceName("a"),
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

Test(tree, refuses_each_bad_tree_with_file_and_line) {
  const std::filesystem::path Root(testsDirectory() + "/tree/bad");
  std::set<std::filesystem::path> Directories;
  for (const auto &Each : std::filesystem::directory_iterator(Root))
    Directories.insert(Each.path());
  std::string Seen;
  for (const auto &Directory : Directories) {
    Seen += Directory.filename().string() + ":\n";
    const Result<BranchTexts> Texts = readBranchTexts(Directory.string());
    const std::vector<Error> Faults = Texts ? SettingsTree::check(Texts.value())
                                            : std::vector<Error>{Texts.error()};
    cr_expect_not(Faults.empty(), "%s", Directory.c_str());
    for (const Error &Each : Faults)
      Seen += "  " + Each.message() + "\n";
  }
  expectGolden("bad-trees.txt", Seen);
}

Test(tree, examples_have_no_fault) {
  for (const char *Name : {"shirakaba", "agencia"}) {
    const auto Texts =
        readBranchTexts(testsDirectory() + "/../examples/" + Name + "/tree");
    cr_assert(static_cast<bool>(Texts));
    cr_expect(SettingsTree::check(Texts.value()).empty(), "%s", Name);
  }
}

Test(catalog, manifest_comes_back_as_it_was) {
  Manifest Of{
      .Mesh = "m", .Number = VersionNumber(7), .Parent = VersionNumber(6)};
  PartsByDigest Parts;
  addPart(Of, Parts, "mesh", "x");
  addPart(Of, Parts, "service/a", "y");
  const auto Read = parseManifest(formatManifest(Of));
  cr_assert(static_cast<bool>(Read));
  cr_expect(computeVersionId(Read.value()) == computeVersionId(Of));
  for (const char *Bad :
       {"", "{}", "[1]", "{\"format\":2}", "null", "{\"format\":\"1\"}"})
    cr_expect_not(static_cast<bool>(parseManifest(Bad)), "%s", Bad);
}

Test(snapshot, holds_every_service_that_a_route_names) {
  const auto Tree = SettingsTree::parse(goodTree());
  std::vector<Vm> Vms;
  for (int Index = 0; Index < 40; ++Index) {
    Vms.push_back({.Name = VmName("v" + std::to_string(Index)),
                   .Ip = Address("127.0.0.1"),
                   .Domain = FailureDomain("p"),
                   .Service = ServiceName(Index % 3 == 0   ? "a"
                                          : Index % 3 == 1 ? "b"
                                                           : "unknown")});
    const auto Made = snapshotOf(Tree.value(), Vms);
    cr_assert_eq(Made->Services.size(), 2);
    for (const RouteGroupPtr &Group : Made->Routes->groups())
      for (const RouteEntry &Route : *Group) {
        cr_assert_eq(Route.WeightedServices.size(), 1);
        const size_t Index = Route.WeightedServices.front().ServiceIndex;
        cr_assert_lt(Index, Made->Services.size());
        for (const Vm &Each : Made->Services[Index].Upstreams)
          cr_assert(Each.Service == Made->Services[Index].Name);
      }
  }
}

Test(snapshot, matches_whole_path_segments_longest_first) {
  BranchTexts Texts = goodTree();
  Texts["service/c"] = "[route r]\nmatch = GET /a/deep\n"
                       "[route slash]\nmatch = GET /only/\n"
                       "[route root]\nmatch = PUT /\n";
  const auto Tree = SettingsTree::parse(Texts);
  const auto Made = snapshotOf(Tree.value(), {});
  const auto ServiceOf = [&](const char *Method, const char *Path) {
    const RouteEntry *Route = Made->Routes->find("", Method, Path);
    return Route == nullptr
               ? std::string("-")
               : Made->Services[Route->WeightedServices.front().ServiceIndex]
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

Test(routecompiler, compiles_only_what_changed_or_inherits_a_change) {
  BranchMap Known;
  RouteCompiler Routes;
  const SnapshotDefaults Base;
  const auto Compile = [&](const BranchTexts &Texts) {
    return Routes.compile(treeOf(Texts, Known), FailureDomain("p"),
                          Base.CallPolicy);
  };
  BranchTexts Texts = goodTree();
  Texts["service/b/more"] = "[route s]\nmatch = GET /s\ndeadline = 4 s\n";
  const RouteTablePtr First = Compile(Texts);
  cr_assert_eq(First->groups().size(), 3);
  cr_expect_eq(First->groups()[0], Compile(Texts)->groups()[0]);

  Texts["service/b/more"] = "[route s]\nmatch = GET /s\ndeadline = 5 s\n";
  const RouteTablePtr Second = Compile(Texts);
  cr_expect_eq(First->groups()[0], Second->groups()[0]);
  cr_expect_eq(First->groups()[1], Second->groups()[1]);
  cr_expect_neq(First->groups()[2], Second->groups()[2]);
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

Test(routecompiler, equal_policies_are_held_once) {
  BranchMap Known;
  RouteCompiler Routes;
  BranchTexts Texts = goodTree();
  for (int Index = 0; Index < 20; ++Index)
    Texts["service/b"] += "[route x" + std::to_string(Index) +
                          "]\nmatch = GET /x" + std::to_string(Index) +
                          "\ndeadline = " + std::to_string(1 + Index % 2) +
                          " s\n";
  const SnapshotDefaults Base;
  const RouteTablePtr Table =
      Routes.compile(treeOf(Texts, Known), FailureDomain("q"), Base.CallPolicy);
  std::set<const Policy *> Distinct;
  for (const RouteEntry &Each : *Table->groups().back())
    Distinct.insert(Each.EffectivePolicy.get());
  cr_expect_eq(Distinct.size(), 2);
}

Test(digest, is_read_back_as_it_was_written) {
  const Digest Value = computeDigest("x");
  cr_expect_eq(Digest::parse(Value.str()).value(), Value);
  cr_expect_eq(Value.str().size(), 64);
  for (const char *Bad : {"", "12", "g"})
    cr_expect_not(Digest::parse(Bad).has_value());
  cr_expect_not(Digest::parse(std::string(64, 'A')).has_value());
}

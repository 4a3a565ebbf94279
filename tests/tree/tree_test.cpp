#include "golden.h"
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
  Catalog Of{
      .Mesh = "m", .Number = VersionNumber(7), .Parent = VersionNumber(6)};
  PartsByDigest Parts;
  addPart(Of, Parts, "mesh", "x");
  addPart(Of, Parts, "service/a", "y");
  const auto Read = parseManifest(toManifest(Of));
  cr_assert(static_cast<bool>(Read));
  cr_expect(versionOf(Read.value()) == versionOf(Of));
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
    const auto Made = compileSnapshot(*Tree.value(), VersionId(), Vms,
                                      VersionId(), FailureDomain("p"));
    cr_assert_eq(Made->Services.size(), 2);
    for (const RouteEntry &Route : Made->Routes) {
      cr_assert_eq(Route.Shares.size(), 1);
      const size_t Index = Route.Shares.front().Service;
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
  const auto Made = compileSnapshot(*Tree.value(), VersionId(), {}, VersionId(),
                                    FailureDomain("p"));
  const auto ServiceOf = [&](const char *Method, const char *Path) {
    const RouteEntry *Route = Made->findRoute("", Method, Path);
    return Route == nullptr
               ? std::string("-")
               : Made->Services[Route->Shares.front().Service].Name.str();
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

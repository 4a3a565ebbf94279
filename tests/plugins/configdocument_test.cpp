#include "platform/configdocument.h"
#include "tree/settingstree.h"

#include <criterion/criterion.h>

#include <utility>
#include <vector>

using namespace bluebellbarrow; // NOLINT: test

namespace {

/** Returns the texts of all branches for a route with this maxAttempts. */
std::string parseBranchesWithAttempts(const std::string &Attempts) {
  const Result<StoredConfig> Parsed = parseConfigDocument(
      R"({"version": "r1", "resources": [{"resourceType": "routes",
          "metadata": {"name": "one"},
          "specification": {"hostname": "a", "prefix": "/",
            "routeKind": "idempotent", "timeout": "2s", "service": "s",
            "maxAttempts": )" +
          Attempts + "}}]}",
      "m");
  cr_assert(static_cast<bool>(Parsed));
  std::string Texts;
  for (const auto &[Path, Text] : Parsed.value().Branches)
    Texts += Text;
  return Texts;
}

/** Returns the tree of a configuration with these resources; null for none. */
SettingsTreePtr parseTree(const std::string &Resources) {
  const Result<StoredConfig> Parsed = parseConfigDocument(
      R"({"version": "r1", "resources": [)" + Resources + "]}", "m");
  if (!Parsed)
    return nullptr;
  const auto Tree = SettingsTree::parse(Parsed.value().Branches);
  return Tree ? Tree.value() : nullptr;
}

std::string routeText(const std::string &Name, const std::string &Fields) {
  return R"({"resourceType": "routes", "metadata": {"name": ")" + Name +
         R"("}, "specification": {"routeKind": "idempotent", )" + Fields + "}}";
}

Policy policyOf(const SettingsTree &Tree, const char *Service,
                const std::string &Route) {
  return Tree.policy(FailureDomain("d"), ServiceName(Service),
                     RouteName(Route));
}

} // namespace

// Guards against a version that is refused for a number that is outside the
// range of a key, though the platform accepts it.
Test(configdocument, numbers_outside_a_range_become_the_nearest_in_it) {
  const SettingsTreePtr Tree = parseTree(
      routeText("one", R"("hostname": "a", "prefix": "/", "service": "s",
        "timeout": "1000000000s", "targetLatency": "0ms", "priority": 1e300,
        "maxAttempts": 18446744073709551615)") +
      R"(, {"resourceType": "services", "metadata": {"name": "s"},
            "specification": {"maxConnections": 0}},
        {"resourceType": "limits", "metadata": {}, "specification": {
          "maxHeaderBytes": 1e18, "maxBodyBytes": 1e18,
          "headerTimeout": "0ms", "idleTimeout": "1000000000s"}})");
  cr_assert_not_null(Tree.get());
  const Policy Effective = policyOf(*Tree, "s", "one");
  const Duration Year = std::chrono::hours(365 * 24);
  cr_expect_eq(Effective.Deadline, Year);
  cr_expect_eq(Effective.Priority, 255);
  cr_expect_eq(Effective.Retries, 1000000000);
  cr_expect_eq(Effective.MaxConnections, 1);
  const CallerLimits Limits = Tree->callerLimits(FailureDomain("d"));
  cr_expect_eq(Limits.HeaderTimeout, Duration(microseconds(1)));
  cr_expect_eq(Limits.IdleTimeout, Year);
}

// Guards against names that the settings tree can't hold as they are, and
// against two long names that are taken for one.
Test(configdocument, any_text_may_be_a_name) {
  const std::string Common(60, 'x');
  std::string Resources;
  for (const char *Name : {"a b", "a,b", "a]b", "a%b", "..", "/", "1", "2"})
    Resources += (Resources.empty() ? "" : ", ") +
                 routeText(Common + Name, R"("hostname": "a", "prefix": "/)" +
                                              std::string(Name) +
                                              R"(/", "timeout": "2s",
            "weightedServices": [{"service": "x, y", "weight": 1.5},
                                 {"service": "z 7", "weight": 2}])");
  // A route whose prefix has a space matches nothing, and harms no other.
  const SettingsTreePtr Tree = parseTree(Resources);
  cr_assert_not_null(Tree.get());
  const auto &Routes = Tree->routes(ServiceName("x, y"));
  cr_assert_eq(Routes.size(), 7);
  for (const RouteDefinition *Route : Routes) {
    cr_expect(Route->Name.str().starts_with(Common));
    cr_expect_eq(policyOf(*Tree, "x, y", Route->Name.str()).Deadline,
                 Duration(seconds(2)));
    cr_assert_eq(Route->WeightedServices.size(), 2);
    cr_expect(Route->WeightedServices[1].Service == ServiceName("z 7"));
  }
}

// Guards against a kind that may run more than once and gets no second try,
// and against one that may not and gets it.
Test(configdocument, downloads_are_idempotent_and_unknown_kinds_are_not) {
  const std::vector<std::pair<const char *, bool>> Kinds = {
      {"idempotent", true}, {"download", true},    {"non_idempotent", false},
      {"upload", false},    {"Idempotent", false}, {"", false}};
  for (const auto &[Kind, Idempotent] : Kinds) {
    const SettingsTreePtr Tree = parseTree(
        R"({"resourceType": "routes", "metadata": {"name": "one"},
            "specification": {"hostname": "a", "prefix": "/", "service": "s",
              "timeout": "2s", "routeKind": ")" +
        std::string(Kind) + R"("}})");
    cr_assert_not_null(Tree.get(), "%s", Kind);
    cr_expect_eq(policyOf(*Tree, "s", "one").Idempotent, Idempotent, "%s",
                 Kind);
  }
}

Test(configdocument, malformed_documents_are_refused) {
  const std::string Sound = R"("hostname": "a", "prefix": "/", )";
  for (const char *Fields :
       {R"("service": "s", "timeout": "soon")", R"("service": "s")",
        R"("timeout": "2s")", R"("timeout": "2s", "weightedServices": [])",
        R"("timeout": "2s", "service": "s", "priority": "high")",
        R"("timeout": "2s", "service": "")",
        R"("timeout": "2s", "weightedServices": [{"service": "s",
            "weight": -1}])"})
    cr_expect_null(parseTree(routeText("r", Sound + Fields)).get(), "%s",
                   Fields);
}

// maxAttempts counts the first attempt. A value below 1, down to the smallest
// int64_t, must not give a negative number of retries or overflow.
Test(configdocument, one_attempt_or_less_means_no_retry) {
  for (const char *Attempts : {"-9223372036854775808", "-1", "0", "1"})
    cr_expect(parseBranchesWithAttempts(Attempts).find("retries = 0\n") !=
                  std::string::npos,
              "%s", Attempts);
  cr_expect(parseBranchesWithAttempts("3").find("retries = 2\n") !=
            std::string::npos);
}

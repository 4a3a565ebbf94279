#include "platform/configdocument.h"

#include <criterion/criterion.h>

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

} // namespace

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

#include "golden.h"
#include "kernel/inifile.h"
#include "kernel/nodesettings.h"

#include <criterion/criterion.h>

using namespace bluebellbarrow; // NOLINT: test

namespace {

const std::string MinimalFile =
    "[node]\nmesh = m\nname = a\naddress = 127.0.0.1\n"
    "domain = d\nservice = s\n[platform]\n"
    "address = 127.0.0.2\n";

std::string errorOf(const std::string &Text) {
  const Result<NodeSettings> Settings = parseNodeSettings("node.ini", Text);
  return Settings ? "accepted" : Settings.error().message();
}

} // namespace

Test(settings, accepts_a_minimal_file) {
  const Result<NodeSettings> Settings =
      parseNodeSettings("node.ini", MinimalFile);
  cr_assert(static_cast<bool>(Settings));
  cr_expect_eq(Settings.value().CallerEndpoint.Port, 15001);
  cr_expect_eq(Settings.value().LeaveGracePeriod, Duration(seconds(30)));
  cr_expect_str_eq(Settings.value().AdminEndpoint.Ip.str().c_str(),
                   "127.0.0.1");
}

Test(settings, reports_file_line_and_key_of_each_error) {
  const std::vector<std::string> InvalidFiles = {
      "",
      MinimalFile + "[node]\nname = b\n",
      MinimalFile + "[stop]\nleave-time = 30\n",
      MinimalFile + "[stop]\nleave-time = 30 KB\n",
      MinimalFile + "[stop]\nleave-time = -1 s\n",
      MinimalFile + "[stop]\nleave-time = 601 s\n",
      MinimalFile + "[stop]\nleave = 30 s\n",
      MinimalFile + "[stopp]\n",
      MinimalFile + "[listen]\ncallers = 70000\n",
      MinimalFile + "[listen]\ncallers = 1.5\n",
      MinimalFile + "[listen]\nadmin-address = localhost\n",
      MinimalFile + "[log]\njson = true\n",
      MinimalFile + "[log]\nlevel = loud\n",
      MinimalFile + "[log]\nlevel = info\nlevel = info\n",
      MinimalFile + "[target\n",
      MinimalFile + "[target]\nport\n",
      "port = 1\n" + MinimalFile,
      MinimalFile + "[target]\nhealth = /" + std::string(1100000, 'x') + "\n",
      MinimalFile + "[start]\nseeds = 127.0.0.1, nowhere\n",
  };
  std::string Errors;
  for (const std::string &Text : InvalidFiles)
    Errors += errorOf(Text) + "\n";
  expectGolden("settings-faults.txt", Errors);
}

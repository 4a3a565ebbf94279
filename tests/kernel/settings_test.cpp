#include "golden.h"
#include "kernel/inifile.h"
#include "kernel/nodesettings.h"

#include <criterion/criterion.h>

using namespace bluebellbarrow; // NOLINT: test

namespace {

const std::string Good = "[node]\nmesh = m\nname = a\naddress = 127.0.0.1\n"
                         "domain = d\nservice = s\n[platform]\n"
                         "address = 127.0.0.2\n";

std::string faultOf(const std::string &Text) {
  const Result<NodeSettings> Settings = parseNodeSettings("node.ini", Text);
  return Settings ? "accepted" : Settings.error().message();
}

} // namespace

Test(settings, accepts_the_shortest_file) {
  const Result<NodeSettings> Settings = parseNodeSettings("node.ini", Good);
  cr_assert(static_cast<bool>(Settings));
  cr_expect_eq(Settings.value().CallerEndpoint.Port, 15001);
  cr_expect_eq(Settings.value().LeaveGracePeriod, Duration(seconds(30)));
  cr_expect_str_eq(Settings.value().AdminEndpoint.Ip.str().c_str(),
                   "127.0.0.1");
}

Test(settings, says_file_line_and_key_of_each_fault) {
  const std::vector<std::string> Bad = {
      "",
      Good + "[node]\nname = b\n",
      Good + "[stop]\nleave-time = 30\n",
      Good + "[stop]\nleave-time = 30 KB\n",
      Good + "[stop]\nleave-time = -1 s\n",
      Good + "[stop]\nleave-time = 601 s\n",
      Good + "[stop]\nleave = 30 s\n",
      Good + "[stopp]\n",
      Good + "[listen]\ncallers = 70000\n",
      Good + "[listen]\ncallers = 1.5\n",
      Good + "[listen]\nadmin-address = localhost\n",
      Good + "[log]\njson = true\n",
      Good + "[log]\nlevel = loud\n",
      Good + "[log]\nlevel = info\nlevel = info\n",
      Good + "[target\n",
      Good + "[target]\nport\n",
      "port = 1\n" + Good,
      Good + "[target]\nhealth = /" + std::string(300, 'x') + "\n",
      Good + "[start]\nseeds = 127.0.0.1, nowhere\n",
  };
  std::string Seen;
  for (const std::string &Text : Bad)
    Seen += faultOf(Text) + "\n";
  expectGolden("settings-faults.txt", Seen);
}

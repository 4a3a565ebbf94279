#include "commandline.h"

#include "exitcodes.h"
#include "fleetcommands.h"
#include "nodecommand.h"
#include "treecommands.h"

#include <gflags/gflags.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <iostream>
#include <string>
#include <vector>

DEFINE_string(settings, "", "INI file of the node");
DEFINE_string(domain, "", "failure domain");
DEFINE_string(service, "", "service");
DEFINE_string(route, "", "route; empty for the service as a whole");
DEFINE_uint64(config_version, 0, "number of the version");
DEFINE_uint64(parent, 0, "number of the version that this one follows");
DEFINE_string(out, "", "directory for the values and the manifest");
DEFINE_string(peer, "", "IP number of any node of the mesh");
DEFINE_string(mesh, "", "name of the mesh");
DEFINE_int32(control_port, 15003, "port for versions at the nodes");
DEFINE_string(admin, "127.0.0.1:15004", "address and port of a node's admin");
DEFINE_string(format, "table", "table or json");
DEFINE_double(wait, 60, "seconds to wait at most");

namespace bluebellbarrow {

namespace {

constexpr const char *ProductVersion = "0.1.0";

using Arguments = std::vector<std::string>;

/** One sub-command. */
struct Command {
  const char *Name;
  const char *Usage;
  const char *Help;

  /** Flags that it takes, each with a space before and after. */
  const char *Flags;

  /** Arguments that are not flags. */
  size_t Positional;

  int (*Run)(const Arguments &);
};

bool asJson() { return FLAGS_format == "json"; }

FleetOptions fleetOptions() {
  return {.Mesh = FLAGS_mesh,
          .Peer = Address(FLAGS_peer),
          .ControlPort = FLAGS_control_port,
          .Json = asJson(),
          .WaitSeconds = FLAGS_wait};
}

const std::array<Command, 8> Commands = {{
    {"node", "node --settings FILE",
     "Runs the process beside a target until SIGTERM.", " settings ", 0,
     [](const Arguments &) { return runNode(FLAGS_settings); }},
    {"check", "check DIR [--format json]",
     "Checks a tree of settings; prints each fault with file and line.",
     " format ", 1,
     [](const Arguments &Given) { return checkTree(Given[0], asJson()); }},
    {"explain",
     "explain DIR --domain D --service S [--route R] [--format json]",
     "Prints every effective value and the branch that it comes from.",
     " domain service route format ", 1,
     [](const Arguments &Given) {
       return explainTree(Given[0], FailureDomain(FLAGS_domain),
                          ServiceName(FLAGS_service), RouteName(FLAGS_route),
                          asJson());
     }},
    {"diff", "diff OLD NEW [--format json]",
     "Prints the branches and the effective values that change.", " format ", 2,
     [](const Arguments &Given) {
       return diffTrees(Given[0], Given[1], asJson());
     }},
    {"pack", "pack DIR --version N --parent M --out DIR",
     "Writes the values and the manifest of a version, ready to publish.",
     " config_version parent out ", 1,
     [](const Arguments &Given) {
       return packTree(Given[0], FLAGS_config_version, FLAGS_parent, FLAGS_out);
     }},
    {"status", "status --mesh NAME --peer IP [--format json]",
     "Asks every node; prints states, versions, counts and who is silent.",
     " mesh peer control_port format wait ", 0,
     [](const Arguments &) { return showStatus(fleetOptions()); }},
    {"watch", "watch --version N --mesh NAME --peer IP [--wait SECONDS]",
     "Waits until a version is in force on every live node; names stragglers.",
     " config_version mesh peer control_port format wait ", 0,
     [](const Arguments &) {
       return watchVersion(fleetOptions(), FLAGS_config_version);
     }},
    {"audit", "audit [--admin IP:PORT] [--format json]",
     "Prints the changes that a node has seen.", " admin format ", 0,
     [](const Arguments &) { return showAudit(FLAGS_admin, asJson()); }},
}};

bool takesFlag(const Command &Of, const std::string &Name) {
  std::string Wanted = " ";
  Wanted += Name;
  Wanted += ' ';
  return std::string_view(Of.Flags).find(Wanted) != std::string_view::npos;
}

void printUsage(std::ostream &Out) {
  Out << "usage: bluebellbarrow COMMAND [FLAGS]\n\n";
  for (const Command &Each : Commands)
    Out << "  " << Each.Usage << "\n      " << Each.Help << '\n';
  Out << "\n  COMMAND --help describes a command, --version the program.\n"
         "  Exit codes: 0 good, 1 failed or not so, 2 bad input, 3 a stop cut "
         "requests.\n";
}

void printHelp(const Command &Of) {
  std::cout << "usage: bluebellbarrow " << Of.Usage << "\n\n"
            << Of.Help << "\n\nflags:\n";
  std::vector<gflags::CommandLineFlagInfo> Known;
  gflags::GetAllFlags(&Known);
  for (const gflags::CommandLineFlagInfo &Each : Known) {
    if (!takesFlag(Of, Each.name))
      continue;
    const std::string Shown =
        Each.name == "config_version" ? "version" : Each.name;
    std::cout << "  --" << Shown << " (" << Each.type
              << "): " << Each.description;
    if (!Each.default_value.empty())
      std::cout << "; default " << Each.default_value;
    std::cout << '\n';
  }
}

bool isNumber(const std::string &Text) {
  return !Text.empty() && std::all_of(Text.begin(), Text.end(), [](char Each) {
    return std::isdigit(static_cast<unsigned char>(Each)) != 0;
  });
}

/** What stands on the command line, sorted. */
struct Line {
  Arguments Positional;
  std::vector<std::pair<std::string, std::string>> Flags;
  bool Help = false;
  bool Version = false;
};

/** Splits the arguments; a flag is "--name value" or "--name=value". */
Line readLine(const Arguments &Given) {
  Line Read;
  for (size_t Index = 0; Index < Given.size(); ++Index) {
    const std::string &Each = Given[Index];
    if (Each.rfind("--", 0) != 0) {
      Read.Positional.push_back(Each);
      continue;
    }
    const size_t Equals = Each.find('=');
    std::string Name = Each.substr(
        2, Equals == std::string::npos ? std::string::npos : Equals - 2);
    std::replace(Name.begin(), Name.end(), '-', '_');
    std::string Value;
    const bool HasNext = Index + 1 < Given.size();
    if (Equals != std::string::npos)
      Value = Each.substr(Equals + 1);
    const bool BareVersion = Name == "version" && Value.empty() &&
                             !(HasNext && isNumber(Given[Index + 1]));
    Read.Help = Read.Help || Name == "help";
    Read.Version = Read.Version || BareVersion;
    if (Name == "help" || BareVersion)
      continue;
    if (Equals == std::string::npos && HasNext)
      Value = Given[++Index];
    Read.Flags.emplace_back(Name == "version" ? "config_version" : Name, Value);
  }
  return Read;
}

int badUsage(const Command &Of, const std::string &Detail) {
  std::cerr << "bluebellbarrow " << Of.Name << ": " << Detail
            << "\nusage: bluebellbarrow " << Of.Usage << '\n';
  return ExitInvalidInput;
}

int runCommand(const Command &Chosen, const Line &Given) {
  for (const auto &[Name, Value] : Given.Flags) {
    if (!takesFlag(Chosen, Name))
      return badUsage(Chosen, "unknown flag --" + Name);
    if (gflags::SetCommandLineOption(Name.c_str(), Value.c_str()).empty())
      return badUsage(Chosen, std::string("bad value '")
                                  .append(Value)
                                  .append("' for --")
                                  .append(Name));
  }
  if (Given.Positional.size() != Chosen.Positional)
    return badUsage(Chosen, "expected " + std::to_string(Chosen.Positional) +
                                " arguments besides the flags");
  if (FLAGS_format != "table" && FLAGS_format != "json")
    return badUsage(Chosen, "--format is table or json");
  return Chosen.Run(Given.Positional);
}

} // namespace

int runCommandLine(int Count, char **Arguments) {
  const std::vector<std::string> Given(Arguments + 1, Arguments + Count);
  Line Read = readLine(Given);
  if (Read.Version) {
    std::cout << "bluebellbarrow " << ProductVersion << '\n';
    return ExitSuccess;
  }
  if (Read.Positional.empty()) {
    printUsage(Read.Help ? std::cout : std::cerr);
    return Read.Help ? ExitSuccess : ExitInvalidInput;
  }
  const std::string Name = Read.Positional.front();
  Read.Positional.erase(Read.Positional.begin());
  for (const Command &Each : Commands) {
    if (Name != Each.Name)
      continue;
    if (!Read.Help)
      return runCommand(Each, Read);
    printHelp(Each);
    return ExitSuccess;
  }
  std::cerr << "bluebellbarrow: unknown command '" << Name << "'\n\n";
  printUsage(std::cerr);
  return ExitInvalidInput;
}

} // namespace bluebellbarrow

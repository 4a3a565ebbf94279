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

DEFINE_string(
    settings, "",
    "settings file (INI) of the node; overrides BLUEBELLBARROW_SETTINGS");
DEFINE_string(domain, "", "failure domain");
DEFINE_string(service, "", "service");
DEFINE_string(route, "", "route; empty for the values of the service");
DEFINE_uint64(config_version, 0, "number of a version of the settings tree");
DEFINE_uint64(parent, 0,
              "number of the version that this one is based on; 0 for none");
DEFINE_string(out, "", "output directory for the values and the manifest");
DEFINE_string(peer, "", "IP address of any node of the mesh");
DEFINE_string(mesh, "", "name of the mesh");
DEFINE_int32(control_port, 15003, "control port of the nodes");
DEFINE_string(admin, "127.0.0.1:15004",
              "address and port of a node's admin interface");
DEFINE_string(format, "table", "output format: table or json");
DEFINE_double(wait, 60, "maximum time to wait, in seconds");

namespace bluebellbarrow {

namespace {

constexpr const char *ProductVersion = "0.1.0";

using Arguments = std::vector<std::string>;

struct Command {
  const char *Name;
  const char *Usage;
  const char *Help;

  /** Names of the accepted flags, each with a space before and after it. */
  const char *Flags;

  /** Number of arguments that are not flags. */
  size_t PositionalCount;

  int (*Run)(const Arguments &);
};

bool isJsonFormat() { return FLAGS_format == "json"; }

FleetOptions fleetOptions() {
  return {.Mesh = FLAGS_mesh,
          .Peer = Address(FLAGS_peer),
          .ControlPort = FLAGS_control_port,
          .Json = isJsonFormat(),
          .WaitSeconds = FLAGS_wait};
}

const std::array<Command, 8> Commands = {{
    {"node", "node --settings FILE",
     "Runs the node process beside a target until SIGTERM or SIGINT.",
     " settings ", 0,
     [](const Arguments &) { return runNode(FLAGS_settings); }},
    {"check", "check DIR [--format json]",
     "Checks a settings tree; prints each fault with file and line.",
     " format ", 1,
     [](const Arguments &Positional) {
       return checkTree(Positional[0], isJsonFormat());
     }},
    {"explain",
     "explain DIR --domain D --service S [--route R] [--format json]",
     "Prints every effective value and the branch that it comes from.",
     " domain service route format ", 1,
     [](const Arguments &Positional) {
       return explainTree(Positional[0], FailureDomain(FLAGS_domain),
                          ServiceName(FLAGS_service), RouteName(FLAGS_route),
                          isJsonFormat());
     }},
    {"diff", "diff OLD NEW [--format json]",
     "Prints the branches and effective values that differ.", " format ", 2,
     [](const Arguments &Positional) {
       return diffTrees(Positional[0], Positional[1], isJsonFormat());
     }},
    {"pack", "pack DIR --version N --parent M --out DIR",
     "Writes the values and the manifest of a version, ready to publish.",
     " config_version parent out ", 1,
     [](const Arguments &Positional) {
       return packTree(Positional[0], FLAGS_config_version, FLAGS_parent,
                       FLAGS_out);
     }},
    {"status", "status --mesh NAME --peer IP [--format json]",
     "Prints each node's state and version, nodes per version, silent nodes.",
     " mesh peer control_port format wait ", 0,
     [](const Arguments &) { return showStatus(fleetOptions()); }},
    {"watch", "watch --version N --mesh NAME --peer IP [--wait SECONDS]",
     "Waits until N or newer is in force on all live nodes; lists the "
     "others.",
     " config_version mesh peer control_port format wait ", 0,
     [](const Arguments &) {
       return watchVersion(fleetOptions(), FLAGS_config_version);
     }},
    {"audit", "audit [--admin IP:PORT] [--format json]",
     "Prints the audit trail of the changes that a node has seen.",
     " admin format ", 0,
     [](const Arguments &) { return showAudit(FLAGS_admin, isJsonFormat()); }},
}};

bool acceptsFlag(const Command &Selected, const std::string &Name) {
  std::string SpacedName = " ";
  SpacedName += Name;
  SpacedName += ' ';
  return std::string_view(Selected.Flags).find(SpacedName) !=
         std::string_view::npos;
}

void printUsage(std::ostream &Out) {
  Out << "usage: bluebellbarrow COMMAND [FLAGS]\n\n";
  for (const Command &Listed : Commands)
    Out << "  " << Listed.Usage << "\n      " << Listed.Help << '\n';
  Out << "\n  COMMAND --help describes a command; --version prints the "
         "version.\n"
         "  Exit codes: 0 success, 1 failure or condition not met, 2 invalid "
         "input,\n              3 the shutdown aborted "
         "requests.\n";
}

void printHelp(const Command &Selected) {
  std::cout << "usage: bluebellbarrow " << Selected.Usage << "\n\n"
            << Selected.Help << "\n\nflags:\n";
  std::vector<gflags::CommandLineFlagInfo> Flags;
  gflags::GetAllFlags(&Flags);
  for (const gflags::CommandLineFlagInfo &Flag : Flags) {
    if (!acceptsFlag(Selected, Flag.name))
      continue;
    const std::string FlagName =
        Flag.name == "config_version" ? "version" : Flag.name;
    std::cout << "  --" << FlagName << " (" << Flag.type
              << "): " << Flag.description;
    if (!Flag.default_value.empty())
      std::cout << "; default " << Flag.default_value;
    std::cout << '\n';
  }
}

bool isNumber(const std::string &Text) {
  return !Text.empty() &&
         std::all_of(Text.begin(), Text.end(), [](char Character) {
           return std::isdigit(static_cast<unsigned char>(Character)) != 0;
         });
}

/** The command line, split into flags and other arguments. */
struct ParsedArguments {
  Arguments Positional;
  std::vector<std::pair<std::string, std::string>> Flags;

  /** The arguments ask for a description of the program or of a command. */
  bool Help = false;

  /** The arguments ask for the version of the program. */
  bool Version = false;
};

/**
 * Parses the arguments; a flag is "--name value" or "--name=value". "--version"
 * stands for the flag config_version if a value after "=" or a number follows;
 * otherwise it asks for the version of the program.
 */
ParsedArguments parseArguments(const Arguments &Args) {
  ParsedArguments Parsed;
  for (size_t Index = 0; Index < Args.size(); ++Index) {
    const std::string &Argument = Args[Index];
    if (Argument.rfind("--", 0) != 0) {
      Parsed.Positional.push_back(Argument);
      continue;
    }
    const size_t Equals = Argument.find('=');
    std::string Name = Argument.substr(
        2, Equals == std::string::npos ? std::string::npos : Equals - 2);
    std::replace(Name.begin(), Name.end(), '-', '_');
    std::string Value;
    const bool HasNext = Index + 1 < Args.size();
    if (Equals != std::string::npos)
      Value = Argument.substr(Equals + 1);
    const bool AsksForProgramVersion = Name == "version" && Value.empty() &&
                                       !(HasNext && isNumber(Args[Index + 1]));
    Parsed.Help = Parsed.Help || Name == "help";
    Parsed.Version = Parsed.Version || AsksForProgramVersion;
    if (Name == "help" || AsksForProgramVersion)
      continue;
    if (Equals == std::string::npos && HasNext)
      Value = Args[++Index];
    Parsed.Flags.emplace_back(Name == "version" ? "config_version" : Name,
                              Value);
  }
  return Parsed;
}

int reportUsageError(const Command &Selected, const std::string &Detail) {
  std::cerr << "bluebellbarrow " << Selected.Name << ": " << Detail
            << "\nusage: bluebellbarrow " << Selected.Usage << '\n';
  return ExitInvalidInput;
}

int runCommand(const Command &Selected, const ParsedArguments &Parsed) {
  for (const auto &[Name, Value] : Parsed.Flags) {
    if (!acceptsFlag(Selected, Name))
      return reportUsageError(Selected, "unknown flag --" + Name);
    if (gflags::SetCommandLineOption(Name.c_str(), Value.c_str()).empty())
      return reportUsageError(Selected, std::string("invalid value '")
                                            .append(Value)
                                            .append("' for --")
                                            .append(Name));
  }
  if (Parsed.Positional.size() != Selected.PositionalCount)
    return reportUsageError(
        Selected, "expected " + std::to_string(Selected.PositionalCount) +
                      " argument(s) besides the flags");
  if (FLAGS_format != "table" && FLAGS_format != "json")
    return reportUsageError(Selected, "--format must be table or json");
  return Selected.Run(Parsed.Positional);
}

} // namespace

int runCommandLine(int ArgumentCount, char **Arguments) {
  const std::vector<std::string> Args(Arguments + 1, Arguments + ArgumentCount);
  ParsedArguments Parsed = parseArguments(Args);
  if (Parsed.Version) {
    std::cout << "bluebellbarrow " << ProductVersion << '\n';
    return ExitSuccess;
  }
  if (Parsed.Positional.empty()) {
    printUsage(Parsed.Help ? std::cout : std::cerr);
    return Parsed.Help ? ExitSuccess : ExitInvalidInput;
  }
  const std::string Name = Parsed.Positional.front();
  Parsed.Positional.erase(Parsed.Positional.begin());
  for (const Command &Candidate : Commands) {
    if (Name != Candidate.Name)
      continue;
    if (!Parsed.Help)
      return runCommand(Candidate, Parsed);
    printHelp(Candidate);
    return ExitSuccess;
  }
  std::cerr << "bluebellbarrow: unknown command '" << Name << "'\n\n";
  printUsage(std::cerr);
  return ExitInvalidInput;
}

} // namespace bluebellbarrow

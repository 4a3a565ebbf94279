#include "vmlist.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <map>
#include <sstream>
#include <stdexcept>
#include <tuple>

namespace bluebellbarrow {

namespace {

using Json = nlohmann::json;

/** An optional property of a VM, in the platform's JSON and in a part. */
struct Property {
  const char *Name;
  std::string (*Get)(const Vm &);
  bool (*Set)(Vm &, const std::string &);
};

template <typename Number>
bool parseNumber(const std::string &Text, Number &Output) {
  const char *End = Text.data() + Text.size();
  const auto Parsed = std::from_chars(Text.data(), End, Output);
  return Parsed.ec == std::errc() && Parsed.ptr == End && Output >= 0;
}

/** Returns an empty text for 0, which means that the property is not set. */
std::string formatNumber(int64_t Number) {
  return Number == 0 ? std::string() : std::to_string(Number);
}

bool setRemainingWarmUp(Vm &Output, const std::string &Text) {
  int64_t Millis = 0;
  if (!parseNumber(Text, Millis))
    return false;
  Output.RemainingWarmUp = milliseconds(Millis);
  return true;
}

const std::array<Property, 5> Properties = {{
    {"target", [](const Vm &Source) { return Source.Target.str(); },
     [](Vm &Output, const std::string &Text) {
       Output.Target = TargetInstanceId(Text);
       return true;
     }},
    {"port", [](const Vm &Source) { return formatNumber(Source.TargetPort); },
     [](Vm &Output, const std::string &Text) {
       return parseNumber(Text, Output.TargetPort);
     }},
    {"slots", [](const Vm &Source) { return formatNumber(Source.Slots); },
     [](Vm &Output, const std::string &Text) {
       return parseNumber(Text, Output.Slots);
     }},
    {"born",
     [](const Vm &Source) {
       return formatNumber(Source.TargetStartUnixMillis);
     },
     [](Vm &Output, const std::string &Text) {
       return parseNumber(Text, Output.TargetStartUnixMillis);
     }},
    {"cold",
     [](const Vm &Source) {
       return formatNumber(toMilliseconds(Source.RemainingWarmUp));
     },
     setRemainingWarmUp},
}};

const Property *findProperty(const std::string &Name) {
  const auto Found = std::find_if(
      Properties.begin(), Properties.end(),
      [&Name](const Property &Candidate) { return Name == Candidate.Name; });
  return Found == Properties.end() ? nullptr : &*Found;
}

bool isWord(const std::string &Text) {
  return !Text.empty() && Text.find_first_of(" \n\t") == std::string::npos;
}

bool isWellFormed(const Vm &Source) {
  return isWord(Source.Name.str()) && isWord(Source.Ip.str()) &&
         isWord(Source.Domain.str()) && isWord(Source.Service.str()) &&
         (Source.Target.empty() || isWord(Source.Target.str()));
}

/** Parses one VM of the platform's JSON; throws if it is malformed. */
Vm parseVm(const Json &Source) {
  Vm Parsed{.Name = VmName(Source.at("name").get<std::string>()),
            .Ip = Address(Source.at("address").get<std::string>()),
            .Domain = FailureDomain(Source.at("domain").get<std::string>()),
            .Service = ServiceName(Source.at("service").get<std::string>()),
            .Leaving = Source.at("state").get<std::string>() == "leaving"};
  for (const Property &CurrentProperty : Properties)
    if (Source.contains(CurrentProperty.Name) &&
        !CurrentProperty.Set(Parsed,
                             Source[CurrentProperty.Name].get<std::string>()))
      throw std::invalid_argument(std::string("invalid property '") +
                                  CurrentProperty.Name + "' of VM " +
                                  Parsed.Name.str());
  return Parsed;
}

/** Formats a VM as one line of a part. */
std::string formatVmLine(const Vm &Source) {
  std::string Line = Source.Name.str() + " " + Source.Ip.str() + " " +
                     Source.Domain.str() + " " +
                     (Source.Leaving ? "leaving" : "live");
  for (const Property &CurrentProperty : Properties) {
    const std::string Text = CurrentProperty.Get(Source);
    if (!Text.empty())
      Line += std::string(" ") + CurrentProperty.Name + "=" + Text;
  }
  return Line + "\n";
}

/**
 * Parses one line of a part and ignores unknown properties; returns false if
 * the line is malformed.
 */
bool parseVmLine(const std::string &Line, Vm &Output) {
  std::istringstream Words(Line);
  std::string Name;
  std::string Ip;
  std::string Domain;
  std::string State;
  if (!(Words >> Name >> Ip >> Domain >> State))
    return false;
  Output.Name = VmName(Name);
  Output.Ip = Address(Ip);
  Output.Domain = FailureDomain(Domain);
  Output.Leaving = State == "leaving";
  for (std::string Word; Words >> Word;) {
    const size_t Equals = Word.find('=');
    const Property *Found = findProperty(Word.substr(0, Equals));
    if (Found == nullptr)
      continue;
    if (Equals == std::string::npos ||
        !Found->Set(Output, Word.substr(Equals + 1)))
      return false;
  }
  return true;
}

} // namespace

void sortVms(std::vector<Vm> &Vms) {
  std::sort(Vms.begin(), Vms.end(), [](const Vm &A, const Vm &B) {
    return std::tie(A.Service, A.Name, A.Target) <
           std::tie(B.Service, B.Name, B.Target);
  });
}

std::string formatPlatformVmList(const VmList &List) {
  Json Vms = Json::array();
  for (const Vm &Listed : List.Vms) {
    Json Entry = {{"name", Listed.Name.str()},
                  {"address", Listed.Ip.str()},
                  {"domain", Listed.Domain.str()},
                  {"service", Listed.Service.str()},
                  {"state", Listed.Leaving ? "leaving" : "live"}};
    for (const Property &CurrentProperty : Properties)
      if (const std::string Text = CurrentProperty.Get(Listed); !Text.empty())
        Entry[CurrentProperty.Name] = Text;
    Vms.push_back(std::move(Entry));
  }
  return Json{{"revision", List.Revision.value()}, {"vms", Vms}}.dump();
}

Result<VmList> parsePlatformVmList(const std::string &Text) {
  static const std::string Step = "parse VM list";
  try {
    const Json Root = Json::parse(Text);
    VmList List{.Revision = VersionNumber(Root.at("revision").get<uint64_t>())};
    for (const Json &Entry : Root.at("vms"))
      List.Vms.push_back(parseVm(Entry));
    if (!std::all_of(List.Vms.begin(), List.Vms.end(), isWellFormed))
      return makeError(
          Errc::BadValue, Step, "",
          "a VM has a malformed name, address, domain, service or target");
    sortVms(List.Vms);
    return List;
  } catch (const std::exception &Exception) {
    return makeError(Errc::BadSyntax, Step, "", Exception.what());
  }
}

Manifest buildVmListManifest(const std::string &Mesh, const VmList &List,
                             PartsByDigest &Parts) {
  std::map<std::string, std::string> Texts;
  for (const Vm &Listed : List.Vms)
    Texts[Listed.Service.str()] += formatVmLine(Listed);
  Manifest Content{.Mesh = Mesh, .Number = List.Revision};
  for (const auto &[Service, Text] : Texts)
    addPart(Content, Parts, Service, Text);
  return Content;
}

Result<std::vector<Vm>> parseVmPart(const std::string &Service,
                                    const std::string &Text) {
  std::vector<Vm> Vms;
  std::istringstream Lines(Text);
  for (std::string Line; std::getline(Lines, Line);) {
    Vm Parsed{.Service = ServiceName(Service)};
    if (!parseVmLine(Line, Parsed))
      return makeError(Errc::BadSyntax, "parse VMs of " + Service, "", Line);
    Vms.push_back(std::move(Parsed));
  }
  return Vms;
}

} // namespace bluebellbarrow

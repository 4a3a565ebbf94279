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

/** An optional property of a VM, in the platform's form and in a part. */
struct Property {
  const char *Name;
  std::string (*Get)(const Vm &);
  bool (*Set)(Vm &, const std::string &);
};

template <typename Number>
bool readNumber(const std::string &Text, Number &Target) {
  const char *End = Text.data() + Text.size();
  const auto Read = std::from_chars(Text.data(), End, Target);
  return Read.ec == std::errc() && Read.ptr == End && Target >= 0;
}

std::string numberText(int64_t Number) {
  return Number == 0 ? std::string() : std::to_string(Number);
}

bool setCold(Vm &Target, const std::string &Text) {
  int64_t Millis = 0;
  if (!readNumber(Text, Millis))
    return false;
  Target.RemainingWarmUp = milliseconds(Millis);
  return true;
}

const std::array<Property, 5> Properties = {{
    {"target", [](const Vm &Of) { return Of.Target.str(); },
     [](Vm &Target, const std::string &Text) {
       Target.Target = TargetInstanceId(Text);
       return true;
     }},
    {"port", [](const Vm &Of) { return numberText(Of.TargetPort); },
     [](Vm &Target, const std::string &Text) {
       return readNumber(Text, Target.TargetPort);
     }},
    {"slots", [](const Vm &Of) { return numberText(Of.Slots); },
     [](Vm &Target, const std::string &Text) {
       return readNumber(Text, Target.Slots);
     }},
    {"born", [](const Vm &Of) { return numberText(Of.TargetStartUnixMillis); },
     [](Vm &Target, const std::string &Text) {
       return readNumber(Text, Target.TargetStartUnixMillis);
     }},
    {"cold",
     [](const Vm &Of) {
       return numberText(toMilliseconds(Of.RemainingWarmUp));
     },
     setCold},
}};

const Property *findProperty(const std::string &Name) {
  const auto Found =
      std::find_if(Properties.begin(), Properties.end(),
                   [&Name](const Property &Each) { return Name == Each.Name; });
  return Found == Properties.end() ? nullptr : &*Found;
}

bool isWord(const std::string &Text) {
  return !Text.empty() && Text.find_first_of(" \n\t") == std::string::npos;
}

bool wellFormed(const Vm &Each) {
  return isWord(Each.Name.str()) && isWord(Each.Ip.str()) &&
         isWord(Each.Domain.str()) && isWord(Each.Service.str()) &&
         (Each.Target.empty() || isWord(Each.Target.str()));
}

/** Reads one VM of the platform's form; throws for a malformed one. */
Vm parseVm(const Json &Each) {
  Vm Read{.Name = VmName(Each.at("name").get<std::string>()),
          .Ip = Address(Each.at("address").get<std::string>()),
          .Domain = FailureDomain(Each.at("domain").get<std::string>()),
          .Service = ServiceName(Each.at("service").get<std::string>()),
          .Leaving = Each.at("state").get<std::string>() == "leaving"};
  for (const Property &Optional : Properties)
    if (Each.contains(Optional.Name) &&
        !Optional.Set(Read, Each[Optional.Name].get<std::string>()))
      throw std::invalid_argument(std::string("property '") + Optional.Name +
                                  "' of VM " + Read.Name.str());
  return Read;
}

/** Returns one line of a part. */
std::string vmLine(const Vm &Of) {
  std::string Line = Of.Name.str() + " " + Of.Ip.str() + " " + Of.Domain.str() +
                     " " + (Of.Leaving ? "leaving" : "live");
  for (const Property &Optional : Properties) {
    const std::string Text = Optional.Get(Of);
    if (!Text.empty())
      Line += std::string(" ") + Optional.Name + "=" + Text;
  }
  return Line + "\n";
}

/** Reads one line of a part; false for a malformed one. */
bool parseVmLine(const std::string &Line, Vm &Target) {
  std::istringstream Words(Line);
  std::string Name;
  std::string Ip;
  std::string Domain;
  std::string State;
  if (!(Words >> Name >> Ip >> Domain >> State))
    return false;
  Target.Name = VmName(Name);
  Target.Ip = Address(Ip);
  Target.Domain = FailureDomain(Domain);
  Target.Leaving = State == "leaving";
  for (std::string Word; Words >> Word;) {
    const size_t Equals = Word.find('=');
    const Property *Known = findProperty(Word.substr(0, Equals));
    if (Known == nullptr)
      continue;
    if (Equals == std::string::npos ||
        !Known->Set(Target, Word.substr(Equals + 1)))
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
  for (const Vm &Each : List.Vms) {
    Json Written = {{"name", Each.Name.str()},
                    {"address", Each.Ip.str()},
                    {"domain", Each.Domain.str()},
                    {"service", Each.Service.str()},
                    {"state", Each.Leaving ? "leaving" : "live"}};
    for (const Property &Optional : Properties)
      if (const std::string Text = Optional.Get(Each); !Text.empty())
        Written[Optional.Name] = Text;
    Vms.push_back(std::move(Written));
  }
  return Json{{"revision", List.Revision.value()}, {"vms", Vms}}.dump();
}

Result<VmList> parsePlatformVmList(const std::string &Text) {
  static const std::string Step = "read VM list";
  try {
    const Json Root = Json::parse(Text);
    VmList List{.Revision = VersionNumber(Root.at("revision").get<uint64_t>())};
    for (const Json &Each : Root.at("vms"))
      List.Vms.push_back(parseVm(Each));
    if (!std::all_of(List.Vms.begin(), List.Vms.end(), wellFormed))
      return makeError(Errc::BadValue, Step, "", "a VM has a malformed name");
    sortVms(List.Vms);
    return List;
  } catch (const std::exception &Failure) {
    return makeError(Errc::BadSyntax, Step, "", Failure.what());
  }
}

Manifest buildVmListManifest(const std::string &Mesh, const VmList &List,
                             PartsByDigest &Parts) {
  std::map<std::string, std::string> Texts;
  for (const Vm &Each : List.Vms)
    Texts[Each.Service.str()] += vmLine(Each);
  Manifest Of{.Mesh = Mesh, .Number = List.Revision};
  for (const auto &[Service, Text] : Texts)
    addPart(Of, Parts, Service, Text);
  return Of;
}

Result<std::vector<Vm>> parseVmPart(const std::string &Service,
                                    const std::string &Text) {
  std::vector<Vm> Vms;
  std::istringstream Lines(Text);
  for (std::string Line; std::getline(Lines, Line);) {
    Vm Read{.Service = ServiceName(Service)};
    if (!parseVmLine(Line, Read))
      return makeError(Errc::BadSyntax, "read VMs of " + Service, "", Line);
    Vms.push_back(std::move(Read));
  }
  return Vms;
}

} // namespace bluebellbarrow

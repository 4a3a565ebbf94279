#include "vmlist.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>
#include <sstream>
#include <tuple>

namespace bluebellbarrow {

namespace {

using Json = nlohmann::json;

Vm parseVm(const Json &Each) {
  return {.Name = VmName(Each.at("name").get<std::string>()),
          .Ip = Address(Each.at("address").get<std::string>()),
          .Domain = FailureDomain(Each.at("domain").get<std::string>()),
          .Service = ServiceName(Each.at("service").get<std::string>()),
          .Leaving = Each.at("state").get<std::string>() == "leaving"};
}

bool isWord(const std::string &Text) {
  return !Text.empty() && Text.find_first_of(" \n\t") == std::string::npos;
}

bool wellFormed(const Vm &Each) {
  return isWord(Each.Name.str()) && isWord(Each.Ip.str()) &&
         isWord(Each.Domain.str()) && isWord(Each.Service.str());
}

} // namespace

Result<VmList> parsePlatformVmList(const std::string &Text) {
  static const std::string Step = "read VM list";
  try {
    const Json Root = Json::parse(Text);
    VmList List{.Revision = VersionNumber(Root.at("revision").get<uint64_t>())};
    for (const Json &Each : Root.at("vms"))
      List.Vms.push_back(parseVm(Each));
    if (!std::all_of(List.Vms.begin(), List.Vms.end(), wellFormed))
      return makeError(Errc::BadValue, Step, "", "a VM has a malformed name");
    std::sort(List.Vms.begin(), List.Vms.end(), [](const Vm &A, const Vm &B) {
      return std::tie(A.Service, A.Name) < std::tie(B.Service, B.Name);
    });
    return List;
  } catch (const Json::exception &Failure) {
    return makeError(Errc::BadSyntax, Step, "", Failure.what());
  }
}

Catalog vmListCatalog(const std::string &Mesh, const VmList &List,
                      PartsByDigest &Parts) {
  std::map<std::string, std::string> Texts;
  for (const Vm &Each : List.Vms)
    Texts[Each.Service.str()] += Each.Name.str() + " " + Each.Ip.str() + " " +
                                 Each.Domain.str() + " " +
                                 (Each.Leaving ? "leaving" : "live") + "\n";
  Catalog Of{.Mesh = Mesh, .Number = List.Revision};
  for (const auto &[Service, Text] : Texts)
    addPart(Of, Parts, Service, Text);
  return Of;
}

Result<std::vector<Vm>> parseVmPart(const std::string &Service,
                                    const std::string &Text) {
  std::vector<Vm> Vms;
  std::istringstream Lines(Text);
  for (std::string Line; std::getline(Lines, Line);) {
    std::istringstream Words(Line);
    std::string Name;
    std::string Ip;
    std::string Domain;
    std::string State;
    if (!(Words >> Name >> Ip >> Domain >> State))
      return makeError(Errc::BadSyntax, "read VMs of " + Service, "", Line);
    Vms.push_back({.Name = VmName(Name),
                   .Ip = Address(Ip),
                   .Domain = FailureDomain(Domain),
                   .Service = ServiceName(Service),
                   .Leaving = State == "leaving"});
  }
  return Vms;
}

} // namespace bluebellbarrow

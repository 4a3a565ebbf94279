#include "branchpath.h"

#include "kernel/percentencoding.h"

namespace bluebellbarrow {

std::string encodeName(std::string_view Name) { return percentEncode(Name); }

std::optional<std::string> decodeName(std::string_view Encoded) {
  std::optional<std::string> Name = percentDecode(Encoded);
  if (!Name || Name->empty() || encodeName(*Name) != Encoded)
    return std::nullopt;
  return Name;
}

std::string domainPath(const FailureDomain &Domain) {
  return "place/" + encodeName(Domain.str());
}

std::string servicePath(const ServiceName &Service) {
  return "service/" + encodeName(Service.str());
}

std::string routeGroupPath(const ServiceName &Service, std::string_view Group) {
  return servicePath(Service) + "/" + encodeName(Group);
}

std::string domainServicePath(const FailureDomain &Domain,
                              const ServiceName &Service) {
  return domainPath(Domain) + "/" + encodeName(Service.str());
}

} // namespace bluebellbarrow

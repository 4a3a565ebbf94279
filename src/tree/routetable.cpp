#include "routetable.h"

#include "kernel/hashing.h"

namespace bluebellbarrow {

namespace {

/**
 * Odd multipliers that make the same text hash differently as host, method or
 * prefix.
 */
constexpr uint64_t HostFactor = 0x9e3779b97f4a7c15;
constexpr uint64_t MethodFactor = 0xc2b2ae3d27d4eb4f;

/** Returns "/a/" for "/a/b", and "/a" for "/a/". */
std::string_view parentPrefix(std::string_view Path) {
  if (Path.back() == '/')
    return Path.substr(0, Path.size() - 1);
  return Path.substr(0, Path.rfind('/') + 1);
}

} // namespace

uint64_t matchHash(std::string_view Host, std::string_view Method,
                   std::string_view Prefix) {
  return stableHash(Host) * HostFactor + stableHash(Method) * MethodFactor +
         stableHash(Prefix);
}

RouteTable::RouteTable(std::vector<BranchRoutesPtr> NewRoutes)
    : RoutesByBranch(std::move(NewRoutes)) {
  size_t Count = 0;
  for (const BranchRoutesPtr &Routes : this->RoutesByBranch)
    Count += Routes->size();
  this->Index.reserve(Count);
  for (const BranchRoutesPtr &Routes : this->RoutesByBranch)
    for (const RouteEntry &Route : *Routes)
      this->Index.add(matchHash(Route.Host, Route.Method, Route.PathPrefix),
                      &Route);
  this->Index.build();
}

const RouteEntry *RouteTable::findExact(std::string_view Host,
                                        std::string_view Method,
                                        std::string_view Prefix) const {
  const auto Matches = [&](const RouteEntry *Route) {
    return Route->PathPrefix == Prefix && Route->Host == Host &&
           Route->Method == Method;
  };
  const auto *Found =
      this->Index.find(matchHash(Host, Method, Prefix), Matches);
  return Found == nullptr ? nullptr : *Found;
}

const RouteEntry *RouteTable::find(std::string_view Host,
                                   std::string_view Method,
                                   std::string_view Path) const {
  constexpr std::string_view Any;
  for (std::string_view Prefix = Path; !Prefix.empty();
       Prefix = parentPrefix(Prefix))
    for (const std::string_view HostKey : {Host, Any})
      for (const std::string_view MethodKey : {Method, Any})
        if (const RouteEntry *Found =
                this->findExact(HostKey, MethodKey, Prefix))
          return Found;
  return nullptr;
}

} // namespace bluebellbarrow

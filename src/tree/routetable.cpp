#include "routetable.h"

#include "kernel/hashing.h"

namespace bluebellbarrow {

namespace {

/** Odd numbers that keep the parts of a match apart. */
constexpr uint64_t HostFactor = 0x9e3779b97f4a7c15;
constexpr uint64_t MethodFactor = 0xc2b2ae3d27d4eb4f;

/** Shortens "/a/b" to "/a/", and "/a/" to "/a". */
std::string_view withoutSegment(std::string_view Path) {
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

RouteTable::RouteTable(std::vector<RouteGroupPtr> NewGroups)
    : Groups(std::move(NewGroups)) {
  size_t Count = 0;
  for (const RouteGroupPtr &Group : this->Groups)
    Count += Group->size();
  this->Index.reserve(Count);
  for (const RouteGroupPtr &Group : this->Groups)
    for (const RouteEntry &Each : *Group)
      this->Index.add(matchHash(Each.Host, Each.Method, Each.PathPrefix),
                      &Each);
  this->Index.build();
}

const RouteEntry *RouteTable::findExact(std::string_view Host,
                                        std::string_view Method,
                                        std::string_view Prefix) const {
  const auto Matches = [&](const RouteEntry *Each) {
    return Each->PathPrefix == Prefix && Each->Host == Host &&
           Each->Method == Method;
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
       Prefix = withoutSegment(Prefix))
    for (const std::string_view ByHost : {Host, Any})
      for (const std::string_view ByMethod : {Method, Any})
        if (const RouteEntry *Found = this->findExact(ByHost, ByMethod, Prefix))
          return Found;
  return nullptr;
}

} // namespace bluebellbarrow

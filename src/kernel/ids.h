#ifndef BLUEBELLBARROW_KERNEL_IDS_H
#define BLUEBELLBARROW_KERNEL_IDS_H

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace bluebellbarrow {

/**
 * A string of a distinct type for each \a Tag, so that strings of different
 * meanings can't be mixed up.
 */
template <typename Tag> class StrongString {
public:
  StrongString() = default;

  explicit StrongString(std::string Value) : Value(std::move(Value)) {}

  const std::string &str() const { return this->Value; }

  bool empty() const { return this->Value.empty(); }

  auto operator<=>(const StrongString &) const = default; // NOLINT

  /** Loads or saves the value with a cereal archive. */
  template <typename Archive> void serialize(Archive &Ar) { Ar(this->Value); }

private:
  std::string Value;
};

/**
 * A number of a distinct type for each \a Tag, so that numbers of different
 * meanings can't be mixed up.
 */
template <typename Tag> class StrongNumber {
public:
  StrongNumber() = default;

  explicit constexpr StrongNumber(uint64_t Value) : Value(Value) {}

  constexpr uint64_t value() const { return this->Value; }

  auto operator<=>(const StrongNumber &) const = default; // NOLINT

  /** Loads or saves the value with a cereal archive. */
  template <typename Archive> void serialize(Archive &Ar) { Ar(this->Value); }

private:
  uint64_t Value = 0;
};

/** Name of a VM, unique in the mesh. */
using VmName = StrongString<struct VmNameTag>;

/** Numeric IP address of a VM, without a port. */
using Address = StrongString<struct AddressTag>;

/** Name of a failure domain. */
using FailureDomain = StrongString<struct FailureDomainTag>;

/** Name of a service. */
using ServiceName = StrongString<struct ServiceNameTag>;

/** Identifies one start of a target; assigned by the platform. */
using TargetInstanceId = StrongString<struct TargetInstanceIdTag>;

/** Name of a route, unique in its service. */
using RouteName = StrongString<struct RouteNameTag>;

/** Number of one start of a process; later starts on a VM have larger ones. */
using IncarnationId = StrongNumber<struct IncarnationTag>;

/** Number of a request, unique within one incarnation of its origin node. */
using RequestNumber = StrongNumber<struct RequestNumberTag>;

/** Identifies a mesh in messages; a hash of its name. */
using MeshId = StrongNumber<struct MeshIdTag>;

} // namespace bluebellbarrow

template <typename Tag> struct std::hash<bluebellbarrow::StrongString<Tag>> {
  size_t operator()(const bluebellbarrow::StrongString<Tag> &Name) const {
    return std::hash<std::string>()(Name.str());
  }
};

template <typename Tag> struct std::hash<bluebellbarrow::StrongNumber<Tag>> {
  size_t operator()(const bluebellbarrow::StrongNumber<Tag> &Number) const {
    return std::hash<uint64_t>()(Number.value());
  }
};

#endif // BLUEBELLBARROW_KERNEL_IDS_H

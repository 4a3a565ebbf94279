#ifndef BLUEBELLBARROW_TREE_BRANCH_H
#define BLUEBELLBARROW_TREE_BRANCH_H

#include "kernel/error.h"
#include "kernel/ids.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace bluebellbarrow {

/** What a branch refines, from general to particular. */
enum class BranchKind { Mesh, Place, Service, PlaceService };

/** One key that a branch overrides. */
struct Override {
  /** Index into policyFields() or spreadFields(). */
  size_t Field = 0;

  /** The value as written. */
  std::string Text;

  /** The value in the base unit of its type. */
  double Base = 0;

  int Line = 0;
};

/** A route, or the refinement of one by a place. */
struct RouteBranch {
  RouteName Name;
  std::string Method;
  std::string PathPrefix;

  /** Services that the route's target calls. */
  std::vector<ServiceName> Calls;

  std::vector<Override> Policy;

  /** Line of the key "match" or "calls", for messages. */
  int Line = 0;
};

/** One file of a tree of settings, checked by itself. */
struct Branch {
  /** Path without ending, for example "service/seating". */
  std::string Path;

  BranchKind Kind = BranchKind::Mesh;
  FailureDomain Place;
  ServiceName Service;

  /** Name of the mesh; only in the branch "mesh". */
  std::string MeshName;

  std::vector<Override> Policy;
  std::vector<Override> Spread;
  std::vector<RouteBranch> Routes;
};

/**
 * Parses the branch at \a Path.
 *
 * Errors: a path or a key that has no place, with file, line and key.
 * Thread safety: safe.
 */
Result<Branch> parseBranch(const std::string &Path, std::string_view Text);

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_TREE_BRANCH_H

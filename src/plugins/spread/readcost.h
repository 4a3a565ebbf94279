#ifndef BLUEBELLBARROW_SPREAD_READCOST_H
#define BLUEBELLBARROW_SPREAD_READCOST_H

#include "kernel/nodesettings.h"

namespace bluebellbarrow {

/**
 * Returns true when a full read of the platform takes a node with \a Limits so
 * long that other nodes should read instead. Thread safety: safe.
 */
bool isSlowReader(const ResourceLimits &Limits);

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_SPREAD_READCOST_H

#ifndef BLUEBELLBARROW_SPREAD_READCOST_H
#define BLUEBELLBARROW_SPREAD_READCOST_H

#include "kernel/nodesettings.h"

namespace bluebellbarrow {

/**
 * Returns whether reading everything from the platform takes a node with
 * \a Machine so long that others should do it. Thread safety: safe.
 */
bool isSlowReader(const ResourceLimits &Machine);

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_SPREAD_READCOST_H

#ifndef BLUEBELLBARROW_NODECOMMAND_H
#define BLUEBELLBARROW_NODECOMMAND_H

#include <string>

namespace bluebellbarrow {

/**
 * Runs a node with the settings in \a SettingsPath until SIGTERM or SIGINT.
 * Returns the exit code: 0 after a stop that cut no request, 1 when the node
 * can't start, 3 after a stop that cut requests.
 */
int runNode(const std::string &SettingsPath);

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_NODECOMMAND_H

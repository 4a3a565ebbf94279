#ifndef BLUEBELLBARROW_NODECOMMAND_H
#define BLUEBELLBARROW_NODECOMMAND_H

#include <string>

namespace bluebellbarrow {

/**
 * Runs a node with the settings in \a SettingsPath, or in the file that
 * BLUEBELLBARROW_SETTINGS names if the path is empty, until SIGTERM or SIGINT.
 * Returns the exit code: 0 after a shutdown that aborted no request, 1 if the
 * node can't start, 2 for invalid settings, 3 after a shutdown that aborted
 * requests.
 */
int runNode(const std::string &SettingsPath);

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_NODECOMMAND_H

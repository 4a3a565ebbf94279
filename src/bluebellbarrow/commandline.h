#ifndef BLUEBELLBARROW_COMMANDLINE_H
#define BLUEBELLBARROW_COMMANDLINE_H

namespace bluebellbarrow {

/** Runs the sub-command that the arguments name; returns its exit code. */
int runCommandLine(int ArgumentCount, char **Arguments);

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_COMMANDLINE_H

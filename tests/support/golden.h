#ifndef BLUEBELLBARROW_TESTS_GOLDEN_H
#define BLUEBELLBARROW_TESTS_GOLDEN_H

#include <string>

namespace bluebellbarrow {

/** Returns the directory with the tests' files. */
std::string testsDirectory();

/**
 * Fails the running test unless \a Seen equals the file \a Name in
 * tests/golden. With UPDATE_GOLDEN=1 in the environment, writes the file.
 */
void expectGolden(const std::string &Name, const std::string &Seen);

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_TESTS_GOLDEN_H

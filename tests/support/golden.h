#ifndef BLUEBELLBARROW_TESTS_GOLDEN_H
#define BLUEBELLBARROW_TESTS_GOLDEN_H

#include <string>

namespace bluebellbarrow {

/** Returns the path of the directory tests/. */
std::string testsDirectory();

/**
 * Fails the running test unless \a Actual equals the file \a Name in
 * tests/golden. With UPDATE_GOLDEN in the environment, writes the file first.
 */
void expectGolden(const std::string &Name, const std::string &Actual);

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_TESTS_GOLDEN_H

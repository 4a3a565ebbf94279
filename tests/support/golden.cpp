#include "golden.h"

#include "kernel/inifile.h"

#include <criterion/criterion.h>

#include <cstdlib>
#include <fstream>

namespace bluebellbarrow {

std::string testsDirectory() { return TESTS_DIRECTORY; }

void expectGolden(const std::string &Name, const std::string &Seen) {
  const std::string Path = testsDirectory() + "/golden/" + Name;
  if (std::getenv("UPDATE_GOLDEN") != nullptr)
    std::ofstream(Path, std::ios::binary) << Seen;
  const Result<std::string> Expected = readFile(Path);
  cr_assert(static_cast<bool>(Expected), "no golden file %s", Path.c_str());
  const std::string &Text = Expected.value();
  if (Text == Seen)
    return;
  const size_t At = static_cast<size_t>(
      std::mismatch(Text.begin(), Text.end(), Seen.begin(), Seen.end()).first -
      Text.begin());
  const size_t Start = Text.rfind('\n', At == 0 ? 0 : At - 1);
  const size_t From = Start == std::string::npos ? 0 : Start + 1;
  cr_assert(false, "%s differs at byte %zu:\nexpected: %s\nseen:     %s",
            Name.c_str(), At, Text.substr(From, 160).c_str(),
            Seen.substr(std::min(From, Seen.size()), 160).c_str());
}

} // namespace bluebellbarrow

#include "golden.h"

#include "kernel/inifile.h"

#include <criterion/criterion.h>

#include <cstdlib>
#include <fstream>

namespace bluebellbarrow {

std::string testsDirectory() { return TESTS_DIRECTORY; }

void expectGolden(const std::string &Name, const std::string &Actual) {
  const std::string Path = testsDirectory() + "/golden/" + Name;
  if (std::getenv("UPDATE_GOLDEN") != nullptr)
    std::ofstream(Path, std::ios::binary) << Actual;
  const Result<std::string> Expected = readFile(Path);
  cr_assert(static_cast<bool>(Expected), "golden file %s can't be read",
            Path.c_str());
  const std::string &ExpectedText = Expected.value();
  if (ExpectedText == Actual)
    return;
  const size_t Mismatch = static_cast<size_t>(
      std::mismatch(ExpectedText.begin(), ExpectedText.end(), Actual.begin(),
                    Actual.end())
          .first -
      ExpectedText.begin());
  const size_t LineBreak =
      ExpectedText.rfind('\n', Mismatch == 0 ? 0 : Mismatch - 1);
  const size_t LineStart = LineBreak == std::string::npos ? 0 : LineBreak + 1;
  cr_assert(false, "%s differs at byte %zu:\nexpected: %s\nactual:   %s",
            Name.c_str(), Mismatch, ExpectedText.substr(LineStart, 160).c_str(),
            Actual.substr(std::min(LineStart, Actual.size()), 160).c_str());
}

} // namespace bluebellbarrow

#include "kernel/inifile.h"

#include <criterion/criterion.h>

using namespace bluebellbarrow; // NOLINT: test

namespace {

/** Returns the entries as "LINE SECTION/KEY=VALUE;", or the error. */
std::string parse(const std::string &Text) {
  const Result<IniFile> File = parseIni("f", Text);
  if (!File)
    return File.error().message();
  std::string Entries;
  for (const IniEntry &Entry : File.value().Entries)
    Entries += std::to_string(Entry.Line) + " " + Entry.Section + "/" +
               Entry.Key + "=" + Entry.Value + ";";
  return Entries;
}

} // namespace

Test(inifile, reads_entries_with_comments_and_white_space) {
  cr_expect(parse("\xef\xbb\xbf[a]\r\nx = 1\r\n; c = 1\n# c = 2\n\n"
                  "  y : b = c ; end\n\t[ b c ] ; more\nz=\nw = ;c\nv=a;b") ==
            "2 a/x=1;6 a/y=b = c;8  b c /z=;9  b c /w=;10  b c /v=a;b;");
}

// Guards against a limit of the parser that cuts or refuses long values and
// names, which made nodes refuse valid versions.
Test(inifile, lines_and_names_may_be_long) {
  const std::string Long(100000, 'x');
  cr_expect(parse("[" + Long + "]\n" + Long + " = " + Long + "\n") ==
            "2 " + Long + "/" + Long + "=" + Long + ";");
}

Test(inifile, reports_the_first_error_with_its_line) {
  cr_expect(parse("[a]\nx\n[a]\n") ==
            "f:2: syntax error: expected 'key = value' or '[section]'");
  cr_expect(parse("[a\n") ==
            "f:1: syntax error: expected 'key = value' or '[section]'");
  cr_expect(parse("x = 1\n") == "f:1: syntax error: key 'x' is in no section");
  cr_expect(parse("[a]\n[b]\n[a]\n") ==
            "f:3: duplicate: section [a] stands twice");
  cr_expect(parse("[a]\nx=1\n  x=2\n") ==
            "f:3: duplicate: key 'x' stands twice in [a]");
  cr_expect(parse(std::string("[a]\nx=\0\n", 8)) ==
            "f:2: syntax error: line holds a zero byte");
}

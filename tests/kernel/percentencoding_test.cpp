#include "kernel/percentencoding.h"

#include <criterion/criterion.h>

using namespace bluebellbarrow; // NOLINT: test

Test(percentencoding, every_byte_round_trips_as_one_word) {
  std::string All;
  for (int Byte = 0; Byte < 256; ++Byte)
    All += static_cast<char>(Byte);
  const std::string Encoded = percentEncode(All);
  cr_expect_eq(Encoded.find_first_of(" \n\t/=&?#[],;\""), std::string::npos);
  cr_expect(percentDecode(Encoded) == All);
  cr_expect_str_eq(percentEncode("i-7f_3.a").c_str(), "i-7f_3.a");
  cr_expect_str_eq(percentEncode("..a b").c_str(), "%2E.a%20b");
}

Test(percentencoding, malformed_escapes_are_refused) {
  for (const char *Bad : {"%", "a%4", "%zz", "%4g", "%%41"})
    cr_expect_not(percentDecode(Bad).has_value(), "%s", Bad);
}

#include "kernel/framereader.h"
#include "kernel/wirearchive.h"

#include <criterion/criterion.h>

using namespace bluebellbarrow; // NOLINT: test

Test(framereader, splits_frames_at_any_chunk_size) {
  const std::string Bytes = encodeFrame({.Kind = 1, .Body = "one"}) +
                            encodeFrame({.Kind = 2, .Body = ""}) +
                            encodeFrame({.Kind = 3, .Body = "three"});
  for (size_t ChunkBytes = 1; ChunkBytes <= Bytes.size(); ++ChunkBytes) {
    FrameReader Reader(100);
    std::string Frames;
    for (size_t Start = 0; Start < Bytes.size(); Start += ChunkBytes) {
      Reader.feed(std::string_view(Bytes).substr(Start, ChunkBytes));
      while (const auto Next = Reader.next())
        Frames += std::to_string(Next->Kind) + Next->Body + ";";
    }
    cr_expect_str_eq(Frames.c_str(), "1one;2;3three;", "chunk %zu", ChunkBytes);
    cr_expect_eq(Reader.bufferedBytes(), 0);
  }
}

Test(framereader, rejects_a_length_outside_the_limit) {
  for (const std::string &Length :
       {std::string("\0\0\0\0", 4), std::string("\xff\xff\xff\xff", 4),
        std::string("\x65\0\0\0", 4)}) {
    FrameReader Reader(100);
    Reader.feed(Length);
    cr_expect_not(Reader.next().has_value());
    cr_expect(Reader.hasInvalidLength());
  }
}

Test(wirearchive, checks_sizes_before_allocation) {
  std::string Text;
  cr_expect_not(decode(std::string("\xff\xff\xff\xff", 4), Text));
  std::vector<std::string> List;
  cr_expect_not(decode(std::string("\xff\xff\xff\x7f"
                                   "a",
                                   5),
                       List));
  uint64_t Number = 0;
  cr_expect_not(decode(std::string("\1\2\3", 3), Number));
}

Test(wirearchive, rejects_bytes_after_the_value) {
  std::string Text;
  cr_expect(decode(encode(std::string("abc")), Text));
  cr_expect_str_eq(Text.c_str(), "abc");
  cr_expect_not(decode(encode(std::string("abc")) + "x", Text));
}

Test(wirearchive, rejects_an_invalid_boolean) {
  bool Value = false;
  cr_expect(decode(encode(true), Value));
  cr_expect(Value);
  cr_expect_not(decode(std::string("\2", 1), Value));
  cr_expect_not(decode(std::string("\xff", 1), Value));
}

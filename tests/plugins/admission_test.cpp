#include "golden.h"
#include "plugins/admission/admission.h"
#include "plugins/admission/idempotencycache.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <random>

using namespace bluebellbarrow; // NOLINT: test

namespace {

const TimePoint Start = TimePoint(seconds(1000));

RequestKey key(uint64_t Number, const char *Origin = "a",
               uint64_t Incarnation = 1) {
  return {.Origin = VmName(Origin),
          .OriginIncarnation = IncarnationId(Incarnation),
          .Number = RequestNumber(Number)};
}

/** Returns a request whose soft deadline is its deadline. */
AdmissionRequest request(const RequestKey &Key, TimePoint Deadline) {
  return {.Key = Key,
          .Route = RouteName("r"),
          .Priority = 1,
          .SoftDeadline = Deadline,
          .Deadline = Deadline,
          .LatencyObjective = milliseconds(10)};
}

} // namespace

// Guards against detecting repeats by the highest number seen: the numbers of
// several origins arrive interleaved and out of order, so new requests would be
// refused.
Test(admission, interleaved_numbers_all_run) {
  Admission Controller({.Slots = 5000, .MaxQueued = 0});
  std::vector<RequestKey> Requests;
  for (uint64_t Number = 1; Number <= 500; ++Number)
    for (const char *Origin : {"a", "b", "c", "d"})
      Requests.push_back(key(Number, Origin));
  std::mt19937_64 Random(1);
  for (size_t Index = Requests.size() - 1; Index > 0; --Index)
    std::swap(Requests[Index],
              Requests[Index - std::min<size_t>(Index, Random() % 20)]);
  uint64_t Highest = 0;
  int RefusedByHighestNumber = 0;
  for (const RequestKey &Key : Requests) {
    const AdmissionResult Result =
        Controller.admit(request(Key, Start + seconds(1)), Start);
    cr_assert_eq(Result.Decision, AdmissionDecision::Start);
    RefusedByHighestNumber += Key.Number.value() <= Highest ? 1 : 0;
    Highest = std::max(Highest, Key.Number.value());
  }
  for (const RequestKey &Key : Requests)
    cr_assert(
        Controller.admit(request(Key, Start + seconds(1)), Start).Duplicate);
  expectGolden("interleaved-numbers.txt",
               "one highest number for all origins refuses " +
                   std::to_string(RefusedByHighestNumber) + " of " +
                   std::to_string(Requests.size()) + " new requests\n");
}

Test(admission, a_cancelled_request_never_starts) {
  Admission Controller({.Slots = 1, .MaxQueued = 5});
  const TimePoint Deadline = Start + seconds(1);
  cr_expect_eq(Controller.cancel(key(1), Start), CancelState::NotRun);
  cr_expect_eq(Controller.admit(request(key(1), Deadline), Start).Decision,
               AdmissionDecision::Refuse);
  cr_expect_eq(Controller.admit(request(key(2), Deadline), Start).Decision,
               AdmissionDecision::Start);
  cr_expect_eq(Controller.admit(request(key(3), Deadline), Start).Decision,
               AdmissionDecision::Queue);
  cr_expect_eq(Controller.cancel(key(2), Start), CancelState::Running);
  cr_expect_eq(Controller.cancel(key(3), Start), CancelState::NotRun);
  Controller.onFinished(key(2), Start);
  cr_expect(Controller.poll(Start).empty());
  cr_expect_eq(Controller.cancel(key(2), Start), CancelState::Finished);
}

Test(admission, queue_drops_expired_requests_and_drains) {
  Admission Controller({.Slots = 1, .MaxQueued = 2});
  cr_expect_eq(
      Controller.admit(request(key(1), Start + seconds(1)), Start).Decision,
      AdmissionDecision::Start);
  cr_expect_eq(
      Controller.admit(request(key(2), Start + milliseconds(10)), Start)
          .Decision,
      AdmissionDecision::Queue);
  cr_expect_eq(
      Controller.admit(request(key(3), Start + seconds(1)), Start).Decision,
      AdmissionDecision::Queue);
  cr_expect_eq(
      Controller.admit(request(key(4), Start + seconds(1)), Start).Decision,
      AdmissionDecision::Refuse);
  auto Dropped = Controller.poll(Start + milliseconds(20));
  cr_assert_eq(Dropped.size(), 1);
  cr_expect(Dropped[0].Key == key(2) && !Dropped[0].Start);
  Controller.setDraining(true);
  Dropped = Controller.poll(Start + milliseconds(30));
  cr_assert_eq(Dropped.size(), 1);
  cr_expect(Dropped[0].Key == key(3) && !Dropped[0].Start);
  cr_expect_eq(Controller.running(), 1);
}

Test(keymemory, joins_repeats_and_expires_entries) {
  IdempotencyCache Keys({.Retention = seconds(10), .MaxKeys = 2});
  const std::string Name =
      IdempotencyCache::entryName(ServiceName("s"), RouteName("r"), "k");
  cr_expect_eq(Keys.begin(Name, 7, key(1), Start), IdempotencyDecision::Run);
  cr_expect_eq(Keys.begin(Name, 7, key(2), Start), IdempotencyDecision::Join);
  cr_expect_eq(Keys.begin(Name, 8, key(3), Start),
               IdempotencyDecision::Mismatch);
  const ReplyMessage Reply{.Result = Outcome::Answered,
                           .Response = {.Status = 200, .Body = "x"}};
  cr_expect_eq(Keys.finish(Name, Reply, Start).size(), 1);
  cr_expect_eq(Keys.begin(Name, 7, key(4), Start + seconds(9)),
               IdempotencyDecision::Replay);
  cr_expect_eq(Keys.begin("other", 7, key(5), Start), IdempotencyDecision::Run);
  cr_expect_eq(Keys.begin("third", 7, key(6), Start),
               IdempotencyDecision::Full);
  cr_expect_eq(Keys.begin(Name, 7, key(7), Start + seconds(10)),
               IdempotencyDecision::Run);
  cr_expect(Keys.finish(Name, ReplyMessage{.Result = Outcome::NotRun}, Start)
                .empty());
  cr_expect_eq(Keys.begin(Name, 7, key(8), Start + seconds(10)),
               IdempotencyDecision::Run);
}

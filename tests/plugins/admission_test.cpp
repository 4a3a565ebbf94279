#include "golden.h"
#include "plugins/admission/admission.h"
#include "plugins/admission/idempotencycache.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <random>

using namespace bluebellbarrow; // NOLINT: test

namespace {

const TimePoint Start = TimePoint(seconds(1000));

RequestKey key(uint64_t Number, const char *Origin = "a", uint64_t Life = 1) {
  return {.Origin = VmName(Origin),
          .OriginIncarnation = IncarnationId(Life),
          .Number = RequestNumber(Number)};
}

/** A request without an aim of its own. */
AdmissionRequest request(const RequestKey &Key, TimePoint Deadline) {
  return {.Key = Key,
          .Route = RouteName("r"),
          .Priority = 1,
          .SoftDeadline = Deadline,
          .Deadline = Deadline,
          .RouteLatencyObjective = milliseconds(10)};
}

} // namespace

Test(admission, interleaved_numbers_all_run) {
  Admission Gate({.Slots = 5000, .MaxQueued = 0});
  std::vector<RequestKey> Requests;
  for (uint64_t Number = 1; Number <= 500; ++Number)
    for (const char *Origin : {"a", "b", "c", "d"})
      Requests.push_back(key(Number, Origin));
  std::mt19937_64 Random(1);
  for (size_t Index = Requests.size() - 1; Index > 0; --Index)
    std::swap(Requests[Index],
              Requests[Index - std::min<size_t>(Index, Random() % 20)]);
  uint64_t Highest = 0;
  int RefusedBySimplerRule = 0;
  for (const RequestKey &Each : Requests) {
    const AdmissionResult Result =
        Gate.admit(request(Each, Start + seconds(1)), Start);
    cr_assert_eq(Result.Decision, AdmissionDecision::Start);
    RefusedBySimplerRule += Each.Number.value() <= Highest ? 1 : 0;
    Highest = std::max(Highest, Each.Number.value());
  }
  for (const RequestKey &Each : Requests)
    cr_assert(Gate.admit(request(Each, Start + seconds(1)), Start).Duplicate);
  expectGolden("interleaved-numbers.txt",
               "one highest number for all origins refuses " +
                   std::to_string(RefusedBySimplerRule) + " of " +
                   std::to_string(Requests.size()) + " new requests\n");
}

Test(admission, a_cancelled_request_never_starts) {
  Admission Gate({.Slots = 1, .MaxQueued = 5});
  const TimePoint Deadline = Start + seconds(1);
  cr_expect_eq(Gate.cancel(key(1), Start), CancelState::NotRun);
  cr_expect_eq(Gate.admit(request(key(1), Deadline), Start).Decision,
               AdmissionDecision::Refuse);
  cr_expect_eq(Gate.admit(request(key(2), Deadline), Start).Decision,
               AdmissionDecision::Start);
  cr_expect_eq(Gate.admit(request(key(3), Deadline), Start).Decision,
               AdmissionDecision::Queue);
  cr_expect_eq(Gate.cancel(key(2), Start), CancelState::Running);
  cr_expect_eq(Gate.cancel(key(3), Start), CancelState::NotRun);
  Gate.onFinished(key(2), Start);
  cr_expect(Gate.poll(Start).empty());
  cr_expect_eq(Gate.cancel(key(2), Start), CancelState::Finished);
}

Test(admission, the_queue_knows_deadlines_and_draining) {
  Admission Gate({.Slots = 1, .MaxQueued = 2});
  cr_expect_eq(Gate.admit(request(key(1), Start + seconds(1)), Start).Decision,
               AdmissionDecision::Start);
  cr_expect_eq(
      Gate.admit(request(key(2), Start + milliseconds(10)), Start).Decision,
      AdmissionDecision::Queue);
  cr_expect_eq(Gate.admit(request(key(3), Start + seconds(1)), Start).Decision,
               AdmissionDecision::Queue);
  cr_expect_eq(Gate.admit(request(key(4), Start + seconds(1)), Start).Decision,
               AdmissionDecision::Refuse);
  auto Left = Gate.poll(Start + milliseconds(20));
  cr_assert_eq(Left.size(), 1);
  cr_expect(Left[0].Key == key(2) && !Left[0].Start);
  Gate.setDraining(true);
  Left = Gate.poll(Start + milliseconds(30));
  cr_assert_eq(Left.size(), 1);
  cr_expect(Left[0].Key == key(3) && !Left[0].Start);
  cr_expect_eq(Gate.running(), 1);
}

Test(keymemory, joins_repeats_and_forgets) {
  IdempotencyCache Keys({.Retention = seconds(10), .MaxKeys = 2});
  const std::string Name =
      IdempotencyCache::entryName(ServiceName("s"), RouteName("r"), "k");
  cr_expect_eq(Keys.begin(Name, 7, key(1), Start), IdempotencyDecision::Run);
  cr_expect_eq(Keys.begin(Name, 7, key(2), Start), IdempotencyDecision::Join);
  cr_expect_eq(Keys.begin(Name, 8, key(3), Start),
               IdempotencyDecision::Mismatch);
  const ReplyMessage Answer{.Result = Outcome::Answered,
                            .Response = {.Status = 200, .Body = "x"}};
  cr_expect_eq(Keys.finish(Name, Answer, Start).size(), 1);
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

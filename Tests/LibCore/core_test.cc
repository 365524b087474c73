// Job ids, endpoints and interval sets.
#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <set>

#include "LibCore/interval_set.h"
#include "LibCore/job_id.h"

namespace mustardbank {

namespace {

JobId SomeId() {
  return JobId{.home = {.ip = 0x0A000001, .port = 7000},
               .incarnation = 123456789012345,
               .sequence = 42};
}

}  // namespace

TEST_GROUP(JobIds){};

TEST(JobIds, are_decoded_for_their_team) {
  const JobIdCodec codec("0123456789abcdef");
  const std::string text = codec.Encode(SomeId(), "team");
  CHECK_TRUE(codec.Decode(text, "team") == SomeId());
}

TEST(JobIds, of_other_teams_and_keys_are_rejected) {
  const JobIdCodec codec("0123456789abcdef");
  const std::string text = codec.Encode(SomeId(), "team");
  CHECK_FALSE(codec.Decode(text, "other").has_value());
  CHECK_FALSE(JobIdCodec("another key here").Decode(text, "team").has_value());
}

TEST(JobIds, with_any_changed_digit_are_rejected) {
  const JobIdCodec codec("0123456789abcdef");
  const std::string text = codec.Encode(SomeId(), "team");
  for (std::size_t i = 0; i < text.size(); ++i) {
    std::string forged = text;
    forged[i] = forged[i] == '0' ? '1' : '0';
    CHECK_FALSE(codec.Decode(forged, "team").has_value());
  }
  CHECK_FALSE(codec.Decode("", "team").has_value());
  CHECK_FALSE(codec.Decode(text + "00", "team").has_value());
}

TEST_GROUP(Endpoints){};

TEST(Endpoints, are_parsed_and_formatted) {
  const auto endpoint = Endpoint::Parse("10.1.2.3:65535");
  CHECK_TRUE(endpoint.has_value());
  STRCMP_EQUAL("10.1.2.3:65535", endpoint->ToString().c_str());
  for (const char* text : {"", "10.1.2.3", "10.1.2.3:", "10.1.2.3:65536",
                           "host:80", "10.1.2.3:80x"}) {
    CHECK_FALSE(Endpoint::Parse(text).has_value());
  }
}

TEST_GROUP(IntervalSets){};

TEST(IntervalSets, match_std_set) {
  rc::detail::TestParams params;
  params.seed = 7;
  const auto result = rc::detail::checkTestable(
      [](const std::vector<std::uint8_t>& values) {
        IntervalSet intervals;
        std::set<std::uint64_t> model;
        for (const std::uint8_t value : values)
          RC_ASSERT(intervals.Insert(value) == model.insert(value).second);
        for (std::uint64_t value = 0; value < 300; ++value)
          RC_ASSERT(intervals.Contains(value) == model.contains(value));
      },
      rc::detail::TestMetadata(), params);
  CHECK_TRUE(result.is<rc::detail::SuccessResult>());
}

TEST(IntervalSets, store_consecutive_numbers_as_one_interval) {
  IntervalSet intervals;
  for (std::uint64_t value = 1; value <= 1000; ++value)
    intervals.Insert(value);
  LONGS_EQUAL(1, intervals.intervals().size());
}

}  // namespace mustardbank

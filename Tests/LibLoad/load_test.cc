// Tests of load plans and of quantile estimates.
#include <CppUTest/TestHarness.h>

#include <boost/leaf/handle_errors.hpp>

#include "LibLoad/load_plan.h"
#include "LibLoad/load_report.h"

namespace leaf = boost::leaf;

namespace mustardbank {

TEST_GROUP(LoadTool){};

TEST(LoadTool, plans_report_their_faults) {
  const std::string faults = leaf::try_handle_all(
      []() -> leaf::result<std::string> {
        BOOST_LEAF_AUTO(document,
                        JsonDocument::Parse(R"({"entries": ["x"], "token": "t",
                          "service": "s", "rate": 3})",
                                            "p.json"));
        BOOST_LEAF_CHECK(LoadPlan::Read(document));
        return std::string();
      },
      [](const ConfigError& error) { return error.ToString(); },
      [] { return std::string(); });
  STRCMP_CONTAINS("p.json:2: rate: unknown key", faults.c_str());
  STRCMP_CONTAINS("expected at least one request", faults.c_str());
  STRCMP_CONTAINS("expected addresses", faults.c_str());
}

TEST(LoadTool, quantiles_are_within_a_bucket) {
  QuantileRecorder recorder;
  for (int i = 1; i <= 1000; ++i)
    recorder.Add(i);
  DOUBLES_EQUAL(500.5, recorder.mean(), 1e-6);
  DOUBLES_EQUAL(500, recorder.Quantile(0.5), 5);
  DOUBLES_EQUAL(990, recorder.Quantile(0.99), 10);
}

}  // namespace mustardbank

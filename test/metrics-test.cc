#include "thymewall/metrics.h"

#include "load-audit.h"
#include "load-scenario.h"

#include <boost/leaf/handle_errors.hpp>
#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace thymewall;
using Json = nlohmann::json;

TEST_CASE("delays are recorded separately per tenant and class") {
  DelayMetrics Metrics;
  for (int I = 1; I <= 100; ++I)
    Metrics.record("index", "once", Micros(I * 1000));
  Metrics.record("archive", "once", Micros(5));
  CHECK(Metrics.count("index", "once") == 100U);
  CHECK(Metrics.count("index", "open") == 0U);
  CHECK(Metrics.quantile("index", "once", 0.5).count() > 45'000);
  CHECK(Metrics.quantile("index", "once", 0.5).count() < 56'000);
  CHECK(Metrics.quantile("archive", "once", 0.99).count() == 10);
  CHECK(Metrics.quantile("index", "open", 0.5).count() == 0);
  Json Page = Json::parse(Metrics.json());
  CHECK(Page["index"]["once"]["count"] == 100);
  std::string Text = Metrics.prometheus("delay");
  CHECK(Text.find("delay_count{tenant=\"index\",class=\"once\"} 100") !=
        std::string::npos);
  CHECK(Text.find("le=\"+Inf\"} 100") != std::string::npos);
}

TEST_CASE("the audit reports each violated guarantee") {
  Json Callers = {{"flows", 2},
                  {"requests", 3},
                  {"answered", 1},
                  {"refused_not_run", 1},
                  {"outcome_unknown", 1},
                  {"no_final_answer", 0},
                  {"opens_refused", 0},
                  {"broken_flows", 0},
                  {"wrong_service", 0},
                  {"mixed_parts", 0},
                  {"pushes", 0},
                  {"steady_at_ms", 100},
                  {"answered_once", {1}},
                  {"not_run_once", {2}},
                  {"delays", Json::object()}};
  Json Upstream = {{"slots", 2},
                   {"wrong_service", 0},
                   {"refused", 1},
                   {"executed_once", {1, 3}},
                   {"samples", {{50, 7, 30}, {90, 7, 40}, {120, 7, 90}}}};
  Json Second = Upstream;
  Second["executed_once"] = Json::array();
  Second["samples"] = {{95, 7, 20}};
  auto RunAudit = [&] {
    return detail::auditRun(Callers.dump(), {Upstream.dump(), Second.dump()},
                            0.5);
  };
  detail::AuditResult Good = RunAudit();
  CHECK(Good.Passed_);
  Json Line = Json::parse(Good.Json_);
  CHECK(Line["config_seconds_max"] == 0.5);
  CHECK(Line["imbalance_percent"].get<double>() == doctest::Approx(33.333));
  Second["executed_once"] = {3};
  CHECK(!RunAudit().Passed_); // executed twice
  Second["executed_once"] = {2};
  CHECK(!RunAudit().Passed_); // reported as not run, but executed
  Second["executed_once"] = Json::array();
  Callers["answered_once"] = {1, 9};
  CHECK(!RunAudit().Passed_); // answered, but never executed
  Callers["answered_once"] = {1};
  Second["wrong_service"] = 1;
  CHECK(!RunAudit().Passed_);
  Second["wrong_service"] = 0;
  Callers["mixed_parts"] = 1;
  CHECK(!RunAudit().Passed_);
  Callers["mixed_parts"] = 0;
  Callers["broken_flows"] = 1;
  CHECK(!RunAudit().Passed_);
}

TEST_CASE("an invalid scenario is rejected with the key of the first error") {
  auto FirstKey = [](const std::string &Text) {
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::string> {
          BOOST_LEAF_CHECK(detail::parseScenario(Text, "scenario.json"));
          return std::string();
        },
        [](const Problems &Found) { return Found.front().Key_; },
        [] { return std::string("unexpected"); });
  };
  const std::string Head = R"({"local": "127.0.0.1:1", "classes": [)";
  CHECK(FirstKey(Head + R"({"service": "a", "at": "127.0.0.1:2"}]})").empty());
  CHECK(FirstKey(Head + R"({"service": "a", "at": "here"}]})") ==
        "classes[0].at");
  CHECK(FirstKey(Head + R"({"service": "a", "at": "127.0.0.1:2",
                            "once_share": 2}]})") == "classes[0].once_share");
  CHECK(FirstKey(R"({"local": "127.0.0.1:1"})") == "classes");
}

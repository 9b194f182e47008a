// What operators publish about the callers of a route and the flows of a
// service.
#include "published-items.h"

#include <doctest/doctest.h>

using namespace thymewall;
using namespace thymewall::platform;
using namespace thymewall::test;

TEST_CASE("decodes the objectives of routes that have one") {
  Json Document = routingDocument();
  Json &Route = Document["routes"][0];
  Route["slo-ms"] = 400;
  Route["timeout-ms"] = 2000;
  Route["prio"] = 3;
  StoreResponse Response = decodeConfiguration(Document);
  REQUIRE(Response.Routing_);
  CHECK(Response.Routing_->Objectives_.size() == 1);
  const ServiceObjective *Objective =
      Response.Routing_->objective(parseEndpoint("198.18.0.1:8443"));
  REQUIRE(Objective);
  CHECK(*Objective == ServiceObjective{3, std::chrono::milliseconds(400),
                                       std::chrono::seconds(2), true});
}

TEST_CASE("an objective has defaults, and only known kinds are repeatable") {
  Json Document = routingDocument();
  Json &Route = Document["routes"][0];
  Route["slo-ms"] = 400;
  auto Decoded = [&Document] {
    StoreResponse Response = decodeConfiguration(Document);
    REQUIRE(Response.Routing_);
    return *Response.Routing_->objective(parseEndpoint("198.18.0.1:8443"));
  };
  CHECK(Decoded() == ServiceObjective{255, std::chrono::milliseconds(400),
                                      std::chrono::milliseconds(400), true});
  for (const char *Kind : {"once", "upload", "", "IDEMPOTENT"}) {
    Route["type"] = Kind;
    CHECK_FALSE(Decoded().Repeatable_);
  }
  Route["type"] = "download";
  CHECK(Decoded().Repeatable_);
  Route.erase("type");
  CHECK_FALSE(Decoded().Repeatable_);
}

// Operators shorten deadlines; a table must come into force all the same.
TEST_CASE("a deadline shorter than the objective is the objective") {
  Json Document = routingDocument();
  Document["routes"][0]["slo-ms"] = 400;
  Document["routes"][0]["timeout-ms"] = 399;
  StoreResponse Response = decodeConfiguration(Document);
  REQUIRE(Response.Routing_);
  REQUIRE(Response.Routing_->Objectives_.size() == 1);
  const ServiceObjective &Objective =
      Response.Routing_->Objectives_.begin()->second;
  CHECK(Objective.Latency_ == std::chrono::milliseconds(399));
  CHECK(Objective.Deadline_ == std::chrono::milliseconds(399));
}

// Tables of the past have such fields with other meanings.
TEST_CASE("without an objective, its further fields are not validated") {
  Json Document = routingDocument();
  Json &Route = Document["routes"][0];
  Route["prio"] = "high";
  Route["timeout-ms"] = -1;
  Route["type"] = 7;
  StoreResponse Response = decodeConfiguration(Document);
  REQUIRE(Response.Routing_);
  CHECK(Response.Routing_->Objectives_.empty());
}

TEST_CASE("of two routes with one address, the last one counts entirely") {
  Json Document = routingDocument();
  Document["routes"][0]["slo-ms"] = 400;
  Document["routes"][1]["hostname"] = Document["routes"][0]["hostname"];
  Document["routes"][1]["path-prefix"] = Document["routes"][0]["path-prefix"];
  StoreResponse Response = decodeConfiguration(Document);
  REQUIRE(Response.Routing_);
  CHECK(Response.Routing_->Addresses_.size() == 1);
  CHECK(Response.Routing_->Objectives_.empty());
}

TEST_CASE("decodes the flow limits of services that have one") {
  Json Document = routingDocument();
  Document["backends"][1]["max-conns"] = 2000;
  StoreResponse Response = decodeConfiguration(Document);
  REQUIRE(Response.Routing_);
  CHECK(Response.Routing_->MaxFlowsPerUpstream_.size() == 1);
  CHECK(Response.Routing_->maxFlowsPerUpstream(
            static_cast<ServiceId>(nameId("archive"))) == 2000);
}

// A refused version would leave callers on routes that operators have removed.
TEST_CASE("an objective or flow limit out of range costs only itself") {
  using std::chrono::milliseconds;
  constexpr milliseconds Day(86'400'000);
  const ServiceObjective Plain{255, milliseconds(400), milliseconds(400), true};
  auto With = [&Plain](auto Change) {
    ServiceObjective Changed = Plain;
    Change(Changed);
    return std::optional<ServiceObjective>(Changed);
  };
  auto Deadline = [&](milliseconds D) {
    return With([&](ServiceObjective &O) { O.Deadline_ = D; });
  };
  struct OddValue {
    const char *Field_;
    const char *Value_;
    std::optional<ServiceObjective> Expected_;
    const char *Reason_; ///< Null if the value is used as published.
  };
  const char *NoLatency = "slo-ms is not a number from 1, and is ignored";
  const char *NoDeadline = "timeout-ms is not a number from 1, and is ignored";
  const char *NoPriority = "prio is not a number from 0, and is ignored";
  const char *LongLatency = "slo-ms is above 86400000, which is used";
  const char *LongDeadline = "timeout-ms is above 86400000, which is used";
  const char *LowPriority = "prio is above 255, which is used";
  auto LongestObjective = With([&](ServiceObjective &O) {
    O.Latency_ = Day;
    O.Deadline_ = Day;
  });
  const std::vector<OddValue> OddValues = {
      {"slo-ms", "0", std::nullopt, NoLatency},
      {"slo-ms", "-400", std::nullopt, NoLatency},
      {"slo-ms", "-1e400", std::nullopt, NoLatency},
      {"slo-ms", "0.5", std::nullopt, NoLatency},
      {"slo-ms", "\"400\"", std::nullopt, NoLatency},
      {"slo-ms", "null", std::nullopt, NoLatency},
      {"slo-ms", "[400]", std::nullopt, NoLatency},
      {"slo-ms", "400.5", Plain, nullptr},
      {"slo-ms", "86400001", LongestObjective, LongLatency},
      {"slo-ms", "1e400", LongestObjective, LongLatency},
      {"timeout-ms", "0", Plain, NoDeadline},
      {"timeout-ms", "true", Plain, NoDeadline},
      {"timeout-ms", "{}", Plain, NoDeadline},
      {"timeout-ms", "86400001", Deadline(Day), LongDeadline},
      {"timeout-ms", "1000000000000", Deadline(Day), LongDeadline},
      {"timeout-ms", "18446744073709551615", Deadline(Day), LongDeadline},
      {"timeout-ms", "99999999999999999999", Deadline(Day), LongDeadline},
      {"timeout-ms", "1e308", Deadline(Day), LongDeadline},
      {"prio", "256", Plain, LowPriority},
      {"prio", "300", Plain, LowPriority},
      {"prio", "1e400", Plain, LowPriority},
      {"prio", "-1", Plain, NoPriority},
      {"prio", "\"3\"", Plain, NoPriority}};
  for (const OddValue &Odd : OddValues) {
    INFO(Odd.Field_, ": ", Odd.Value_);
    std::string Text = routingDocument().dump();
    std::string Field = std::string("\"") + Odd.Field_ + "\":";
    std::string Route = "\"name\":\"b\",";
    std::string Latency =
        Odd.Field_ == std::string("slo-ms") ? "" : "\"slo-ms\":400,";
    Text.insert(Text.find(Route), Field + Odd.Value_ + "," + Latency);
    StoreResponse Response = decodeConfigurationText(Text);
    CHECK(Response.RefusedItems_.empty());
    REQUIRE(Response.Routing_);
    CHECK(Response.Routing_->Addresses_.size() == 2);
    const ServiceObjective *Objective =
        Response.Routing_->objective(parseEndpoint("198.18.0.2:8080"));
    REQUIRE((Objective != nullptr) == Odd.Expected_.has_value());
    if (Objective)
      CHECK(*Objective == *Odd.Expected_);
    std::vector<std::string> Expected;
    if (Odd.Reason_)
      Expected = {std::string("op/config: routes[1]: ") + Odd.Reason_ +
                  " ('b')"};
    CHECK(Response.Adjustments_ == Expected);
    CHECK(Response.AdjustmentCount_ == Expected.size());
  }
  Json Document = routingDocument();
  Document["routes"][0]["slo-ms"] = 400;
  Document["routes"][0]["type"] = 7;
  StoreResponse Response = decodeConfiguration(Document);
  REQUIRE(Response.Routing_);
  CHECK_FALSE(Response.Routing_->Objectives_.begin()->second.Repeatable_);
  CHECK(Response.Adjustments_ ==
        std::vector<std::string>{"op/config: routes[0]: type is not a string, "
                                 "a request may run once ('a')"});
}

TEST_CASE("a flow limit out of range costs only itself") {
  const std::vector<std::pair<Json, std::uint32_t>> Limits = {
      {0, 0},     {-1, 0},       {"2000", 0},          {nullptr, 0},
      {false, 0}, {2.5, 2},      {5'000'000, 1000000}, {1e300, 1000000},
      {1, 1},     {1e6, 1000000}};
  for (const auto &Case : Limits) {
    const Json &Limit = Case.first;
    std::uint32_t Expected = Case.second;
    CAPTURE(Limit.dump());
    Json Document = routingDocument();
    Document["backends"][0]["max-conns"] = Limit;
    StoreResponse Response = decodeConfiguration(Document);
    CHECK(Response.RefusedItems_.empty());
    REQUIRE(Response.Routing_);
    CHECK(Response.Routing_->maxFlowsPerUpstream(
              static_cast<ServiceId>(nameId("index"))) == Expected);
    CHECK(Response.Routing_->ServiceNames_.size() == 2);
    if (Expected == 0)
      CHECK(Response.Adjustments_ ==
            std::vector<std::string>{"op/config: backends[0]: max-conns is not "
                                     "a number from 1, and is ignored "
                                     "('index')"});
  }
}

TEST_CASE("a long name hides neither the field nor the reason") {
  Json Document = routingDocument();
  Document["routes"][0]["name"] = std::string(500, 'x');
  Document["routes"][0]["slo-ms"] = 0;
  StoreResponse Response = decodeConfiguration(Document);
  REQUIRE(Response.Adjustments_.size() == 1);
  CHECK(Response.Adjustments_[0].find(
            "op/config: routes[0]: slo-ms is not a number from 1") == 0);
  CHECK(Response.Adjustments_[0].size() < 200);
}

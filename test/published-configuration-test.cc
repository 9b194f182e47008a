// Elements of the configuration that can't be used cost only themselves.
#include "published-items.h"

#include "thymewall/gossip-message.h"

#include <doctest/doctest.h>

using namespace thymewall;
using namespace thymewall::platform;
using namespace thymewall::test;

namespace {

const Endpoint RouteA = parseEndpoint("198.18.0.1:8443");
const Endpoint RouteB = parseEndpoint("198.18.0.2:8080");

/// Values of every type, some of them beyond the range of any number.
std::vector<std::string> oddValues() {
  return {"null",
          "true",
          "-1",
          "0",
          "1e400",
          "-1e400",
          "2.5",
          "[]",
          "{}",
          "\"\"",
          "\"x\"",
          "[[1]]",
          "1e-400",
          "12345678901234567890123",
          std::string(5000, '9')};
}

/// Returns the paths of all values in a document but for the version.
std::vector<Json::json_pointer> pathsOf(const Json &Document) {
  std::vector<Json::json_pointer> Paths;
  const Json Flat = Document.flatten();
  for (const auto &Value : Flat.items())
    for (Json::json_pointer Path(Value.key()); !Path.empty();
         Path = Path.parent_pointer())
      if (Path.to_string() != "/version" && Path.to_string() != "/routes")
        Paths.push_back(Path);
  return Paths;
}

} // namespace

// A refused version would leave callers on routes that operators have removed.
TEST_CASE("a route that can't be used costs only itself") {
  const std::vector<std::pair<const char *, Json>> Changes = {
      {"hostname", nullptr},
      {"hostname", 7},
      {"hostname", "nowhere"},
      {"hostname", ""},
      {"path-prefix", "8443"},

      {"path-prefix", "/-1/"},
      {"path-prefix", "/65536/"},
      {"path-prefix", "//"},
      {"path-prefix", 8443},
      {"path-prefix", "/84 43/"},
      {"backend", nullptr},
      {"backend", Json::array()},
      {"split", Json::array()},
      {"split", {{{"backend", "index"}, {"weight", -1}}}},
      {"split", {{{"backend", 5}, {"weight", 1}}, 7}}};
  for (const auto &Change : Changes) {
    const char *Field = Change.first;
    const Json &Value = Change.second;
    INFO(Field, ": ", Value.dump());
    Json Document = routingDocument();
    Document["routes"][1][Field] = Value;
    StoreResponse Response = decodeConfiguration(Document);
    CHECK(Response.RefusedItems_.empty());
    REQUIRE(Response.Routing_);
    CHECK(Response.Routing_->Version_ == 7);
    CHECK(Response.Routing_->find(RouteA));
    CHECK_FALSE(Response.Routing_->find(RouteB));
    REQUIRE(!Response.Adjustments_.empty());
    CHECK(Response.Adjustments_.back().find("op/config: routes[1]: ") == 0);
    CHECK(Response.Adjustments_.back().find("the route is left out") !=
          std::string::npos);
  }
  Json Document = routingDocument();
  Document["routes"][1] = "no object";
  CHECK(decodeConfiguration(Document).Routing_->Addresses_.size() == 1);
}

TEST_CASE("an unusable route leaves an earlier one with its address in force") {
  Json Document = routingDocument();
  Document["routes"][0]["slo-ms"] = 400;
  Json Unusable = Document["routes"][0];
  Unusable.erase("split");
  Document["routes"].push_back(Unusable);
  StoreResponse Response = decodeConfiguration(Document);
  REQUIRE(Response.Routing_);
  CHECK(Response.Routing_->find(RouteA));
  CHECK(Response.Routing_->objective(RouteA));
}

TEST_CASE("a share that can't be used costs only itself") {
  Json Document = routingDocument();
  Document["routes"][0]["split"].push_back({{"backend", 5}, {"weight", 4}});
  Document["routes"][0]["split"].push_back({{"backend", "x"}});
  Document["routes"][0]["split"].push_back(
      {{"backend", "x"}, {"weight", "much"}});
  StoreResponse Response = decodeConfiguration(Document);
  REQUIRE(Response.Routing_);
  const auto *Shares = Response.Routing_->find(RouteA);
  REQUIRE(Shares);
  CHECK(*Shares == std::vector<ServiceShare>{
                       {static_cast<ServiceId>(nameId("index")), 90},
                       {static_cast<ServiceId>(nameId("archive")), 10}});
  CHECK(Response.AdjustmentCount_ == 3);
}

TEST_CASE("weights of any size keep their ratio") {
  struct Case {
    Json Weights_;
    std::vector<std::uint32_t> Expected_;
  };
  for (const Case &C : std::vector<Case>{{{0.75, 0.25}, {1000000, 333333}},
                                         {{3e12, 1e12}, {1000000, 333333}},
                                         {{1e300, 1}, {1000000, 1}},
                                         {{4294967295, 1}, {4294967295, 1}},
                                         {{0.5, 0}, {1000000}}}) {
    CAPTURE(C.Weights_.dump());
    Json Document = routingDocument();
    Document["routes"][0]["split"] = {
        {{"backend", "index"}, {"weight", C.Weights_[0]}},
        {{"backend", "archive"}, {"weight", C.Weights_[1]}}};
    StoreResponse Response = decodeConfiguration(Document);
    REQUIRE(Response.Routing_);
    std::vector<std::uint32_t> Weights;
    for (const ServiceShare &S : *Response.Routing_->find(RouteA))
      Weights.push_back(S.Weight_);
    CHECK(Weights == C.Expected_);
  }
}

TEST_CASE("services and limits that can't be used leave the routes in force") {
  for (const char *Field : {"backends", "limits"})
    for (const Json &Value :
         {Json(nullptr), Json(7), Json("x"), Json::array({5, nullptr}),
          Json({{"idle-timeout-ms", -9.2e18}}),
          Json({{"idle-timeout-ms", std::numeric_limits<std::int64_t>::min()}}),
          Json({{"idle-timeout-ms", "x"}})}) {
      INFO(Field, ": ", Value.dump());
      Json Document = routingDocument();
      Document[Field] = Value;
      StoreResponse Response = decodeConfiguration(Document);
      CHECK(Response.RefusedItems_.empty());
      REQUIRE(Response.Routing_);
      CHECK(Response.Routing_->Addresses_.size() == 2);
      CHECK(Response.Routing_->IdleTimeout_ > Micros(0));
      CHECK(Response.AdjustmentCount_ > 0);
      Document.erase(Field);
      CHECK(decodeConfiguration(Document).Routing_);
    }
  Json Document = routingDocument();
  Document["limits"]["idle-timeout-ms"] = 9.2e18;
  CHECK(decodeConfiguration(Document).Routing_->IdleTimeout_ ==
        RoutingTable::LongestIdleTimeout);
}

// The table in force must stay.
TEST_CASE("what is no configuration is refused as a whole") {
  std::vector<std::string> Texts = {"",   "{",        "7",  "null",
                                    "[]", "\xff\xfe", "{}", "{\"version\":7}"};
  auto With = [](const char *Field, const Json &Value) {
    Json Document = routingDocument();
    Document[Field] = Value;
    return Document.dump();
  };
  for (const Json &Version : {Json(nullptr), Json("7"), Json(-1), Json(1e20)})
    Texts.push_back(With("version", Version));
  for (const Json &Routes :
       {Json(nullptr), Json({{"a", 1}}), Json("x"), Json::array({7, "x"})})
    Texts.push_back(With("routes", Routes));
  for (const std::string &Text : Texts) {
    CAPTURE(Text);
    StoreResponse Response = decodeConfigurationText(Text);
    CHECK_FALSE(Response.Routing_);
    CHECK(Response.RefusedItems_.size() == 1);
  }
  // No routes at all are a decision of the operators.
  CHECK(decodeConfigurationText(With("routes", Json::array())).Routing_);
}

// Peers must accept the table, or a single balancer would have it.
TEST_CASE("any value in place of another leaves a table that peers can read") {
  Json Valid = routingDocument();
  Valid["routes"][0].update(
      {{"slo-ms", 400}, {"timeout-ms", 2000}, {"prio", 3}});
  Valid["backends"][0].update({{"max-conns", 2000}, {"warmup-per-s", 2.5}});
  const std::vector<Json::json_pointer> Paths = pathsOf(Valid);
  for (const Json::json_pointer &Path : Paths)
    for (const std::string &Value : oddValues()) {
      INFO(Path.to_string(), ": ", Value.substr(0, 40));
      Json Document = Valid;
      Document[Path] = "<here>";
      std::string Text = Document.dump();
      Text.replace(Text.find("\"<here>\""), 8, Value);
      StoreResponse Response = decodeConfigurationText(Text);
      CHECK(Response.RefusedItems_.empty());
      REQUIRE(Response.Routing_);
      // At most the route whose value was replaced is missing.
      CHECK(Response.Routing_->Addresses_.size() >= 1);
      StateUpdate Update;
      Update.Routing_ = Response.Routing_;
      GossipMessage Received;
      REQUIRE(decodeGossip(encodeGossip(Update, Now), Now, Received) ==
              ErrorKind::None);
      const RoutingTable &Copy = *std::get<StateUpdate>(Received).Routing_;
      CHECK(Copy.Addresses_ == Response.Routing_->Addresses_);
      CHECK(Copy.Objectives_ == Response.Routing_->Objectives_);
      CHECK(Copy.MaxFlowsPerUpstream_ ==
            Response.Routing_->MaxFlowsPerUpstream_);
      CHECK(Copy.ColdFlowsPerSecond_ == Response.Routing_->ColdFlowsPerSecond_);
    }
}

TEST_CASE("deeply nested values in a configuration cost only themselves") {
  std::string Nested = std::string(500'000, '[') + std::string(500'000, ']');
  for (const char *Field : {"\"unknown\"", "\"slo-ms\"", "\"split\""}) {
    std::string Text = routingDocument().dump();
    std::string Route = "\"name\":\"b\"";
    Text.insert(Text.find(Route), std::string(Field) + ":" + Nested + ",");
    StoreResponse Response = decodeConfigurationText(Text);
    CAPTURE(Field);
    REQUIRE(Response.Routing_);
    CHECK(Response.Routing_->find(RouteA));
  }
}

TEST_CASE("the reasons that are kept are bounded") {
  Json Document = routingDocument();
  for (int I = 0; I < 2000; ++I)
    Document["routes"].push_back({{"name", I}});
  StoreResponse Response = decodeConfiguration(Document);
  REQUIRE(Response.Routing_);
  CHECK(Response.Routing_->Addresses_.size() == 2);
  CHECK(Response.AdjustmentCount_ == 2000);
  CHECK(Response.Adjustments_.size() <= 64);
}

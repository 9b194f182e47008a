#include "published-items.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace thymewall;
using namespace thymewall::platform;
using namespace thymewall::test;

namespace {

Json upstreamValue(const std::string &State = "ready") {
  return {{"backend", "index"},     {"address", "10.128.0.9:8080"},
          {"zone", "ams-hall-a"},   {"version", "v1"},
          {"capacity", 3},          {"state", State},
          {"warmup-left-ms", 1500}, {"call-seq", 4}};
}

} // namespace

TEST_CASE("decodes a page of items") {
  StoreResponse Response =
      decodeResponse({{"items",
                       {makeItem("op/config", routingDocument(), 12),
                        makeItem("servers/i-7f3a91c2", upstreamValue(), 14),
                        makeItem("other/key", "x", 15)}},
                      {"has-more", true},
                      {"store-revision", 15}});
  CHECK(Response.HasMore_);
  CHECK(Response.StoreRevision_ == 15);
  CHECK(Response.LastKey_ == "other/key");
  CHECK(Response.RefusedItems_.empty());
  REQUIRE(Response.Changes_.size() == 1);
  const UpstreamEntry &E = *Response.Changes_[0].Entry_;
  CHECK(E.Incarnation_ == Incarnation{0x7f3a91c2});
  CHECK(E.Address_ == parseEndpoint("10.128.0.9:8080"));
  CHECK(E.DataHall_ == "ams-hall-a");
  CHECK(E.Slots_ == 3);
  CHECK_FALSE(E.Draining_);
  CHECK(E.WarmAt_ == Now + std::chrono::milliseconds(1500));
  CHECK(Response.Changes_[0].Revision_ == 14);
}

TEST_CASE("decodes the routing table") {
  StoreResponse Response =
      decodeResponse({{"items", {makeItem("op/config", routingDocument(), 12)}},
                      {"has-more", false},
                      {"store-revision", 15}});
  REQUIRE(Response.Routing_);
  CHECK(Response.Routing_->Version_ == 7);
  CHECK(Response.Routing_->IdleTimeout_ == std::chrono::seconds(15));
  const auto *Split = Response.Routing_->find(parseEndpoint("198.18.0.1:8443"));
  REQUIRE(Split);
  REQUIRE(Split->size() == 2); // shares with weight 0 are left out
  CHECK((*Split)[0].Weight_ == 90);
  CHECK(Response.Routing_->serviceName((*Split)[1].Service_) == "archive");
  CHECK(Response.Routing_->find(parseEndpoint("198.18.0.2:8080")));
  CHECK_FALSE(Response.Routing_->find(parseEndpoint("198.18.0.2:8443")));
}

TEST_CASE("decodes the start time of an upstream") {
  Json Entry = upstreamValue();
  Entry["born"] = 1772424720123;
  StoreResponse Response = decodeResponse(
      {{"items", {makeItem("servers/i-1", Entry, 1)}}, {"store-revision", 1}});
  REQUIRE(Response.Changes_[0].Entry_);
  CHECK(Response.Changes_[0].Entry_->StartTimeMs_ == 1772424720123);
}

namespace {

/// Generates an invalid value for \p Field.
rc::Gen<Json> invalidValue(const std::string &Field) {
  std::vector<Json> Values = {nullptr,       true,          -1, 2.5, 1e300,
                              Json::array(), Json::object()};
  bool Text = upstreamValue()[Field].is_string();
  Values.push_back(Text ? Json(7) : Json("7"));
  // Above the upper bound of every number except `call-seq`, which has none.
  if (!Text && Field != "call-seq")
    Values.push_back(18446744073709551615ULL);
  if (Field == "state")
    Values.insert(Values.end(), {"READY", "resting", "ready ", ""});
  if (Field == "address")
    Values.insert(Values.end(), {"10.0.0.1", "host:80", "10.0.0.1:70000", "",
                                 "10.0.0.1:0", "10.0.0.1:-1",
                                 "10.0.0.1:", "10.0.0.1:99999999999999999999"});
  if (Field == "zone")
    Values.push_back(std::string(256, 'z'));
  return rc::gen::elementOf(Values);
}

} // namespace

TEST_CASE("an entry with a missing or invalid field does not affect others") {
  rc::check([] {
    std::vector<std::string> Fields;
    Json Invalid = upstreamValue();
    for (const auto &Known : Invalid.items())
      Fields.push_back(Known.key());
    auto Field = *rc::gen::elementOf(Fields);
    if (*rc::gen::arbitrary<bool>())
      Invalid.erase(Field);
    else
      Invalid[Field] = *invalidValue(Field);
    StoreResponse Response =
        decodeResponse({{"events",
                         {makeItem("servers/i-1", upstreamValue(), 1),
                          makeItem("servers/i-2", Invalid, 2),
                          makeItem("servers/i-3", upstreamValue(), 3)}},
                        {"store-revision", 3}});
    RC_ASSERT(Response.Changes_.size() == 3U);
    RC_ASSERT(Response.Changes_[0].Entry_.has_value());
    RC_ASSERT(!Response.Changes_[1].Entry_.has_value());
    RC_ASSERT(Response.Changes_[1].Revision_ == 2U);
    RC_ASSERT(Response.Changes_[2].Entry_.has_value());
    RC_ASSERT(Response.RefusedItems_.size() == 1U);
    RC_ASSERT(Response.RefusedItems_[0].find("servers/i-2: ") == 0U);
  });
}

TEST_CASE("rejects malformed start times and values") {
  for (const char *Born :
       {"\"1772424720123\"", "1.5", "-4", "null", "[1]", "9999999999999999"}) {
    Json Invalid = upstreamValue();
    Invalid["born"] = Json::parse(Born);
    StoreResponse Response =
        decodeResponse({{"items", {makeItem("servers/i-2", Invalid, 2)}},
                        {"store-revision", 3}});
    CAPTURE(Born);
    CHECK_FALSE(Response.Changes_.at(0).Entry_);
  }
  for (const std::string &Value :
       {std::string("\xff\xfe"), std::string("{\"zone\":\"\xc3\x28\"}"),
        std::string("[]"), std::string("7"), std::string(),
        std::string(1 << 20, '['), std::string(1 << 20, 'x')}) {
    Json Item = makeItem("servers/i-2", Json::object(), 2);
    Item["val"] = base64(Value);
    StoreResponse Response = decodeResponse(
        {{"events", {Item, makeItem("servers/i-3", upstreamValue(), 3)}},
         {"store-revision", 3}});
    REQUIRE(Response.Changes_.size() == 2);
    CHECK_FALSE(Response.Changes_[0].Entry_);
    CHECK(Response.Changes_[1].Entry_);
  }
}

TEST_CASE(
    "an item without a valid key, revision or value does not affect others") {
  Json NoKey = makeItem("servers/i-1", upstreamValue(), 1);
  NoKey["key-file"] = 5;
  Json NoRevision = makeItem("servers/i-2", upstreamValue(), 2);
  NoRevision["revision"] = "2";
  Json NoValue = makeItem("servers/i-3", upstreamValue(), 3);
  NoValue["val"] = Json::array();
  Json NoObject = 17;
  StoreResponse Response =
      decodeResponse({{"items",
                       {NoKey, NoRevision, NoValue, NoObject,
                        makeItem("servers/i-4", upstreamValue(), 4)}},
                      {"store-revision", 4}});
  CHECK(Response.RefusedItems_.size() == 4);
  REQUIRE(Response.Changes_.size() == 2);
  CHECK_FALSE(Response.Changes_[0].Entry_);
  CHECK(Response.Changes_[1].Incarnation_ == Incarnation{4});
}

// Otherwise a copy under another key removes the living upstream.
TEST_CASE("a key that only contains an identifier stands for no upstream") {
  for (const char *Id :
       {"copy-of-i-7f", "i-7f-2", "i-7f-old", "i--7f", "-7f", "i-", "", "i-7F",
        "I-7f", "i 7f", "i-7f ", "i- 7f", "i-0x7f", "i-+7f", "x/i-7f", "i-7g",
        "i.7f", "i-1ffffffffffffffff"}) {
    StoreResponse Response = decodeResponse(
        {{"items",
          {makeItem(std::string("servers/") + Id, "unreadable", 3),
           makeItem(std::string("servers/") + Id, upstreamValue(), 4)}},
         {"store-revision", 5}});
    CAPTURE(Id);
    CHECK(Response.Changes_.empty());
    CHECK(Response.RefusedItems_.size() == 2);
  }
  for (const char *Id : {"i-7f", "7f", "node7-7f", "i-00007f"}) {
    StoreResponse Response = decodeResponse(
        {{"items",
          {makeItem(std::string("servers/") + Id, upstreamValue(), 3)}},
         {"store-revision", 5}});
    CAPTURE(Id);
    REQUIRE(Response.Changes_.size() == 1);
    CHECK(Response.Changes_[0].Incarnation_ == Incarnation{0x7f});
  }
}

TEST_CASE("decodes the events of a watch") {
  Json Gone = {
      {"key-file", "servers/i-ab"}, {"revision", 413}, {"is-gone", true}};
  StoreResponse Response = decodeResponse(
      {{"events",
        {makeItem("servers/i-cd", upstreamValue("draining"), 412), Gone}},
       {"store-revision", 413}});
  REQUIRE(Response.Changes_.size() == 2);
  CHECK(Response.Changes_[0].Entry_->Draining_);
  CHECK(Response.Changes_[1].Incarnation_ == Incarnation{0xab});
  CHECK_FALSE(Response.Changes_[1].Entry_);
}

TEST_CASE("reports invalid items and decodes the others") {
  Json NoAddress = upstreamValue();
  NoAddress["address"] = "nowhere";
  Json BadConfiguration = routingDocument();
  BadConfiguration.erase("routes");
  Json NotBase64 = makeItem("servers/i-4", upstreamValue(), 4);
  NotBase64["val"] = "***";
  StoreResponse Response =
      decodeResponse({{"items",
                       {makeItem("servers/i-1", NoAddress, 1),
                        makeItem("servers/i-xyz", upstreamValue(), 2),
                        makeItem("op/config", BadConfiguration, 3), NotBase64,
                        makeItem("servers/i-5", upstreamValue(), 5)}},
                      {"store-revision", 5}});
  CHECK(Response.RefusedItems_.size() == 4);
  CHECK(Response.RefusedItems_[0].find("servers/i-1: ") == 0);
  CHECK_FALSE(Response.Routing_);
  // Invalid entries with a valid key become changes without an entry.
  REQUIRE(Response.Changes_.size() == 3);
  CHECK(Response.Changes_[0] ==
        UpstreamChange{Incarnation{1}, 1, std::nullopt});
  CHECK(Response.Changes_[1] ==
        UpstreamChange{Incarnation{4}, 4, std::nullopt});
  CHECK(Response.Changes_[2].Incarnation_ == Incarnation{5});
  CHECK(Response.Changes_[2].Entry_);
}

TEST_CASE("decodes limits of cold upstreams, where 0 means none") {
  Json Document = routingDocument();
  Document["backends"][0]["warmup-per-s"] = 2.5;
  Document["backends"][1]["warmup-per-s"] = 0.0;
  StoreResponse Response =
      decodeResponse({{"items", {makeItem("op/config", Document, 12)}},
                      {"store-revision", 15}});
  REQUIRE(Response.Routing_);
  CHECK(Response.Routing_->coldFlowsPerSecond(
            static_cast<ServiceId>(nameId("index"))) == 2.5);
  CHECK(Response.Routing_->ColdFlowsPerSecond_.size() == 1);
  for (const Json &Invalid : {Json(-1), Json("2.5"), Json(nullptr)}) {
    Document["backends"][0]["warmup-per-s"] = Invalid;
    Response = decodeConfiguration(Document);
    CHECK(Response.RefusedItems_.empty());
    REQUIRE(Response.Routing_);
    CHECK(Response.Routing_->ColdFlowsPerSecond_.empty());
    CHECK(Response.Adjustments_ ==
          std::vector<std::string>{"op/config: backends[0]: warmup-per-s is "
                                   "not a rate, and is ignored ('index')"});
  }
  Document["backends"][0]["warmup-per-s"] = 1e300;
  Response = decodeConfiguration(Document);
  REQUIRE(Response.Routing_);
  CHECK(Response.Routing_->coldFlowsPerSecond(static_cast<ServiceId>(
            nameId("index"))) == RoutingTable::HighestColdFlowsPerSecond);
}

TEST_CASE("an address without a port and a name of unusual length name no "
          "upstream") {
  for (const auto &Case : std::vector<std::pair<const char *, std::string>>{
           {"address", "10.0.0.1:0"},
           {"address", "10.0.0.1:-1"},
           {"address", "10.0.0.1:"},
           {"address", "10.0.0.1:65536"},
           {"zone", std::string(256, 'z')}}) {
    const char *Field = Case.first;
    const std::string &Value = Case.second;
    Json Entry = upstreamValue();
    Entry[Field] = Value;
    StoreResponse Response =
        decodeResponse({{"events", {makeItem("servers/i-1", Entry, 1)}},
                        {"store-revision", 3}});
    INFO(Field, ": ", Value);
    REQUIRE(Response.Changes_.size() == 1);
    CHECK_FALSE(Response.Changes_[0].Entry_);
  }
  Json Entry = upstreamValue();
  Entry["zone"] = std::string(255, 'z');
  CHECK(decodeResponse({{"events", {makeItem("servers/i-1", Entry, 1)}},
                        {"store-revision", 3}})
            .Changes_[0]
            .Entry_);
  Json Document = routingDocument();
  Document["routes"][1]["path-prefix"] = "/0/";
  CHECK(decodeConfiguration(Document).Routing_->Addresses_.size() == 1);
}

// One entry must cost a balancer with little processor time nothing, nor be
// copied to all peers.
TEST_CASE("entries of an unusual length are refused without a look at them") {
  Json Long = upstreamValue();
  for (std::size_t Extra : {std::size_t{1000}, std::size_t{1} << 20}) {
    Long["unknown"] = std::string(Extra, 'x');
    StoreResponse Response =
        decodeResponse({{"events",
                         {makeItem("servers/i-1", Long, 1),
                          makeItem("servers/i-2", upstreamValue(), 2)}},
                        {"store-revision", 3}});
    REQUIRE(Response.Changes_.size() == 2);
    CHECK(Response.Changes_[0].Entry_.has_value() == (Extra == 1000));
    CHECK(Response.Changes_[1].Entry_.has_value());
  }
}

TEST_CASE("decodes evacuated data halls") {
  Json Gone = {{"key-file", "op/evacuate/ams-hall-b"},
               {"revision", 23},
               {"is-gone", true}};
  Json Unnamed = makeItem("op/evacuate/", Json::object(), 24);
  Json NoRevision = makeItem("op/evacuate/ams-hall-c", Json::object(), 25);
  NoRevision.erase("revision");
  StoreResponse Response =
      decodeResponse({{"events",
                       {makeItem("op/evacuate/ams-hall-a", Json::object(), 22),
                        Gone, Unnamed, NoRevision}},
                      {"store-revision", 25}});
  CHECK(Response.Evacuations_ ==
        std::vector<EvacuationChange>{{"ams-hall-a", 22, true},
                                      {"ams-hall-b", 23, false}});
  REQUIRE(Response.RefusedItems_.size() == 2);
  CHECK(Response.RefusedItems_[0] == "op/evacuate/: key names no data hall");
  CHECK(Response.RefusedItems_[1].find("op/evacuate/ams-hall-c: ") == 0);
}

TEST_CASE("decodes a damaged response or reports the reason") {
  Json Root = {{"items",
                {makeItem("op/config", routingDocument(), 12),
                 makeItem("servers/i-7f3a91c2", upstreamValue(), 14)}},
               {"has-more", false},
               {"store-revision", 15}};
  std::string Good = Root.dump();
  rc::check([&] {
    std::string Text = Good;
    auto Cut = *rc::gen::inRange<std::size_t>(0, Text.size());
    Text[Cut] = *rc::gen::arbitrary<char>();
    if (*rc::gen::arbitrary<bool>())
      Text.resize(Cut);
    std::string Reason;
    auto Answer = decodeStoreResponse(Text, Now, Reason);
    RC_ASSERT(Answer.has_value() || !Reason.empty());
  });
}

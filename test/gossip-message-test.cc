// Compatibility of gossip messages with the release before loads and
// objectives, and their bounds.
#include "thymewall/gossip-message.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

using namespace thymewall;
using namespace std::chrono_literals;
using Json = nlohmann::json;

namespace {

const MonoTime Now{50s};
const Endpoint Address = parseEndpoint("198.18.0.1:8443");

std::string bytesOf(const Json &J) {
  std::string Bytes;
  Json::to_cbor(J, Bytes);
  return Bytes;
}

/// Type, sender, state, reader, numbers, uptime, members, upstreams, parts and
/// first live balancer, as the earlier release sends them.
Json earlierHeartbeat() {
  return {1,
          {"lb-1", "hall-a", "10.0.0.1:8166", 0},
          false,
          7,
          40,
          120,
          12345678901234567890ULL,
          80,
          6,
          5,
          90'000,
          Json::array({Json::array({"lb-2", "hall-b", "10.0.0.2:8166", 1500})}),
          120,
          Json::binary({}),
          11,
          300};
}

/// The routing table in a state update, as the earlier release sends it.
Json earlierTable() {
  return Json::array(
      {7,
       Json::array({Json::array(
           {"198.18.0.1:8443", Json::array({Json::array({5, 1})})})}),
       Json::array({"index"}), 60'000'000,
       Json::array({Json::array({5, 2.5})})});
}

Json updateWith(const Json &Table) {
  const Json NoChanges =
      Json::array({Json::array(), Json::array(), Json::array()});
  return {3,
          Table,
          true,
          0,
          40,
          NoChanges,
          120,
          Json::array(),
          NoChanges,
          Json::array({40, Json::array()}),
          Json::binary({}),
          Json::binary({})};
}

template <typename Message> Message decoded(const std::string &Bytes) {
  GossipMessage M;
  REQUIRE(decodeGossip(Bytes, Now, M) == ErrorKind::None);
  return std::get<Message>(M);
}

ErrorKind errorOf(const Json &J) {
  GossipMessage M;
  return decodeGossip(bytesOf(J), Now, M);
}

Json cborOf(const GossipMessage &M) {
  return Json::from_cbor(encodeGossip(M, Now));
}

Member memberWithLoad() {
  Member M{"lb-1", "hall-a", parseEndpoint("10.0.0.1:8166"), 0};
  M.LoadTold_ = true;
  M.Load_ = {{ServiceId{0xfedcba98}, 700}, {ServiceId{5}, 4'000'000'000}};
  M.Impairment_ = 12;
  return M;
}

std::shared_ptr<RoutingTable> tableWithObjective() {
  auto Table = std::make_shared<RoutingTable>();
  Table->Version_ = 7;
  Table->Addresses_[Address] = {{ServiceId{5}, 1}};
  Table->Objectives_[Address] = {3, 400ms, 2s, true};
  Table->MaxFlowsPerUpstream_[5] = 2000;
  return Table;
}

/// Sender of a heartbeat with these elements after the earlier four.
Json heartbeatWith(const std::vector<Json> &Elements) {
  Json Heartbeat = earlierHeartbeat();
  for (const Json &Element : Elements)
    Heartbeat[1].push_back(Element);
  return Heartbeat;
}

/// Update whose table has these elements after the earlier five.
Json updateWithTable(const std::vector<Json> &Elements) {
  Json Table = earlierTable();
  for (const Json &Element : Elements)
    Table.push_back(Element);
  return updateWith(Table);
}

Json objective(const Json &Priority, const Json &LatencyMs,
               const Json &DeadlineMs, const Json &Repeatable = true) {
  return Json::array({Json::array(
      {"198.18.0.1:8443", Priority, LatencyMs, DeadlineMs, Repeatable})});
}

Json flowLimit(const Json &Limit) {
  return Json::array({Json::array({5, Limit})});
}

} // namespace

// A fleet is upgraded one balancer at a time.
TEST_CASE("members of the earlier release report no load") {
  auto M = decoded<PeerHeartbeat>(bytesOf(earlierHeartbeat()));
  CHECK(M.Sender_.Name_ == "lb-1");
  CHECK_FALSE(M.Sender_.LoadTold_);
  REQUIRE(M.Members_.size() == 1);
  CHECK(M.Members_[0].AgeMs_ == 1500);
  CHECK_FALSE(M.Members_[0].LoadTold_);
  CHECK(M.FirstAliveAgeMs_ == 300);
}

TEST_CASE("a routing table of the earlier release has no objectives") {
  auto M = decoded<StateUpdate>(bytesOf(updateWith(earlierTable())));
  REQUIRE(M.Routing_);
  CHECK(M.Routing_->find(Address));
  CHECK(M.Routing_->coldFlowsPerSecond(ServiceId{5}) == 2.5);
  CHECK_FALSE(M.Routing_->objective(Address));
  CHECK(M.Routing_->maxFlowsPerUpstream(ServiceId{5}) == 0);
}

namespace {

/// Returns the elements that the earlier release reads.
Json firstElements(Json Array, std::size_t Count) {
  while (Array.size() > Count)
    Array.erase(Array.size() - 1);
  return Array;
}

} // namespace

// The earlier release reads elements by index, so that they must keep their
// places and values.
TEST_CASE("a decoder of the earlier elements accepts the new bytes") {
  PeerHeartbeat Heartbeat;
  Heartbeat.Sender_ = memberWithLoad();
  Heartbeat.Members_ = {memberWithLoad()};
  Json Sent = cborOf(Heartbeat);
  CHECK(Sent[1].size() == 6);
  Sent[1] = firstElements(Sent[1], 4);
  Sent[11][0] = firstElements(Sent[11][0], 4);
  Heartbeat.Sender_.LoadTold_ = false;
  Heartbeat.Members_[0].LoadTold_ = false;
  CHECK(Sent == cborOf(Heartbeat));
  CHECK(Sent.size() == earlierHeartbeat().size());
  CHECK(Sent[1] == earlierHeartbeat()[1]);

  StateUpdate Update;
  Update.Routing_ = tableWithObjective();
  Json Table = cborOf(Update)[1];
  CHECK(Table.size() == 7);
  CHECK(Table[5] == objective(3, 400, 2000));
  CHECK(Table[6] == flowLimit(2000));
  auto Plain = tableWithObjective();
  Plain->Objectives_.clear();
  Plain->MaxFlowsPerUpstream_.clear();
  Update.Routing_ = Plain;
  CHECK(firstElements(Table, 5) == cborOf(Update)[1]);
  CHECK(Table[1] == earlierTable()[1]);
}

TEST_CASE("nothing is added to messages without loads and objectives") {
  Json Heartbeat = cborOf(decoded<PeerHeartbeat>(bytesOf(earlierHeartbeat())));
  CHECK(Heartbeat == earlierHeartbeat());
  Json Update =
      cborOf(decoded<StateUpdate>(bytesOf(updateWith(earlierTable()))));
  CHECK(Update == updateWith(earlierTable()));
}

TEST_CASE("loads and impairment are decoded as they were encoded") {
  PeerHeartbeat Sent;
  Sent.Sender_ = memberWithLoad();
  Member Idle = memberWithLoad();
  Idle.Load_.clear();
  Idle.Impairment_ = 255;
  Sent.Members_ = {Idle, {"lb-3", "hall-a", Address, 40}};
  auto M = decoded<PeerHeartbeat>(encodeGossip(Sent, Now));
  CHECK(M.Sender_.LoadTold_);
  CHECK(M.Sender_.Load_ == Sent.Sender_.Load_);
  CHECK(M.Sender_.Impairment_ == 12);
  REQUIRE(M.Members_.size() == 2);
  CHECK(
      M.Members_[0].LoadTold_); // an idle member isn't one of the past release
  CHECK(M.Members_[0].Load_.empty());
  CHECK(M.Members_[0].Impairment_ == 255);
  CHECK_FALSE(M.Members_[1].LoadTold_);
}

TEST_CASE("clocks and failed calls are appended and decoded as encoded") {
  PeerHeartbeat Sent = decoded<PeerHeartbeat>(bytesOf(earlierHeartbeat()));
  Sent.SentAtMs_ = 5'000'000'000;
  Sent.EchoReceivedAtMs_ = 4'999'999'321;
  Sent.FailureAgeMs_ = 250;
  Json Elements = cborOf(Sent);
  CHECK(firstElements(Elements, 16) == earlierHeartbeat());
  auto Received = decoded<PeerHeartbeat>(bytesOf(Elements));
  CHECK(Received.SentAtMs_ == Sent.SentAtMs_);
  CHECK(Received.EchoReceivedAtMs_ == Sent.EchoReceivedAtMs_);
  CHECK(Received.FailureAgeMs_ == Sent.FailureAgeMs_);
}

TEST_CASE("clocks out of range are malformed") {
  for (const Json &Clock :
       {Json(std::uint64_t{1} << 51), Json(-1), Json("1")}) {
    Json Elements = earlierHeartbeat();
    Elements.push_back(Clock);
    Elements.push_back(0);
    Elements.push_back(0);
    GossipMessage M;
    CHECK(decodeGossip(bytesOf(Elements), MonoTime{}, M) ==
          ErrorKind::Malformed);
  }
}

TEST_CASE("the highest loads are sent, so that a record stays small") {
  PeerHeartbeat Sent;
  Sent.Sender_ = memberWithLoad();
  Sent.Sender_.Load_.clear();
  for (std::uint32_t I = 1; I <= 12; ++I)
    Sent.Sender_.Load_.push_back({static_cast<ServiceId>(I), I * 7 % 13});
  auto M = decoded<PeerHeartbeat>(encodeGossip(Sent, Now));
  REQUIRE(M.Sender_.Load_.size() == Member::MaxServiceLoads);
  for (const ServiceLoad &Load : M.Sender_.Load_)
    CHECK(Load.RequestsPerMinute_ >= 5);
}

TEST_CASE("any objective and flow limit is decoded as it was encoded") {
  rc::check([] {
    auto Table = tableWithObjective();
    auto LatencyMs = *rc::gen::inRange<std::int64_t>(1, 86'400'001);
    auto DeadlineMs = *rc::gen::inRange<std::int64_t>(LatencyMs, 86'400'001);
    Table->Objectives_[Address] = {*rc::gen::arbitrary<std::uint8_t>(),
                                   std::chrono::milliseconds(LatencyMs),
                                   std::chrono::milliseconds(DeadlineMs),
                                   *rc::gen::arbitrary<bool>()};
    Table->MaxFlowsPerUpstream_[*rc::gen::arbitrary<std::uint32_t>()] =
        *rc::gen::inRange<std::uint32_t>(1, 1'000'001);
    StateUpdate Sent;
    Sent.Routing_ = Table;
    GossipMessage M;
    RC_ASSERT(decodeGossip(encodeGossip(Sent, Now), Now, M) == ErrorKind::None);
    const auto &Update = std::get<StateUpdate>(M);
    RC_ASSERT(*Update.Routing_->objective(Address) ==
              *Table->objective(Address));
    RC_ASSERT(Update.Routing_->MaxFlowsPerUpstream_ ==
              Table->MaxFlowsPerUpstream_);
  });
}

// Later releases may append elements.
TEST_CASE("unknown further elements are ignored") {
  Json Heartbeat = heartbeatWith(
      {Json::array({Json::array({5, 700, "unknown"})}), 3, "new"});
  Heartbeat.push_back("unknown");
  auto M = decoded<PeerHeartbeat>(bytesOf(Heartbeat));
  CHECK(M.Sender_.Load_ == std::vector<ServiceLoad>{{ServiceId{5}, 700}});
  CHECK(M.Sender_.Impairment_ == 3);
  Json Objectives = objective(3, 400, 2000);
  Objectives[0].push_back("unknown");
  Json Limits = flowLimit(2000);
  Limits[0].push_back("unknown");
  auto Update = decoded<StateUpdate>(
      bytesOf(updateWithTable({Objectives, Limits, "unknown"})));
  CHECK(*Update.Routing_->objective(Address) ==
        ServiceObjective{3, 400ms, 2s, true});
  CHECK(Update.Routing_->maxFlowsPerUpstream(ServiceId{5}) == 2000);
}

// A message of a faulty or hostile peer must not give a balancer an excessive
// share, or objectives that the published table can't have.
TEST_CASE("loads out of range are malformed") {
  Json TooMany = Json::array();
  for (int I = 0; I < 9; ++I)
    TooMany.push_back(Json::array({I, 1}));
  for (const Json &Loads :
       {TooMany, Json(nullptr), Json(5), Json::array({5}),
        Json::array({Json::array({5})}), Json::array({Json::array({-1, 700})}),
        Json::array({Json::array({5, -1})}),
        Json::array({Json::array({5, 1.5})}),
        Json::array({Json::array({5, 4'294'967'296})}),
        Json::array({Json::array({4'294'967'296, 1})})})
    CHECK(errorOf(heartbeatWith({Loads, 0})) == ErrorKind::Malformed);
  for (const Json &Impairment : {Json(256), Json(-1), Json(nullptr), Json("1")})
    CHECK(errorOf(heartbeatWith({Json::array(), Impairment})) ==
          ErrorKind::Malformed);
}

TEST_CASE("objectives and flow limits out of range are malformed") {
  for (const Json &Objectives :
       {objective(256, 400, 2000), objective(-1, 400, 2000),
        objective(3, 0, 2000), objective(3, 400, 399),
        objective(3, 400, 86'400'001), objective(3, 400.5, 2000),
        objective(3, 400, 2000, 1), Json::array({Json::array({"nowhere"})})})
    CHECK(errorOf(updateWithTable({Objectives, Json::array()})) ==
          ErrorKind::Malformed);
  for (const Json &Limit :
       {Json(0), Json(1'000'001), Json(-1), Json(1.5), Json("5")})
    CHECK(errorOf(updateWithTable({Json::array(), flowLimit(Limit)})) ==
          ErrorKind::Malformed);
}

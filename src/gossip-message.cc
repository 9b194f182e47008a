#include "thymewall/gossip-message.h"

#include "upstream-codec.h"

#include <algorithm>

namespace thymewall {

namespace {

using Json = nlohmann::json;

enum class Type : std::uint8_t {
  Heartbeat = 1,
  StateRequest,
  StateUpdate,
  Warning
};

/// Highest clock value that is accepted; far above any uptime, and safe to
/// convert to microseconds.
constexpr std::uint64_t MaxClockMs = std::uint64_t{1} << 50;

Json toJson(const ListParts &Parts) {
  std::vector<std::uint8_t> Bytes;
  if (Parts.any())
    Bytes.resize(ListPartCount / 8);
  for (std::size_t Part = 0; Part < ListPartCount; ++Part)
    if (Parts.test(Part))
      Bytes[Part / 8] |= static_cast<std::uint8_t>(1U << (Part % 8));
  return Json::binary(Bytes);
}

ListParts partsFrom(const Json &J) {
  const std::vector<std::uint8_t> &Bytes = J.get_binary();
  ListParts Parts;
  if (Bytes.empty())
    return Parts;
  if (Bytes.size() != ListPartCount / 8)
    throw std::invalid_argument("part set has the wrong size");
  for (std::size_t Part = 0; Part < ListPartCount; ++Part)
    Parts.set(Part, (Bytes[Part / 8] >> (Part % 8) & 1U) != 0);
  return Parts;
}

Json toJson(const std::optional<PartDigests> &Digests) {
  Json Result = Json::array();
  if (Digests)
    for (std::uint64_t Digest : *Digests)
      Result.push_back(Digest);
  return Result;
}

std::optional<PartDigests> digestsFrom(const Json &J) {
  if (J.empty())
    return std::nullopt;
  PartDigests Result{};
  for (std::size_t Part = 0; Part < ListPartCount; ++Part)
    Result[Part] = J.at(Part).get<std::uint64_t>();
  return Result;
}

/// Returns the highest loads that a record has space for.
std::vector<ServiceLoad> highestLoads(std::vector<ServiceLoad> Loads) {
  if (Loads.size() <= Member::MaxServiceLoads)
    return Loads;
  auto End = Loads.begin() + Member::MaxServiceLoads;
  std::partial_sort(Loads.begin(), End, Loads.end(),
                    [](const ServiceLoad &A, const ServiceLoad &B) {
                      return A.RequestsPerMinute_ > B.RequestsPerMinute_;
                    });
  Loads.erase(End, Loads.end());
  return Loads;
}

Json toJson(const Member &M) {
  Json Result = {M.Name_, M.DataHall_, formatEndpoint(M.Control_), M.AgeMs_};
  if (!M.LoadTold_)
    return Result;
  Json Loads = Json::array();
  for (const ServiceLoad &Load : highestLoads(M.Load_))
    Loads.push_back(Json::array({raw(Load.Service_), Load.RequestsPerMinute_}));
  Result.push_back(Loads);
  Result.push_back(M.Impairment_);
  return Result;
}

Json toJson(const PeerHeartbeat &M, MonoTime) {
  Json Members = Json::array();
  for (const Member &Other : M.Members_)
    Members.push_back(toJson(Other));
  Json Result = {raw(Type::Heartbeat), toJson(M.Sender_), M.Leaving_,
                 M.Routing_,           M.Through_,        M.StateAgeMs_,
                 M.ReaderScore_,       M.ReaderAgeMs_,    M.Sequence_,
                 M.EchoedSequence_,    M.UptimeMs_,       Members,
                 M.UpstreamCount_,     toJson(M.Parts_),  M.FirstAliveScore_,
                 M.FirstAliveAgeMs_};
  if (M.SentAtMs_ != 0) {
    Result.push_back(M.SentAtMs_);
    Result.push_back(M.EchoReceivedAtMs_);
    Result.push_back(M.FailureAgeMs_);
  }
  return Result;
}

Json toJson(const StateRequest &M, MonoTime) {
  return Json::array({raw(Type::StateRequest), M.Routing_, M.Through_,
                      M.IncludeEnded_, toJson(M.Parts_), toJson(M.Digests_)});
}

std::int64_t toMillis(Micros Time) {
  return Time / std::chrono::milliseconds(1);
}

Json toJson(const RoutingTable &Table) {
  Json Addresses = Json::array();
  for (const auto &[At, Shares] : Table.Addresses_) {
    Json List = Json::array();
    for (const ServiceShare &S : Shares)
      List.push_back(Json::array({raw(S.Service_), S.Weight_}));
    Addresses.push_back(Json::array({formatEndpoint(At), List}));
  }
  Json Names = Json::array();
  for (const auto &[Id, Name] : Table.ServiceNames_)
    Names.push_back(Name);
  Json Cold = Json::array();
  for (const auto &[Id, PerSecond] : Table.ColdFlowsPerSecond_)
    Cold.push_back(Json::array({Id, PerSecond}));
  Json Result = Json::array(
      {Table.Version_, Addresses, Names, Table.IdleTimeout_.count(), Cold});
  if (Table.Objectives_.empty() && Table.MaxFlowsPerUpstream_.empty())
    return Result;
  Json Objectives = Json::array();
  for (const auto &[At, O] : Table.Objectives_)
    Objectives.push_back(
        Json::array({formatEndpoint(At), O.Priority_, toMillis(O.Latency_),
                     toMillis(O.Deadline_), O.Repeatable_}));
  Json FlowLimits = Json::array();
  for (const auto &[Id, Limit] : Table.MaxFlowsPerUpstream_)
    FlowLimits.push_back(Json::array({Id, Limit}));
  Result.push_back(Objectives);
  Result.push_back(FlowLimits);
  return Result;
}

Json toJson(const EvacuationBatch &Batch) {
  Json Halls = Json::array();
  for (const EvacuationChange &Change : Batch.Changes_)
    Halls.push_back(Json::array({Change.DataHall_, Change.Revision_}));
  return Json::array({Batch.Through_, Halls});
}

Json toJson(const StateUpdate &M, MonoTime Now) {
  Json Unchanged = Json::array();
  for (Incarnation Which : M.Upstreams_.Unchanged_)
    Unchanged.push_back(raw(Which));
  Json Table = M.Routing_ ? toJson(*M.Routing_) : Json(nullptr);
  const UpstreamBatch &Batch = M.Upstreams_;
  return {raw(Type::StateUpdate),
          Table,
          Batch.IsSnapshot_,
          Batch.After_,
          Batch.Through_,
          detail::encodeChanges(Batch.Changes_, Now),
          M.StateAgeMs_,
          Unchanged,
          detail::encodeChanges(Batch.Ended_, Now),
          toJson(M.Evacuations_),
          toJson(Batch.UnchangedParts_),
          toJson(M.Parts_)};
}

Json toJson(const UpstreamWarning &M, MonoTime) {
  Json Result = Json::array({raw(Type::Warning), raw(M.Upstream_), raw(M.Flow_),
                             M.StartTimeMs_, raw(M.Kind_)});
  if (M.SentAtMs_ != 0) {
    Result.push_back(M.SentAtMs_);
    Result.push_back(M.AgeMs_);
  }
  return Result;
}

/// Returns an integer from \p Min to \p Max. The library would convert one that
/// is out of range silently.
std::uint64_t integerFrom(const Json &J, std::uint64_t Min, std::uint64_t Max) {
  if (!J.is_number_unsigned())
    throw std::invalid_argument("not an unsigned integer");
  auto Value = J.get<std::uint64_t>();
  if (Value < Min || Value > Max)
    throw std::invalid_argument("integer is out of range");
  return Value;
}

std::uint32_t serviceIdFrom(const Json &J) {
  constexpr std::uint32_t Highest = ~0U;
  return static_cast<std::uint32_t>(integerFrom(J, 0, Highest));
}

std::uint32_t ageFrom(const Json &J) {
  return static_cast<std::uint32_t>(
      integerFrom(J, 0, PeerHeartbeat::UnknownAgeMs));
}

std::vector<ServiceLoad> loadsFrom(const Json &J) {
  if (!J.is_array() || J.size() > Member::MaxServiceLoads)
    throw std::invalid_argument("not a list of service loads");
  constexpr std::uint32_t Highest = ~0U;
  std::vector<ServiceLoad> Loads;
  for (const Json &Item : J)
    Loads.push_back(
        {static_cast<ServiceId>(serviceIdFrom(Item.at(0))),
         static_cast<std::uint32_t>(integerFrom(Item.at(1), 0, Highest))});
  return Loads;
}

/// Decodes a member. Older releases send only the first four elements.
Member memberFrom(const Json &J) {
  Member M{J.at(0).get<std::string>(), J.at(1).get<std::string>(),
           detail::decodeEndpoint(J.at(2)), J.at(3).get<std::uint32_t>()};
  M.LoadTold_ = J.size() > 4;
  if (M.LoadTold_)
    M.Load_ = loadsFrom(J.at(4));
  if (J.size() > 5)
    M.Impairment_ = static_cast<std::uint8_t>(integerFrom(J.at(5), 0, 255));
  return M;
}

GossipMessage heartbeatFrom(const Json &J) {
  PeerHeartbeat M;
  M.Sender_ = memberFrom(J.at(1));
  M.Leaving_ = J.at(2).get<bool>();
  M.Routing_ = J.at(3).get<Version>();
  M.Through_ = J.at(4).get<Revision>();
  M.StateAgeMs_ = J.at(5).get<std::uint32_t>();
  M.ReaderScore_ = J.at(6).get<std::uint64_t>();
  M.ReaderAgeMs_ = J.at(7).get<std::uint32_t>();
  M.Sequence_ = J.at(8).get<std::uint64_t>();
  M.EchoedSequence_ = J.at(9).get<std::uint64_t>();
  M.UptimeMs_ = J.at(10).get<std::uint32_t>();
  for (const Json &Item : J.at(11))
    M.Members_.push_back(memberFrom(Item));
  M.UpstreamCount_ = J.at(12).get<std::uint32_t>();
  M.Parts_ = partsFrom(J.at(13));
  M.FirstAliveScore_ = J.at(14).get<std::uint64_t>();
  M.FirstAliveAgeMs_ = J.at(15).get<std::uint32_t>();
  if (J.size() > 18) {
    M.SentAtMs_ = integerFrom(J.at(16), 0, MaxClockMs);
    M.EchoReceivedAtMs_ = integerFrom(J.at(17), 0, MaxClockMs);
    M.FailureAgeMs_ = ageFrom(J.at(18));
  }
  return M;
}

std::vector<ServiceShare> sharesFrom(const Json &J) {
  std::vector<ServiceShare> Shares;
  for (const Json &Item : J) {
    auto Service = static_cast<ServiceId>(Item.at(0).get<std::uint32_t>());
    auto Weight = Item.at(1).get<std::uint32_t>();
    if (Weight == 0)
      throw std::invalid_argument("service share has weight 0");
    Shares.push_back({Service, Weight});
  }
  if (Shares.empty())
    throw std::invalid_argument("address has no service share");
  return Shares;
}

ServiceObjective objectiveFrom(const Json &J) {
  using std::chrono::milliseconds;
  constexpr std::uint64_t MaxMs =
      ServiceObjective::MaxDeadline / milliseconds(1);
  ServiceObjective O;
  O.Priority_ = static_cast<std::uint8_t>(integerFrom(J.at(1), 0, 255));
  std::uint64_t LatencyMs = integerFrom(J.at(2), 1, MaxMs);
  O.Latency_ = milliseconds(LatencyMs);
  O.Deadline_ = milliseconds(integerFrom(J.at(3), LatencyMs, MaxMs));
  O.Repeatable_ = J.at(4).get<bool>();
  return O;
}

RoutingTablePtr routingFrom(const Json &J) {
  if (J.is_null())
    return nullptr;
  auto Table = std::make_shared<RoutingTable>();
  Table->Version_ = J.at(0).get<Version>();
  for (const Json &Item : J.at(1))
    Table->Addresses_[detail::decodeEndpoint(Item.at(0))] =
        sharesFrom(Item.at(1));
  for (const Json &Name : J.at(2))
    Table->ServiceNames_[nameId(Name.get<std::string>())] =
        Name.get<std::string>();
  Table->IdleTimeout_ = Micros(J.at(3).get<std::int64_t>());
  for (const Json &Item : J.at(4))
    Table->ColdFlowsPerSecond_[Item.at(0).get<std::uint32_t>()] =
        Item.at(1).get<double>();
  if (J.size() > 5)
    for (const Json &Item : J.at(5))
      Table->Objectives_[detail::decodeEndpoint(Item.at(0))] =
          objectiveFrom(Item);
  if (J.size() > 6)
    for (const Json &Item : J.at(6))
      Table->MaxFlowsPerUpstream_[serviceIdFrom(Item.at(0))] =
          static_cast<std::uint32_t>(
              integerFrom(Item.at(1), 1, RoutingTable::HighestFlowLimit));
  return Table;
}

EvacuationBatch evacuationsFrom(const Json &J) {
  EvacuationBatch Batch{true, J.at(0).get<Revision>(), {}};
  for (const Json &Hall : J.at(1))
    Batch.Changes_.push_back(
        {Hall.at(0).get<std::string>(), Hall.at(1).get<Revision>(), true});
  return Batch;
}

GossipMessage stateUpdateFrom(const Json &J, MonoTime Now) {
  StateUpdate M;
  M.Routing_ = routingFrom(J.at(1));
  M.Upstreams_.IsSnapshot_ = J.at(2).get<bool>();
  M.Upstreams_.After_ = J.at(3).get<Revision>();
  M.Upstreams_.Through_ = J.at(4).get<Revision>();
  M.Upstreams_.Changes_ = detail::decodeChanges(J.at(5), Now);
  M.StateAgeMs_ = J.at(6).get<std::uint32_t>();
  for (const Json &Item : J.at(7))
    M.Upstreams_.Unchanged_.push_back(
        static_cast<Incarnation>(Item.get<std::uint64_t>()));
  M.Upstreams_.Ended_ = detail::decodeChanges(J.at(8), Now);
  for (UpstreamChange &Change : M.Upstreams_.Ended_) {
    if (!Change.Entry_)
      throw std::invalid_argument("ended upstream lacks its last entry");
    Change.Ended_ = true;
  }
  M.Evacuations_ = evacuationsFrom(J.at(9));
  M.Upstreams_.UnchangedParts_ = partsFrom(J.at(10));
  M.Parts_ = partsFrom(J.at(11));
  return M;
}

GossipMessage warningFrom(const Json &J) {
  UpstreamWarning M;
  M.Upstream_ = static_cast<Incarnation>(J.at(1).get<std::uint64_t>());
  M.Flow_ = static_cast<FlowId>(J.at(2).get<std::uint64_t>());
  M.StartTimeMs_ = J.at(3).get<std::uint64_t>();
  auto Kind = J.at(4).get<std::uint8_t>();
  if (Kind > raw(UpstreamWarning::Kind::Failing))
    throw std::invalid_argument("unknown warning kind");
  M.Kind_ = static_cast<UpstreamWarning::Kind>(Kind);
  if (J.size() > 6) {
    M.SentAtMs_ = integerFrom(J.at(5), 0, MaxClockMs);
    M.AgeMs_ = ageFrom(J.at(6));
  }
  return M;
}

GossipMessage messageFrom(const Json &J, MonoTime Now) {
  switch (static_cast<Type>(J.at(0).get<std::uint8_t>())) {
  case Type::Heartbeat:
    return heartbeatFrom(J);
  case Type::StateRequest:
    return StateRequest{J.at(1).get<Version>(), J.at(2).get<Revision>(),
                        J.at(3).get<bool>(), partsFrom(J.at(4)),
                        digestsFrom(J.at(5))};
  case Type::StateUpdate:
    return stateUpdateFrom(J, Now);
  case Type::Warning:
    return warningFrom(J);
  }
  throw std::invalid_argument("unknown message type");
}

} // namespace

std::string encodeGossip(const GossipMessage &M, MonoTime Now) {
  Json J =
      std::visit([Now](const auto &Typed) { return toJson(Typed, Now); }, M);
  std::string Result;
  Json::to_cbor(J, Result);
  return Result;
}

ErrorKind decodeGossip(const std::string &Bytes, MonoTime Now,
                       GossipMessage &M) {
  if (Bytes.size() > MaxGossipMessageBytes)
    return ErrorKind::Oversized;
  try {
    M = messageFrom(Json::from_cbor(Bytes), Now);
    return ErrorKind::None;
  } catch (const std::exception &) {
    return ErrorKind::Malformed; // thrown by the library or above
  }
}

} // namespace thymewall

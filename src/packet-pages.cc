#include "packet-pages.h"

#include "packet-log.h"

#include <cmath>
#include <nlohmann/json.hpp>

namespace thymewall::detail {

namespace {

using Json = nlohmann::json;
using NamedValue = std::pair<std::string, std::uint64_t>;

void addTraffic(
    const char *Direction,
    const std::array<PeerTraffic::TrafficCount, PeerTraffic::KindCount> &Counts,
    std::vector<NamedValue> &Result) {
  for (std::size_t Kind = 0; Kind < PeerTraffic::KindCount; ++Kind) {
    std::string Suffix =
        std::string(PeerTraffic::KindNames[Kind]) + "_" + Direction;
    Result.emplace_back("peer_messages_" + Suffix, Counts[Kind].Messages_);
    Result.emplace_back("peer_bytes_" + Suffix, Counts[Kind].Bytes_);
  }
}

/// Returns all counters by name, for both the JSON and the metrics page.
std::vector<NamedValue> counterValues(const PacketReport &R) {
  const PacketCounters &C = R.Counters_;
  std::vector<NamedValue> Result = {
      {"flows", R.Status_.Flows_},
      {"data_halls_evacuated", R.Status_.EvacuatedHalls_.size()},
      {"upstreams_of_unnamed_services", R.Status_.UnnamedUpstreams_},
      {"table_bytes", R.Status_.MemoryBytes_},
      {"packets", C.Packets_},
      {"opened", C.Opened_},
      {"open_moved", C.OpenMoved_},
      {"open_retried", C.OpenRetried_},
      {"followed", C.Followed_},
      {"forwarded_unconfirmed", C.ForwardedUnconfirmed_},
      {"waited_for_state", C.WaitedForState_},
      {"resets", C.Resets_},
      {"upstream_checks", C.Checks_},
      {"upstreams_dead", C.Dead_},
      {"upstreams_stalled", C.Stalled_},
      {"upstreams_failing", C.Failing_},
      {"ejections_held_back", C.HeldBack_},
      {"answer_baselines_discarded", C.BaselinesDiscarded_},
      {"retries_refused", C.RetriesRefused_},
      {"openings_rejected_by_flow_limit", C.RejectedByFlowLimit_},
      {"late_wakes", C.LateWakes_},
      {"malformed", R.Malformed_},
      {"heartbeats_sent", R.Gossip_.HeartbeatsSent_},
      {"news_sent", R.Gossip_.UpdatesSent_},
      {"news_taken", R.Gossip_.UpdatesReceived_},
      {"news_gaps", R.Gossip_.RevisionGaps_},
      {"warnings_sent", R.Gossip_.WarningsSent_},
      {"warnings_expired", R.Gossip_.ExpiredWarnings_},
      {"stale_claims", R.Gossip_.StaleConfirmations_},
      {"peer_links", R.Gossip_.Links_},
      {"peers", R.Gossip_.Members_},
      {"service_calls", R.ServiceCalls_},
      {"service_failures", R.ServiceFailures_},
      {"service_items_refused", R.RefusedItems_},
      {"service_values_adjusted", R.AdjustedValues_},
      {"service_pages_unreadable", R.UnreadablePages_},
      {"reads_for_fleet", R.ReadsForFleet_ ? 1U : 0U},
      {"stepped_back", R.SteppedBack_ ? 1U : 0U},
      {"log_lines_dropped", R.LogLinesDropped_}};
  addTraffic("sent", R.Traffic_.sentByKind(), Result);
  addTraffic("received", R.Traffic_.receivedByKind(), Result);
  for (std::size_t I = 1; I < C.Errors_.size(); ++I)
    if (C.Errors_[I] != 0)
      Result.emplace_back(
          "error_" + std::string(errorRow(static_cast<ErrorKind>(I)).Name_),
          C.Errors_[I]);
  return Result;
}

/// Returns the time since the last confirmation of the state, in milliseconds,
/// or -1 if there was none.
std::int64_t knowledgeAgeMs(const PacketReport &R) {
  if (R.Status_.ConfirmedAsOf_ == MonoTime{})
    return -1;
  return (R.Now_ - R.Status_.ConfirmedAsOf_).count() / 1000;
}

std::string serviceName(const PacketReport &R, ServiceId Service) {
  return R.Routing_ ? R.Routing_->serviceName(Service)
                    : std::to_string(raw(Service));
}

/// Returns the metrics of each service that is placed by apertures.
std::string apertureMetrics(const PacketReport &R) {
  std::string Text;
  for (const ApertureStatus &A : R.Status_.Apertures_) {
    std::string Label = "{service=\"" + serviceName(R, A.Service_) + "\"}";
    Text += metricLine("aperture_upstreams" + Label,
                       static_cast<std::int64_t>(A.Upstreams_.size()));
    Text += metricLine("aperture_share_permille" + Label,
                       std::lround(A.Share_ * 1000));
  }
  return Text;
}

Json aperturesJson(const PacketReport &R) {
  Json Result = Json::array();
  for (const ApertureStatus &A : R.Status_.Apertures_) {
    Json Names = Json::array();
    for (Incarnation Id : A.Upstreams_)
      Names.push_back(formatIncarnation(Id));
    Result.push_back({{"service", serviceName(R, A.Service_)},
                      {"share_permille", std::lround(A.Share_ * 1000)},
                      {"upstreams", std::move(Names)}});
  }
  return Result;
}

/// Returns the shortest round trip to peers, or -1 if it is unknown.
std::int64_t roundTripUs(const PacketReport &R) {
  return R.Health_.RoundTrip_.value_or(Micros(-1)).count();
}

std::string metricsText(const PacketReport &R) {
  std::string Text;
  for (const NamedValue &N : counterValues(R))
    Text += metricLine(N.first, static_cast<std::int64_t>(N.second));
  Text += metricLine("routing_version",
                     static_cast<std::int64_t>(R.Status_.RoutingVersion_));
  Text += metricLine("knowledge_age_ms", knowledgeAgeMs(R));
  Text += apertureMetrics(R);
  for (const AdmissionStatus &S : R.Status_.Admission_) {
    std::string Labels = "{service=\"" + serviceName(R, S.Service_) + "\"}";
    Text += metricLine("requests_limit" + Labels,
                       static_cast<std::int64_t>(S.Limit_.value_or(0)));
    Text += metricLine("backlog_depth" + Labels,
                       static_cast<std::int64_t>(S.Queued_));
  }
  if (R.Admission_)
    Text += R.Admission_->prometheus();
  Text += metricLine("peer_round_trip_us", roundTripUs(R));
  return Text + R.Delays_->prometheus("thymewall_delay_seconds");
}

Json admissionJson(const PacketReport &R, const AdmissionStatus &S) {
  return {{"service", serviceName(R, S.Service_)},
          {"limit", S.Limit_.value_or(0)},
          {"in_progress", S.InProgress_},
          {"queued", S.Queued_},
          {"full", S.Full_}};
}

Json upstreamJson(const PacketReport &R, const UpstreamStatus &U) {
  return {{"name", formatIncarnation(U.Incarnation_)},
          {"address", formatEndpoint(U.Row_.Address_)},
          {"service", serviceName(R, U.Service_)},
          {"data_hall", U.DataHall_},
          {"slots", U.Row_.Slots_},
          {"own_flows", U.Row_.OwnFlows_},
          {"in_flight", U.Row_.InFlight_},
          {"chosen", U.ExclusionReason_.empty()},
          {"why_not", U.ExclusionReason_}};
}

/// Requests per minute by service; null if none were reported.
Json loadsJson(const PacketReport &R, bool Told,
               const std::vector<ServiceLoad> &Loads) {
  if (!Told)
    return nullptr;
  Json Result = Json::object();
  for (const ServiceLoad &Load : Loads)
    Result[serviceName(R, Load.Service_)] = Load.RequestsPerMinute_;
  return Result;
}

/// Limits of each service, and this balancer's share of its load.
Json servicesJson(const PacketReport &R) {
  Json Result = Json::object();
  if (R.Routing_)
    for (const auto &[Id, Limit] : R.Routing_->MaxFlowsPerUpstream_)
      Result[serviceName(R, static_cast<ServiceId>(Id))] = {
          {"max_flows_per_upstream", Limit}};
  for (const ServiceLoad &Load : R.Load_.Self_.Services_) {
    Json &Service = Result[serviceName(R, Load.Service_)];
    Service["requests_per_minute"] = Load.RequestsPerMinute_;
    if (std::optional<double> Share = ownShare(R.Load_, Load.Service_))
      Service["share"] = *Share;
  }
  return Result;
}

Json objectiveJson(const ServiceObjective *O) {
  using std::chrono::milliseconds;
  if (!O)
    return nullptr;
  return {{"priority", O->Priority_},
          {"latency_ms", O->Latency_ / milliseconds(1)},
          {"deadline_ms", O->Deadline_ / milliseconds(1)},
          {"repeatable", O->Repeatable_}};
}

Json addressesJson(const RoutingTable &Table) {
  Json Result = Json::array();
  for (const auto &[At, Shares] : Table.Addresses_) {
    Json List = Json::array();
    for (const ServiceShare &S : Shares)
      List.push_back(
          {{"service", Table.serviceName(S.Service_)}, {"weight", S.Weight_}});
    Result.push_back({{"address", formatEndpoint(At)},
                      {"shares", List},
                      {"objective", objectiveJson(Table.objective(At))}});
  }
  return Result;
}

std::string statusText(const PacketReport &R) {
  Json Upstreams = Json::array();
  for (const UpstreamStatus &U : R.Status_.Upstreams_)
    Upstreams.push_back(upstreamJson(R, U));
  Json Peers = Json::array();
  for (const MemberStatus &P : R.Peers_)
    Peers.push_back({{"name", P.Peer_.Name_},
                     {"data_hall", P.Peer_.DataHall_},
                     {"control", formatEndpoint(P.Peer_.Control_)},
                     {"linked", P.Linked_},
                     {"load", loadsJson(R, P.Peer_.LoadTold_, P.Peer_.Load_)},
                     {"impairment", P.Peer_.Impairment_}});
  Json Backlog = Json::array();
  for (const AdmissionStatus &S : R.Status_.Admission_)
    Backlog.push_back(admissionJson(R, S));
  Json Counters = Json::object();
  for (const NamedValue &N : counterValues(R))
    Counters[N.first] = N.second;
  Json Page = {
      {"kind", "packet"},
      {"name", R.Name_},
      {"version", R.Status_.RoutingVersion_},
      {"ready", R.Ready_},
      {"stopping", R.Stopping_},
      {"reads_for_fleet", R.ReadsForFleet_},
      {"knowledge_age_ms", knowledgeAgeMs(R)},
      {"host",
       {{"impairment", R.Health_.Impairment_},
        {"reason", nameOf(R.Health_.Reason_)},
        {"round_trip_us", roundTripUs(R)},
        {"stepped_back", R.SteppedBack_}}},
      {"counters", std::move(Counters)},
      {"evacuated_data_halls", R.Status_.EvacuatedHalls_},
      {"addresses", R.Routing_ ? addressesJson(*R.Routing_) : Json::array()},
      {"services", servicesJson(R)},
      {"members_known", R.Load_.Complete_},
      {"upstreams", std::move(Upstreams)},
      {"apertures", aperturesJson(R)},
      {"admission", std::move(Backlog)},
      {"peers", std::move(Peers)}};
  return Page.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace

HttpPage packetPage(const PacketReport &R, const std::string &Path) {
  return processPage({[&] { return metricsText(R); },
                      [&] { return statusText(R); },
                      [&] { return R.Delays_->json(); }},
                     Path);
}

} // namespace thymewall::detail

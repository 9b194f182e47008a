#include "ctl-packet.h"

#include "thymewall/step-back.h"

#include <cmath>
#include <ostream>

namespace thymewall::detail {

namespace {

using Json = nlohmann::json;

void printUpstream(const Json &U, std::ostream &Out) {
  auto Reason = U.at("why_not").get<std::string>();
  Out << "  " << U.at("name").get<std::string>() << " at "
      << U.at("address").get<std::string>() << " of "
      << U.at("service").get<std::string>() << " in "
      << U.at("data_hall").get<std::string>() << ": "
      << (Reason.empty() ? "takes new flows" : Reason) << ", own flows "
      << U.at("own_flows") << ", requests in progress " << U.at("in_flight")
      << "\n";
}

/// Returns a member of an object that older balancers' pages don't have, or
/// null.
Json optionalMember(const Json &Object, const char *Name) {
  auto Found = Object.find(Name);
  return Found == Object.end() ? Json(nullptr) : *Found;
}

/// Prints limits and load of the services that have any.
void printServices(const Json &Page, std::ostream &Out) {
  Json Services = optionalMember(Page, "services");
  for (const auto &[Name, Service] : Services.items()) {
    Out << "  service " << Name << ":";
    const char *Separator = " ";
    if (Service.contains("requests_per_minute")) {
      Out << " requests per minute " << Service.at("requests_per_minute");
      if (Service.contains("share"))
        Out << ", " << std::lround(1000 * Service.at("share").get<double>())
            << " permille of the fleet's";
      else
        Out << ", share of the fleet's unknown";
      Separator = ", ";
    }
    if (Service.contains("max_flows_per_upstream"))
      Out << Separator << "flows per upstream at most "
          << Service.at("max_flows_per_upstream");
    Out << "\n";
  }
}

std::string impairmentText(const Json &Peer) {
  int Impairment = Peer.value("impairment", 0);
  if (Impairment == StepBack::SteppedBackImpairment)
    return ", stepped back";
  return Impairment == 0 ? "" : ", host impaired";
}

void printPeer(const Json &P, std::ostream &Out) {
  Out << "  peer " << P.at("name").get<std::string>() << " in "
      << P.at("data_hall").get<std::string>()
      << (P.at("linked").get<bool>() ? ", linked" : "");
  Json Load = optionalMember(P, "load");
  if (Load.is_null())
    Out << ", load not reported";
  for (const auto &[Service, Rate] : Load.items())
    Out << ", " << Service << " " << Rate << " requests per minute";
  Out << impairmentText(P) << "\n";
}

void printObjective(const Json &Objective, std::ostream &Out) {
  if (Objective.is_null())
    return;
  Out << " priority " << Objective.at("priority") << ", answers within "
      << Objective.at("latency_ms") << " ms, deadline "
      << Objective.at("deadline_ms") << " ms, "
      << (Objective.at("repeatable").get<bool>() ? "repeatable"
                                                 : "not repeatable")
      << "\n";
}

/// Describes the health of the balancer's own host; empty if it is healthy or
/// the balancer is of a release that doesn't report it.
std::string hostText(const Json &Page) {
  if (!Page.contains("host"))
    return "";
  const Json &Host = Page.at("host");
  std::string Text =
      Host.at("stepped_back").get<bool>() ? ", stepped back" : "";
  if (Host.at("impairment").get<int>() == 0)
    return Text;
  Text += ", host impaired (" + Host.at("reason").get<std::string>();
  auto RoundTrip = Host.at("round_trip_us").get<std::int64_t>();
  if (RoundTrip >= 0)
    Text += ", peers answer in " + std::to_string(RoundTrip / 1000) + " ms";
  return Text + ")";
}

} // namespace

bool isPacketStatus(const Json &Page) {
  return Page.value("kind", "") == "packet";
}

void printPacketStatus(const Json &Page, std::ostream &Out) {
  Out << Page.at("name").get<std::string>() << ": routing version "
      << Page.at("version") << ", known as of " << Page.at("knowledge_age_ms")
      << " ms ago"
      << (Page.at("reads_for_fleet").get<bool>()
              ? ", reads the configuration service"
              : "")
      << (Page.at("ready").get<bool>() ? "" : ", not ready")
      << (Page.at("stopping").get<bool>() ? ", stopping" : "") << hostText(Page)
      << ", flows " << Page.at("counters").at("flows") << "\n";
  for (const Json &U : Page.at("upstreams"))
    if (!U.at("chosen").get<bool>())
      printUpstream(U, Out);
  // Absent on pages of earlier releases.
  for (const Json &A : Page.value("apertures", Json::array()))
    Out << "  arc of " << A.at("service").get<std::string>() << ": "
        << A.at("upstreams").size() << " upstreams, share "
        << A.at("share_permille") << " per mille\n";
  // Balancers of earlier releases have no such list.
  for (const Json &S : Page.value("admission", Json::array()))
    Out << "  service " << S.at("service").get<std::string>() << ": requests "
        << S.at("in_progress") << ", limit " << S.at("limit")
        << ", openings queued " << S.at("queued")
        << (S.at("full").get<bool>() ? ", full" : "") << "\n";
  printServices(Page, Out);
  for (const Json &P : Page.at("peers"))
    printPeer(P, Out);
}

bool printRoute(const Json &Page, const std::string &Address,
                std::ostream &Out) {
  Out << Page.at("name").get<std::string>() << ": ";
  for (const Json &Route : Page.at("addresses")) {
    if (Route.at("address") != Address)
      continue;
    Out << Address << " in routing version " << Page.at("version") << "\n";
    printObjective(optionalMember(Route, "objective"), Out);
    for (const Json &Share : Route.at("shares")) {
      auto Name = Share.at("service").get<std::string>();
      Out << " " << Name << ", weight " << Share.at("weight");
      Json Service =
          Page.value("services", Json::object()).value(Name, Json::object());
      if (Service.contains("max_flows_per_upstream"))
        Out << ", flows per upstream at most "
            << Service.at("max_flows_per_upstream");
      Out << "\n";
      for (const Json &U : Page.at("upstreams"))
        if (U.at("service") == Share.at("service"))
          printUpstream(U, Out);
    }
    return true;
  }
  Out << "no address " << Address << " in routing version "
      << Page.at("version") << "\n";
  return false;
}

} // namespace thymewall::detail

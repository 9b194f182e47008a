/// \file
/// A fleet of packet balancers on virtual time that hear of routes and
/// upstreams through their news, with callers' flows and upstreams that hold
/// them. For tests of what restarts and changes do to open flows.
#ifndef THYMEWALL_TEST_FLOW_FLEET_H
#define THYMEWALL_TEST_FLOW_FLEET_H

#include "news-fleet.h"
#include "thymewall/packet-balancer.h"

namespace thymewall::test {

class FlowFleet {
public:
  static constexpr std::size_t Addresses = 3;
  static constexpr std::size_t Services = 2;
  /// From a balancer's start to the answers of its first calls and peers.
  static constexpr Micros Started = std::chrono::milliseconds(1500);

  explicit FlowFleet(std::size_t Balancers);

  GossipFleet &news() { return *News_; }
  void run(Micros For) { News_->run(RunTo_ += For); }
  void kill(std::size_t Which);
  void restart(std::size_t Which);

  /// An address leads to these services from now on.
  void setRoute(std::size_t Address, const std::vector<ServiceId> &To);
  static ServiceId service(std::size_t Which);
  Incarnation addUpstream(std::size_t Service);
  /// Published as draining, then no more, and it serves its flows on.
  void drain(Incarnation Which);
  void unpublish(Incarnation Which);
  /// It ends, and its flows with it.
  void end(Incarnation Which);

  /// Opens a flow through a balancer; false when it didn't open.
  bool open(std::size_t Balancer, std::size_t Address);
  /// Sends a packet of every open flow whose upstream lives through every
  /// balancer that has been running for `Started`, and some with a cookie of
  /// another upstream.
  void sendAll();
  /// The same, of one flow, with whatever cookie.
  bool send(std::size_t Balancer, std::size_t Flow, Cookie Mark);
  Cookie cookie(std::size_t Flow) const { return Flows_[Flow].Cookie_; }

  std::size_t flows() const { return Flows_.size(); }
  /// Packets of open flows that did not reach their upstream.
  std::size_t lost() const { return Lost_; }
  std::size_t delivered() const { return Delivered_; }
  /// Openings taken by a service that no table ever gave to their address.
  std::size_t wrongService() const { return WrongService_; }
  /// Packets that upstreams answered with a reset: they don't hold the flow.
  std::size_t refused() const { return Refused_; }

private:
  struct OpenFlow {
    Packet Opening_;
    Cookie Cookie_ = 0;
    Incarnation Upstream_{};
  };
  struct ModelUpstream {
    UpstreamEntry Entry_;
    std::set<FlowId> Flows_;
    bool Lives_ = true;
  };
  struct Balancer {
    std::unique_ptr<PacketBalancer> Core_;
    MonoTime StartedAt_{};
    bool Alive_ = true;
  };

  MemberHooks hooks();
  /// What an upstream does with a packet: true when it takes it.
  bool arrive(const Forward &F, const Packet &P);
  std::size_t anyBalancer() const;

  std::vector<Balancer> Balancers_;
  std::map<Incarnation, ModelUpstream> Upstreams_;
  std::vector<OpenFlow> Flows_;
  RoutingTable Table_;
  std::map<Endpoint, std::set<ServiceId>> EverAllowed_;
  std::unique_ptr<GossipFleet> News_;
  Micros RunTo_{}; ///< In virtual time from the start.
  std::uint64_t LastUpstream_ = 1000;
  std::uint16_t LastPort_ = 1000;
  std::size_t Lost_ = 0;
  std::size_t Delivered_ = 0;
  std::size_t WrongService_ = 0;
  std::size_t Refused_ = 0;
};

} // namespace thymewall::test

#endif

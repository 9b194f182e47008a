/// \file
/// Simulates packet balancers of one service whose hosts fail and return and
/// whose upstreams hang, in virtual time and without randomness. For tests of
/// what balancers conclude from unanswered requests.
#ifndef THYMEWALL_TEST_STALL_FLEET_H
#define THYMEWALL_TEST_STALL_FLEET_H

#include "event-queue.h"
#include "thymewall/packet-balancer.h"

#include <set>

namespace thymewall::test {

class StallFleet {
public:
  StallFleet(std::size_t Hosts, std::size_t Upstreams,
             std::size_t RequestsPerSecond);

  /// Runs until \p Until after the start, in virtual time.
  void run(Micros Until) { Events_.run(Until); }
  /// Fails the last hosts; the fabric no longer routes to them.
  void failHosts(std::size_t Count);
  /// Restarts the failed hosts at times spread over \p Within.
  void restoreHosts(Micros Within);
  /// Makes the first upstreams hang.
  void hangUpstreams(std::size_t Count) { Hanging_ = Count; }

  /// Returns the number of pairs of a running host and a healthy upstream that
  /// the host has ever found stalled.
  std::size_t falselySuspected() const;
  /// Returns the number of pairs of a running host and a hanging upstream that
  /// is eligible there.
  std::size_t hangingEligible() const;
  std::size_t requests() const { return Requests_; }
  std::size_t served() const { return Served_; }

private:
  struct Host {
    std::unique_ptr<PacketBalancer> Core_;
    std::set<std::uint64_t> Suspected_;
    std::set<std::pair<std::uint64_t, FlowId>> SeenWarnings_;
    bool Running_ = true;
  };
  void start(std::size_t Which);
  void reconnect(std::size_t Which);
  void tick(std::size_t Which);
  void warn(std::size_t From, const UpstreamWarning &M);
  /// Opens a flow, sends a request and acknowledges the answer, each through
  /// the host to which the fabric routes the packet at that time.
  void request();
  PacketBalancer &balancerFor(const Packet &P);

  std::vector<Host> Hosts_;
  std::size_t Upstreams_;
  Micros RequestInterval_; ///< Time between two requests.
  std::size_t Hanging_ = 0;
  std::size_t Requests_ = 0;
  std::size_t Served_ = 0;
  EventQueue Events_;
};

} // namespace thymewall::test

#endif

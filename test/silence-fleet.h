/// \file
/// A fleet of packet balancers before one service, with callers whose requests
/// the fabric spreads over the hosts that are in, hosts that are lost and come
/// back, and upstreams that hang. Virtual time, fixed draws. For tests of what
/// balancers conclude from silence.
#ifndef THYMEWALL_TEST_SILENCE_FLEET_H
#define THYMEWALL_TEST_SILENCE_FLEET_H

#include "event-queue.h"
#include "thymewall/packet-balancer.h"

#include <set>

namespace thymewall::test {

class SilenceFleet {
public:
  SilenceFleet(std::size_t Hosts, std::size_t Upstreams,
               std::size_t RequestsPerSecond);

  /// Runs to \p Until, in virtual time from the start.
  void run(Micros Until) { Events_.run(Until); }
  /// The last hosts are lost; the fabric has left them already.
  void lose(std::size_t Count);
  /// Those start again, and flows return to them, spread over \p Within.
  void comeBack(Micros Within);
  /// The first upstreams answer nothing from now on.
  void hang(std::size_t Count) { Hanging_ = Count; }

  /// Pairs of a host that is in and a well upstream that it held to be stalled
  /// at any time.
  std::size_t suspected() const;
  /// Pairs of a host that is in and a hanging upstream that it would choose.
  std::size_t sickTaking() const;
  std::size_t requests() const { return Requests_; }
  std::size_t served() const { return Served_; }

private:
  struct Host {
    std::unique_ptr<PacketBalancer> Core_;
    std::set<std::uint64_t> Suspected_;
    std::set<std::pair<std::uint64_t, FlowId>> Heard_;
    bool In_ = true;
  };
  void start(std::size_t Which);
  void linkAnew(std::size_t Which);
  void tick(std::size_t Which);
  void warn(std::size_t From, const UpstreamWarning &M);
  /// A caller opens a flow, sends a request and acknowledges the answer, each
  /// through the host that the fabric picks then.
  void request();
  PacketBalancer &picked(const Packet &P);

  std::vector<Host> Hosts_;
  std::size_t Upstreams_;
  Micros Between_; ///< Two requests.
  std::size_t Hanging_ = 0;
  std::size_t Requests_ = 0;
  std::size_t Served_ = 0;
  EventQueue Events_;
};

} // namespace thymewall::test

#endif

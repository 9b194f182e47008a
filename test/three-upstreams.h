/// \file
/// Test fixture: a packet balancer with three upstreams of one service that
/// records its checks, resets and warnings.
#ifndef THYMEWALL_TEST_THREE_UPSTREAMS_H
#define THYMEWALL_TEST_THREE_UPSTREAMS_H

#include "thymewall/packet-balancer.h"

namespace thymewall::test {

using namespace std::chrono_literals;

const Endpoint ServiceAt = Endpoint::v4(0xc6120001, 8443);

inline MonoTime at(std::chrono::milliseconds Time) {
  return MonoTime(100s + Time);
}

inline UpstreamChange up(std::uint64_t Id, bool Draining = false) {
  UpstreamEntry E;
  E.Incarnation_ = Incarnation{Id};
  E.Service_ = ServiceId{1};
  E.Address_ = Endpoint::v4(static_cast<std::uint32_t>(Id), 9000);
  E.Draining_ = Draining;
  return {E.Incarnation_, 1, E};
}

inline Packet packet(std::uint16_t Port) {
  Packet P;
  P.Caller_ = Endpoint::v4(0x64400007, Port);
  P.Service_ = ServiceAt;
  return P;
}

class RecordingBalancer {
public:
  RecordingBalancer()
      : B_(PacketBalancerBuilder()
               .onCheck([this](const UpstreamCheck &C) {
                 Checks_.push_back(raw(C.Upstream_));
               })
               .onReset([this](const ResetFlow &R) { Resets_.push_back(R); })
               .onWarning(
                   [this](const UpstreamWarning &M) { Warnings_.push_back(M); })
               .build()) {
    auto Table = std::make_shared<RoutingTable>();
    Table->Version_ = 1;
    Table->Addresses_[ServiceAt] = {{ServiceId{1}, 1}};
    B_.setRouting(at(0ms), Table);
    B_.applyUpstreams(at(0ms), {up(1), up(2), up(3)});
  }

  std::uint64_t open(std::chrono::milliseconds Time, std::uint16_t Port,
                     std::uint32_t Copy = 0) {
    Packet P = packet(Port);
    P.Opens_ = true;
    P.Acknowledged_ = Copy;
    Verdict V = B_.steer(at(Time), P);
    const auto *F = std::get_if<Forward>(&V);
    return F ? raw(F->Upstream_) : 0;
  }

  /// Sends data or, if \p Size is 0, a bare acknowledgement.
  void follow(std::chrono::milliseconds Time, std::uint16_t Port,
              std::uint64_t Upstream, std::uint32_t Acknowledged,
              std::uint32_t Sequence = 0, std::uint16_t Size = 0) {
    Packet P = packet(Port);
    P.Acknowledges_ = true;
    P.Cookie_ = static_cast<Cookie>(Upstream);
    P.Acknowledged_ = Acknowledged;
    P.Sequence_ = Sequence;
    P.DataSize_ = Size;
    B_.steer(at(Time), P);
  }

  void finish(std::chrono::milliseconds Time, std::uint16_t Port,
              std::uint64_t Upstream, std::uint32_t Acknowledged) {
    Packet P = packet(Port);
    P.Acknowledges_ = true;
    P.Finishes_ = true;
    P.Cookie_ = static_cast<Cookie>(Upstream);
    P.Acknowledged_ = Acknowledged;
    B_.steer(at(Time), P);
  }

  /// Opens a flow and sends a request on it, at 0 to 10 ms; returns its
  /// upstream.
  std::uint64_t request(std::uint16_t Port) {
    std::uint64_t Upstream = open(0ms, Port);
    follow(5ms, Port, Upstream, 1000);
    follow(10ms, Port, Upstream, 1000, 1, 100);
    return Upstream;
  }

  /// Does the same and acknowledges an answer \p After the request.
  void answered(std::uint16_t Port, std::chrono::milliseconds After = 20ms) {
    std::uint64_t Upstream = request(Port);
    follow(10ms + After, Port, Upstream, 5000);
  }

  /// Returns whether any of 100 new flows goes to the upstream.
  bool takesFlows(std::uint64_t Upstream, std::chrono::milliseconds Time) {
    for (std::uint16_t Port = 1000; Port < 1100; ++Port)
      if (open(Time, Port) == Upstream)
        return true;
    return false;
  }

  void checked(std::chrono::milliseconds Time, std::uint64_t Upstream,
               CheckResult Result, std::chrono::milliseconds Began) {
    B_.onCheckResult(at(Time), Incarnation{Upstream}, Result, at(Began));
  }

  PacketBalancer B_;
  std::vector<std::uint64_t> Checks_;
  std::vector<ResetFlow> Resets_;
  std::vector<UpstreamWarning> Warnings_;
};

} // namespace thymewall::test

#endif

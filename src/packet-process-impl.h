/// \file
/// Inside of `PacketProcess`: packets and time (packet-process.cc), peers and
/// the configuration service (packet-process-news.cc), and what operators and
/// the platform ask of it (packet-process-control.cc).
#ifndef THYMEWALL_SRC_PACKET_PROCESS_IMPL_H
#define THYMEWALL_SRC_PACKET_PROCESS_IMPL_H

#include "packet-process.h"

#include "http-server.h"
#include "opening-retries.h"
#include "packet-log.h"
#include "packet-pages.h"
#include "path-witness.h"
#include "peer-links.h"
#include "settings-watch.h"
#include "thymewall/held-packets.h"
#include "udp-socket.h"
#include "upstream-checker.h"

#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>

namespace thymewall::detail {

/// How often the settings file is looked at without a signal.
constexpr Micros SettingsLookEvery = std::chrono::seconds(2);

/// A start reaches its first peer in some ten milliseconds, through a seed that
/// hundreds ask at once in half a second.
constexpr Micros FirstPeerWithin = std::chrono::milliseconds(1500);

/// How recent knowledge must be to say that an address is unknown. Half a
/// second of the bound is left for the packet's way and for the clocks.
inline Micros resetWhenKnown(const PacketSettings &S) {
  constexpr Micros Margin = std::chrono::milliseconds(500);
  return std::max(S.MaxRoutingDelay_ - Margin, Micros(0));
}

class PacketProcess::Impl {
public:
  Impl(asio::io_context &Context, const PacketSettings &Configured,
       std::string SettingsPath, PlatformHooks Hooks);

private:
  void onPacket(const std::uint8_t *Data, std::size_t Size);
  bool steer(MonoTime Now, const std::uint8_t *Data, std::size_t Size);
  void releaseHeld();
  void noteReady();
  void noteCurrent();
  void retryOpening(MonoTime Now, const std::uint8_t *Data, std::size_t Size);
  void act(const Forward &F, const std::uint8_t *Data, std::size_t Size);
  void act(const ResetFlow &R, const std::uint8_t *Data, std::size_t Size);
  void act(const Dropped &D, const std::uint8_t *Data, std::size_t Size);
  PeerLinkHooks linkHooks();
  CheckerHooks checkerHooks();
  MonoTime askPeers();
  void onPong(const std::string &Bytes);
  GossipHooks newsHooks();
  void onPeerMessage(LinkId Link, const std::string &Bytes);
  void sendReset(const ResetFlow &R);
  void onAnswer(const ConfigResponse &Answer);
  void review();
  void endWhenQuiet(MonoTime Now);
  void startCall(MonoTime Now);
  HttpPage readinessPage(const std::string &Path);
  void serveMetrics();
  PacketReport report();
  std::string tenant(ServiceId Id) const;
  bool ready() const {
    return Core_.ready() && StopBy_ == MonoTime::max() && !HallLost_;
  }
  void noteHall(MonoTime Now);
  void awaitSignal();
  void onReloadSignal();
  void startStop();
  void takeSettings(const char *Cause);
  void lookAtSettings(MonoTime Now);

  asio::io_context &Context_;
  PacketSettings Settings_;
  SettingsWatch Watch_;
  PlatformHooks Hooks_;
  UdpSocket Packets_; ///< First: what comes from now on waits in it.
  DelayMetrics Delays_;
  RoutingTablePtr Routing_;
  PacketBalancer Core_;
  HeldPackets Held_; ///< Until the core is ready or upstreams are published.
  OpeningRetries Openings_;
  PeerProbes Path_;
  UpstreamChecker Checker_;
  ConfigReader Reader_;
  IntentCaller Call_;
  PeerLinks Links_;
  GossipNode News_;
  PeerTraffic Traffic_;
  HttpServer Readiness_;
  std::optional<HttpServer> Metrics_;
  ServiceLog ServiceLog_;
  asio::steady_timer Timer_;
  asio::signal_set Signals_;
  MonoTime NextTick_{};
  MonoTime NextSettingsLook_{};
  MonoTime LastPacket_{};
  MonoTime PeersBy_{}; ///< Without any by then, none can tell of the list.
  std::uint64_t Malformed_ = 0;
  std::uint64_t ServiceCalls_ = 0;
  std::uint64_t ServiceFailures_ = 0;
  std::uint64_t RefusedItems_ = 0; ///< Published ones that can't be read.
  bool ReadyTold_ = false;
  bool CurrentTold_ = false;
  bool HallLost_ = false; ///< Other data halls serve callers better.
  MonoTime StopFrom_ = MonoTime::max(); ///< Earliest end after a stop signal.
  MonoTime StopBy_ = MonoTime::max();
};

} // namespace thymewall::detail

#endif

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
constexpr Micros SettingsPollInterval = std::chrono::seconds(2);

/// A start reaches its first peer in some ten milliseconds, through a seed that
/// hundreds ask at once in half a second.
constexpr Micros FirstPeerTimeout = std::chrono::milliseconds(1500);

/// How recent knowledge must be to say that an address is unknown. Half a
/// second of the bound is left for the packet's way and for the clocks.
inline Micros resetStalenessLimit(const PacketSettings &S) {
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
  void releaseHeldPackets();
  void checkReady();
  void logFirstConfirmation();
  void retryOpening(MonoTime Now, const std::uint8_t *Data, std::size_t Size);
  void execute(const Forward &F, const std::uint8_t *Data, std::size_t Size);
  void execute(const ResetFlow &R, const std::uint8_t *Data, std::size_t Size);
  void execute(const Dropped &D, const std::uint8_t *Data, std::size_t Size);
  PeerLinkHooks linkHooks();
  CheckerHooks checkerHooks();
  MonoTime probePeers();
  void onPong(const std::string &Bytes);
  GossipHooks gossipHooks();
  void onPeerMessage(LinkId Link, const std::string &Bytes);
  void sendReset(const ResetFlow &R);
  void onConfigResponse(const ConfigResponse &Response);
  void runDueWork();
  void stopIfQuiet(MonoTime Now);
  void startConfigCall(MonoTime Now);
  HttpPage readinessPage(const std::string &Path);
  void serveMetrics();
  PacketReport report();
  std::string serviceLabel(ServiceId Id) const;
  bool ready() const {
    return Core_.ready() && StopDeadline_ == MonoTime::max() && !DataHallLost_;
  }
  void updateDataHallLost(MonoTime Now);
  void awaitSignal();
  void onReloadSignal();
  void beginShutdown();
  void applySettings(const char *Cause);
  void pollSettings(MonoTime Now);

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
  PeerProbes Probes_;
  UpstreamChecker Checker_;
  ConfigReader ConfigReader_;
  ConfigClient ConfigClient_;
  PeerLinks Links_;
  GossipNode Gossip_;
  PeerTraffic Traffic_;
  HttpServer Readiness_;
  std::optional<HttpServer> Metrics_;
  ConfigServiceLog ServiceLog_;
  asio::steady_timer Timer_;
  asio::signal_set Signals_;
  MonoTime NextTick_{};
  MonoTime NextSettingsPollAt_{};
  MonoTime LastPacketAt_{};
  MonoTime
      FirstPeerDeadline_{}; ///< Without any by then, none can tell of the list.
  std::uint64_t Malformed_ = 0;
  std::uint64_t ServiceCalls_ = 0;
  std::uint64_t ServiceFailures_ = 0;
  std::uint64_t RefusedItems_ = 0; ///< Published ones that can't be read.
  bool ReadyLogged_ = false;
  bool FirstConfirmationLogged_ = false;
  bool DataHallLost_ = false; ///< Other data halls serve callers better.
  MonoTime EarliestStopAt_ =
      MonoTime::max(); ///< Earliest end after a stop signal.
  MonoTime StopDeadline_ = MonoTime::max();
};

} // namespace thymewall::detail

#endif

/// \file
/// Implementation of `PacketProcess`: packets and timers in packet-process.cc,
/// peers and the configuration service in packet-process-gossip.cc, pings and
/// stepping back in packet-process-health.cc, status pages, signals and
/// settings in packet-process-control.cc, queued openings in
/// packet-process-admission.cc.
#ifndef THYMEWALL_SRC_PACKET_PROCESS_IMPL_H
#define THYMEWALL_SRC_PACKET_PROCESS_IMPL_H

#include "packet-process.h"

#include "admission-metrics.h"
#include "http-server.h"
#include "opening-retries.h"
#include "packet-log.h"
#include "packet-pages.h"
#include "peer-links.h"
#include "peer-probes.h"
#include "settings-watch.h"
#include "thymewall/held-packets.h"
#include "thymewall/local-health.h"
#include "udp-socket.h"
#include "upstream-checker.h"

#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>

namespace thymewall::detail {

/// Interval at which the settings file is checked for changes.
constexpr Micros SettingsPollInterval = std::chrono::seconds(2);

/// A process that knows no peer this long after its start stops waiting for
/// peers to send the upstream list. Long enough for the answer of a seed that a
/// whole fleet contacts at once.
constexpr Micros FirstPeerTimeout = std::chrono::milliseconds(1500);

/// Returns the maximum age of the state at which it suffices to reject an
/// opening. The margin covers the transit time of a packet and clock
/// differences.
inline Micros resetStalenessLimit(const PacketSettings &S) {
  constexpr Micros Margin = std::chrono::milliseconds(500);
  return std::max(S.MaxRoutingDelay_ - Margin, Micros(0));
}

/// Returns whether the error may disappear when upstreams are published. After
/// an outage of the configuration service all of them are missing until they
/// publish themselves again.
inline bool isTransientError(ErrorKind Error) {
  return Error == ErrorKind::NoneLeft || Error == ErrorKind::UnknownCookie;
}

class PacketProcess::Impl {
public:
  Impl(asio::io_context &Context, const PacketSettings &Configured,
       std::string SettingsPath, PlatformHooks Hooks);

private:
  void onPacket(const std::uint8_t *Data, std::size_t Size);
  /// Decides on a packet, held since \p HeldSince, and executes the verdict.
  /// Returns false if the packet should be held until more upstreams are known.
  bool steer(MonoTime Now, MonoTime HeldSince, const std::uint8_t *Data,
             std::size_t Size);
  /// Retries the packets that were held for lack of an upstream.
  void releaseHeldPackets();
  /// Logs the first time that the core is ready and releases held packets.
  void checkReady();
  /// Logs the first confirmed state, which ends the start-up phase.
  void logFirstConfirmation();
  void retryOpening(MonoTime Now, const std::uint8_t *Data, std::size_t Size);
  void execute(const Forward &F, const std::uint8_t *Data, std::size_t Size);
  void execute(const ResetFlow &R, const std::uint8_t *Data, std::size_t Size);
  void execute(const Dropped &D, const std::uint8_t *Data, std::size_t Size);
  void execute(const Queued &Q, const std::uint8_t *Data, std::size_t Size);
  /// Executes the verdict on a queued packet.
  void onQueuedVerdict(FlowId Flow, const Verdict &V);
  void onAdmissionEvent(const AdmissionEvent &Event);
  /// Sets the timer to the next time at which queued packets are decided on.
  void scheduleQueueTimer();
  PeerLinkHooks linkHooks();
  CheckerHooks checkerHooks();
  /// Pings all peers, unless that was done just now. Returns the time of the
  /// ping.
  MonoTime probePeers();
  void onPong(LinkId Link, const std::string &Bytes);
  /// Judges the health of the host and decides whether to step back.
  void updateHealth(MonoTime Now);
  GossipHooks gossipHooks();
  void onPeerMessage(LinkId Link, const std::string &Bytes);
  void sendReset(const ResetFlow &R);
  void onConfigResponse(const ConfigResponse &Response);
  /// Runs the tick and the call of the configuration service that are due, and
  /// rearms the timer.
  void runDueWork();
  /// Ends the process after a stop signal, once no packets arrive any more or
  /// at the deadline.
  void stopIfQuiet(MonoTime Now);
  void startConfigCall(MonoTime Now);
  HttpPage readinessPage(const std::string &Path);
  void serveMetrics();
  PacketReport report();
  /// Returns the name of a service for metrics.
  std::string serviceLabel(ServiceId Id) const;
  bool ready() const {
    return Core_.ready() && StopDeadline_ == MonoTime::max() &&
           !DataHallLost_ && !StepBack_.isSteppedBack();
  }
  void updateDataHallLost(MonoTime Now);
  void awaitSignal();
  void onReloadSignal();
  void beginShutdown();
  /// Applies changed settings, except for those that need a restart.
  void applySettings(const char *Cause);
  void pollSettings(MonoTime Now);

  asio::io_context &Context_;
  PacketSettings Settings_;
  SettingsWatch SettingsWatch_;
  PlatformHooks Hooks_;
  UdpSocket PacketSocket_; ///< Bound first, so that early packets queue in it.
  DelayMetrics Delays_;
  AdmissionMetrics Admission_;
  RoutingTablePtr Routing_;
  PacketBalancer Core_;
  HeldPackets Held_; ///< Packets that wait for a routing table or an upstream.
  OpeningRetries Openings_;
  /// Packets that the core has queued.
  std::unordered_map<FlowId, std::vector<std::uint8_t>> QueuedPackets_;
  asio::steady_timer QueueTimer_;
  MonoTime QueueTimerAt_ = MonoTime::max();
  PeerProbes Probes_;
  LocalHealth Health_;
  StepBack StepBack_;
  UpstreamChecker Checker_;
  ConfigReader ConfigReader_;
  ConfigClient ConfigClient_;
  PeerLinks Links_;
  GossipNode Gossip_;
  PeerTraffic Traffic_;
  HttpServer ReadinessServer_;
  std::optional<HttpServer> MetricsServer_;
  ConfigServiceLog ServiceLog_;
  asio::steady_timer Timer_;
  asio::signal_set Signals_;
  MonoTime NextTick_{};
  MonoTime NextSettingsPollAt_{};
  MonoTime LastPacketAt_{};
  MonoTime FirstPeerDeadline_{};
  std::uint64_t Malformed_ = 0;
  std::uint64_t ServiceCalls_ = 0;
  std::uint64_t ServiceFailures_ = 0;
  std::uint64_t RefusedItems_ = 0;   ///< Published items that can't be decoded.
  std::uint64_t AdjustedValues_ = 0; ///< Not used as published.
  std::uint64_t UnreadablePages_ = 0; ///< Of published lists.
  bool ReadyLogged_ = false;
  bool FirstConfirmationLogged_ = false;
  /// Whether other data halls serve callers better than this one.
  bool DataHallLost_ = false;
  /// Bounds of the end of the process; set by a stop signal.
  MonoTime EarliestStopAt_ = MonoTime::max();
  MonoTime StopDeadline_ = MonoTime::max();
};

} // namespace thymewall::detail

#endif

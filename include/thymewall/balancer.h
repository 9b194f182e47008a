/// \file
/// The decision core of the request balancer.
///
/// The core has no sockets, threads, clocks or random device. The embedding
/// process passes it events with their time and carries out the actions that it
/// emits. The same settings and events always produce the same actions.
///
///   Balancer B = BalancerBuilder()
///                    .name("lb-1")
///                    .dataAddress(parseEndpoint("127.0.0.1:7100"))
///                    .incarnation(Incarnation{42})
///                    .seed(1)
///                    .keys({Secret, Secret})
///                    .zones(timeZoneClock())
///                    .build();
///   ActionSink Sink = [](const Action &A) { ... };
///   B.handle(Now, DeclarationRead{Declaration}, Sink);
///   B.handle(Now, FromCaller{Caller, OpenMessage, WireSize}, Sink);
///   B.handle(Now, Tick{}, Sink); // every `TickInterval`
///
/// Byte fields of a message in an action are valid only until the sink returns.
/// `status` and `counters` report the core's state.
#ifndef THYMEWALL_BALANCER_H
#define THYMEWALL_BALANCER_H

#include "thymewall/host-list.h"
#include "thymewall/route.h"
#include "thymewall/succession.h"
#include "thymewall/upstream-table.h"

#include <memory>
#include <variant>

namespace thymewall {

/// A datagram from a caller; `Message_.Service_` is the socket's service.
struct FromCaller {
  Endpoint From_;
  Message Message_;
  std::size_t WireSize_ = 0; ///< In bytes; opens need `MinOpenSize`.
};
/// A datagram from an upstream.
struct FromUpstream {
  Endpoint From_;
  Message Message_;
};
/// A datagram from another balancer.
struct FromPeer {
  Endpoint From_;
  PeerDatagram Datagram_;
};
/// A valid declaration was read from the platform or a peer.
struct DeclarationRead {
  DeclarationPtr Declaration_;
  /// Identifier of the `RefreshDocuments` action that this answers, or 0.
  /// Answers to an earlier action do not make the core ready.
  std::uint64_t RefreshId_ = 0;
};
/// A source has no newer declaration than the one in force.
struct DeclarationUnchanged {
  std::uint64_t RefreshId_ = 0;
};
/// A valid host list was read.
struct HostListRead {
  HostListPtr HostList_;
};
/// A heartbeat from another balancer.
struct HeartbeatReceived {
  BalancerId Id_{};
  Endpoint Data_;
  Incarnation Incarnation_{};
  bool Leaving_ = false;
};
/// A stopping balancer announced its successors.
struct SuccessionReceived {
  Succession Succession_;
};
/// Drives timers; due every `Balancer::TickInterval`.
struct Tick {};
/// The operator asked this process to stop.
struct StopRequested {};

using Event =
    std::variant<FromCaller, FromUpstream, FromPeer, DeclarationRead,
                 DeclarationUnchanged, HostListRead, HeartbeatReceived,
                 SuccessionReceived, Tick, StopRequested>;

/// Sends a datagram to a caller.
struct ToCaller {
  Endpoint To_;
  Message Message_; ///< `Service_` selects the socket to send from.
};
/// Sends a datagram to an upstream.
struct ToUpstream {
  Endpoint To_;
  Message Message_;
};
/// Sends a datagram to another balancer.
struct ToPeer {
  Endpoint To_;
  PeerDatagram Datagram_;
};
/// A different declaration is now in force.
struct DeclarationApplied {
  DeclarationPtr Declaration_;
};
/// The process was suspended: read the documents from the platform and the
/// peers again.
struct RefreshDocuments {
  std::uint64_t RefreshId_ = 0; ///< To be repeated in the answers.
};
/// Sends the succession to every peer.
struct BroadcastSuccession {
  Succession Succession_;
};
/// Handover is complete and no request is open; the process may exit.
struct Stopped {};

using Action = std::variant<ToCaller, ToUpstream, ToPeer, DeclarationApplied,
                            RefreshDocuments, BroadcastSuccession, Stopped>;
using ActionSink = std::function<void(const Action &)>;

/// How the upstream of a caller's datagram was found: from its route, at this
/// balancer as the home, by forwarding to the home, or not at all.
enum class ResolvedBy : std::uint8_t { Route, Home, Passed, Refused, Count };

/// Totals since the start of the process.
struct Counters {
  std::array<std::uint64_t, static_cast<std::size_t>(ErrorKind::Count)>
      Errors_{};
  std::array<std::uint64_t, static_cast<std::size_t>(ResolvedBy::Count)>
      ResolvedBy_{};
  std::uint64_t Opens_ = 0;
  std::uint64_t Opened_ = 0;
  std::uint64_t Requests_ = 0;
  std::uint64_t Answered_ = 0;
  std::uint64_t NotRun_ = 0;
  std::uint64_t OutcomeUnknown_ = 0;
  std::uint64_t Retries_ = 0;
  std::uint64_t Rehomed_ = 0; ///< Requests whose home or flow row was lost.
  std::uint64_t Moved_ = 0;   ///< Takeovers of a flow from a suspect home.
  std::uint64_t Adopted_ = 0; ///< Requests of a stopped home run here.
  std::uint64_t LateWakes_ = 0;
};

/// A snapshot of a core's state for operators.
struct Status {
  Version DeclarationVersion_ = 0;
  std::uint64_t Digest_ = 0;
  bool Ready_ = false;
  bool Stopping_ = false;
  std::size_t Flows_ = 0;
  std::size_t Requests_ = 0;
  std::size_t PendingForwards_ = 0;
  std::size_t MemoryBytes_ = 0; ///< Of the flow, request and forward tables.
  MonoTime Now_{};              ///< Time of the last event.
  std::vector<UpstreamRow> Upstreams_;
};

/// Classes of the delay histograms: opens, repeatable and at-most-once
/// requests.
enum class RequestClass : std::uint8_t { Open, Repeatable, Once };

/// Called for each answered request with the time from its dispatch to the last
/// part of its answer.
using DelayHook =
    std::function<void(ServiceId Service, RequestClass Class, Micros Delay)>;

/// Settings of a core.
struct BalancerOptions {
  std::string Name_;
  Endpoint Data_;
  Incarnation Incarnation_{};
  std::uint64_t Seed_ = 0;
  KeyPair Keys_{};
  Chooser Chooser_ = chooseByOwnFlows;
  TimeZoneClock Zones_;
  DelayHook OnDelay_;
  std::uint32_t MaxFlows_ = 1'000'000;
  std::uint32_t MaxRequests_ = 100'000;
  std::uint32_t MaxForwards_ = 2048;
};

/// The request balancer's decision core.
class Balancer {
public:
  /// Interval at which the embedding process sends `Tick`.
  static constexpr Micros TickInterval = std::chrono::milliseconds(5);
  /// A tick later than this means that the process was suspended.
  static constexpr Micros LateTickThreshold = std::chrono::seconds(1);
  /// Size in bytes of the shortest `Open` that is answered. Replies are never
  /// longer, so a spoofed open is not amplified.
  static constexpr std::size_t MinOpenSize = 160;

  explicit Balancer(BalancerOptions Options);
  Balancer(Balancer &&) noexcept;
  Balancer &operator=(Balancer &&) noexcept;
  ~Balancer();

  /// Handles one event and calls \p Sink for each action before it returns.
  void handle(const Moment &Now, const Event &What, const ActionSink &Sink);

  const Counters &counters() const;
  Status status() const;

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

/// Builds a `Balancer`. `build` asserts that name, data address, incarnation
/// and zones are set.
class BalancerBuilder {
public:
  BalancerBuilder &name(std::string Value);
  BalancerBuilder &dataAddress(const Endpoint &Value);
  BalancerBuilder &incarnation(Incarnation Value);
  BalancerBuilder &seed(std::uint64_t Value);
  BalancerBuilder &keys(const KeyPair &Value);
  BalancerBuilder &chooser(Chooser Value);
  BalancerBuilder &zones(TimeZoneClock Value);
  BalancerBuilder &onDelay(DelayHook Value);
  BalancerBuilder &maxFlows(std::uint32_t Value);
  Balancer build() const;

private:
  BalancerOptions Options_;
};

} // namespace thymewall

#endif

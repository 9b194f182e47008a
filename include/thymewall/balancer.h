/// \file
/// The decision core of a balancer, and how a harness drives it.
///
/// The core owns no socket, thread, clock or source of randomness. A harness
/// gives it events with the time at which they happened, and carries out the
/// actions that it gets back. Two cores with the same builder settings and the
/// same events take the same actions.
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
///   B.handle(Now, Tick{}, Sink); // about every `TickEvery`
///
/// Byte fields of a message in an action are valid only during the call of the
/// sink. Everything else that the core reports is read with `status` and
/// `counters`.
#ifndef THYMEWALL_BALANCER_H
#define THYMEWALL_BALANCER_H

#include "thymewall/host-list.h"
#include "thymewall/route.h"
#include "thymewall/succession.h"
#include "thymewall/upstream-table.h"

#include <memory>
#include <variant>

namespace thymewall {

/// A caller's datagram; `Message_.Service_` is that of the socket.
struct FromCaller {
  Endpoint From_;
  Message Message_;
  std::size_t WireSize_ = 0; ///< Bounds the size of a first reply.
};
struct FromUpstream {
  Endpoint From_;
  Message Message_;
};
struct FromPeer {
  Endpoint From_;
  PeerDatagram Datagram_;
};
/// A valid declaration was read, from the platform or from a peer. `Asked_` is
/// that of the `RereadSources` which the read answers: news that was under way
/// before a pause does not end it.
struct DeclarationRead {
  DeclarationPtr Declaration_;
  std::uint64_t Asked_ = 0;
};
/// A source answered that it has nothing newer than what is in force.
struct SourceConfirmed {
  std::uint64_t Asked_ = 0;
};
struct HostListRead {
  HostListPtr HostList_;
};
/// A heartbeat of another balancer arrived.
struct PeerSeen {
  BalancerId Id_{};
  Endpoint Data_;
  Incarnation Incarnation_{};
  bool Leaving_ = false;
};
struct SuccessionRead {
  Succession Succession_;
};
struct Tick {};
/// The operator stops this process.
struct StopAsked {};

using Event = std::variant<FromCaller, FromUpstream, FromPeer, DeclarationRead,
                           SourceConfirmed, HostListRead, PeerSeen,
                           SuccessionRead, Tick, StopAsked>;

struct ToCaller {
  Endpoint To_;
  Message Message_; ///< `Service_` tells from which socket to send.
};
struct ToUpstream {
  Endpoint To_;
  Message Message_;
};
struct ToPeer {
  Endpoint To_;
  PeerDatagram Datagram_;
};
/// Another declaration is in force from now on.
struct InForce {
  DeclarationPtr Declaration_;
};
/// The process was away; read the platform and the peers again.
struct RereadSources {
  std::uint64_t Asked_ = 0; ///< To be given back with what is read.
};
/// Tell every peer.
struct TellSuccession {
  Succession Succession_;
};
/// All is handed over and answered; the process may end.
struct Stopped {};

using Action = std::variant<ToCaller, ToUpstream, ToPeer, InForce,
                            RereadSources, TellSuccession, Stopped>;
using ActionSink = std::function<void(const Action &)>;

/// How a caller's packet found its upstream.
enum class Step : std::uint8_t { Route, Home, Passed, Refused, Count };

/// Totals since the start of the process.
struct Counters {
  std::array<std::uint64_t, static_cast<std::size_t>(ErrorKind::Count)>
      Errors_{};
  std::array<std::uint64_t, static_cast<std::size_t>(Step::Count)> Steps_{};
  std::uint64_t Opens_ = 0;
  std::uint64_t Opened_ = 0;
  std::uint64_t Requests_ = 0;
  std::uint64_t Answered_ = 0;
  std::uint64_t NotRun_ = 0;
  std::uint64_t OutcomeUnknown_ = 0;
  std::uint64_t Retries_ = 0;
  std::uint64_t Rehomed_ = 0; ///< After a request's outcome was lost.
  std::uint64_t Moved_ = 0;   ///< Before any request was.
  std::uint64_t Adopted_ = 0;
  std::uint64_t LateWakes_ = 0;
};

/// What an operator sees.
struct Status {
  Version InForce_ = 0;
  std::uint64_t Digest_ = 0;
  bool Ready_ = false;
  bool Stopping_ = false;
  std::size_t Flows_ = 0;
  std::size_t Requests_ = 0;
  std::size_t Passes_ = 0;
  std::size_t MemoryBytes_ = 0; ///< Of the three tables.
  MonoTime Now_{};              ///< Of the last event; tells who is ejected.
  std::vector<UpstreamRow> Upstreams_;
};

/// What happened to a request; the classes of the delay histograms.
enum class RequestClass : std::uint8_t { Open, Repeatable, Once };

/// Called with each answered request's delay from hand-over to last part.
using DelayHook =
    std::function<void(ServiceId Service, RequestClass Class, Micros Delay)>;

/// Settings of a core; the defaults suit an entry host of today.
struct BalancerOptions {
  std::string Name_;
  Endpoint Data_;
  Incarnation Incarnation_{};
  std::uint64_t Seed_ = 0;
  KeyPair Keys_{};
  Chooser Chooser_ = chooseTwoOwn;
  TimeZoneClock Zones_;
  DelayHook OnDelay_;
  std::uint32_t FlowBound_ = 1'000'000;
  std::uint32_t RequestBound_ = 100'000;
  std::uint32_t PassBound_ = 2048;
};

class Balancer {
public:
  /// How often the harness sends `Tick`, and how late one may come before the
  /// core takes itself to have been away.
  static constexpr Micros TickEvery = std::chrono::milliseconds(5);
  static constexpr Micros LateAfter = std::chrono::seconds(1);
  /// Shortest `Open` that is answered; the reply is never longer.
  static constexpr std::size_t MinOpenSize = 160;

  explicit Balancer(BalancerOptions Options);
  Balancer(Balancer &&) noexcept;
  Balancer &operator=(Balancer &&) noexcept;
  ~Balancer();

  /// Handles one event. \p Sink is called for each action, before this returns.
  void handle(const Moment &Now, const Event &What, const ActionSink &Sink);

  const Counters &counters() const;
  Status status() const;

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

/// Builds a `Balancer`; `build` asserts that name, address, incarnation and
/// zones were given.
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
  BalancerBuilder &flowBound(std::uint32_t Value);
  Balancer build() const;

private:
  BalancerOptions Options_;
};

} // namespace thymewall

#endif

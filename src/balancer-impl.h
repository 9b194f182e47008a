/// \file
/// The implementation of the request balancer's decision core:
///   balancer.cc             declarations, peers, timers
///   balancer-caller.cc      datagrams from callers
///   balancer-upstream.cc    datagrams from upstreams
///   balancer-home.cc        at-most-once requests, forwarding, moving flows
///   balancer-succession.cc  planned stop
#ifndef THYMEWALL_SRC_BALANCER_IMPL_H
#define THYMEWALL_SRC_BALANCER_IMPL_H

#include "mechanism.h"
#include "thymewall/balancer.h"
#include "thymewall/request-table.h"

#include <random>

namespace thymewall {

/// How far a caller's clock may be ahead of the balancer's.
constexpr Micros MaxClockSkew = std::chrono::seconds(1);

/// A balancer whose heartbeats arrive.
struct Peer {
  BalancerId Id_{};
  Endpoint Data_;
  Incarnation Incarnation_{};
  bool Leaving_ = false;
  MonoTime ExpiresAt_{};
};

/// A home that stopped answering; not forwarded to until `Until_`.
struct SuspectHome {
  Incarnation Home_{};
  MonoTime Until_{};
};

/// The state of a service of the declaration in force.
struct ServiceState {
  Service Service_;
  std::vector<std::uint32_t> Selected_; ///< Indexes into the upstream table.
  double RetryTokens_ = 0;
  EligibleSet Eligible_;         ///< Subset of `Selected_`, cached.
  std::uint64_t Generation_ = 0; ///< That of `Eligible_`; 0 if it is stale.
};

/// Why this process is the home of an at-most-once request.
enum class RequestOrigin : std::uint8_t {
  Own,     ///< Its route names this process.
  Adopted, ///< Its route names a stopped home whose successor this is.
  Replayed ///< Its home is lost, and the upstream deduplicates requests.
};

/// How a request is dispatched to an upstream.
struct DispatchOptions {
  bool AtMostOnce_ = false; ///< Not repeatable; this balancer is the home.
  bool SoleCopy_ = false;   ///< No other copy is ever dispatched.
  bool NewRoute_ = false;   ///< The answer carries a new route.
};

class Balancer::Impl {
public:
  explicit Impl(BalancerOptions Options);

  void handle(const Moment &Now, const Event &What, const ActionSink &Sink);
  const Counters &counters() const { return Counters_; }
  Status status() const;

private:
  // Events, one overload each.
  void on(const FromCaller &E);
  void on(const FromUpstream &E);
  void on(const FromPeer &E);
  void on(const DeclarationRead &E);
  void on(const DeclarationUnchanged &E);
  void on(const HostListRead &E);
  void on(const HeartbeatReceived &E);
  void on(const SuccessionReceived &E);
  void on(const Tick &E);
  void on(const StopRequested &E);

  // Declarations, peers and timers (balancer.cc).
  void detectLateWake();
  void selectUpstreams();
  void applyHostList();
  bool ready() const;
  ServiceState *serviceState(ServiceId Id);
  std::uint32_t requestTick(MonoTime When) const;
  std::uint32_t flowTick(MonoTime When) const;
  std::uint32_t requestDue(WallTime Deadline) const;
  double randomFraction();
  std::uint64_t nextAttempt();
  void expirePeers();
  void expireRequests();
  void expireFlows();
  void expireForwards();

  // Callers (balancer-caller.cc).
  void openFlow(Message M, bool MayForward);
  void placeFlow(const Message &M, ServiceState &S);
  const EligibleSet &eligibleUpstreams(ServiceState &S);
  std::uint32_t chooseUpstream(const FlowKey &Key,
                               const EligibleSet &Candidates) const;
  void sendOpen(const RequestRow &Row);
  void retryOpen(RequestRow &Row, ErrorKind Reason);
  void handleRequest(const Message &M);
  void dispatchRepeatable(const Message &M, const Route &R);
  void relayToUpstream(const Message &M, const Route &R);
  void closeFlow(const Message &M, const Route &R);
  bool dispatchRequest(const Message &M, const Route &R, std::uint32_t Upstream,
                       DispatchOptions Options);
  bool overloaded(const ServiceState &S, const UpstreamRow &U) const;
  bool readRoute(const Message &M, Route &R);
  std::uint32_t resolveUpstream(const Route &R);

  // Replies and sending (balancer-caller.cc).
  void drop(ErrorKind Reason);
  void refuse(const Message &M, ErrorKind Reason, ErrorResponse StrongestAnswer,
              Bytes NewRoute = {});
  void refuseRow(const RequestRow &Row, ErrorKind Reason,
                 ErrorResponse StrongestAnswer, WallTime RetryAt = {});
  void sendToUpstream(const Endpoint &To, const Message &M);
  void sendToPeer(const Endpoint &To, PeerMessageKind Kind, const Message &M);

  // Upstreams (balancer-upstream.cc).
  void onOpened(const Message &M, std::uint32_t Upstream);
  void onAnswer(const Message &M, std::uint32_t Upstream);
  void onRefused(const Message &M, std::uint32_t Upstream);
  void onReset(const Message &M, std::uint32_t Upstream);
  void relayToCaller(const Message &M);
  RequestRow *findAttempt(const Message &M, std::uint32_t Upstream);
  void removeRequest(RequestRow &Row);
  void completeRequest(RequestRow &Row);

  // Homes (balancer-home.cc).
  bool isHome(const Route &R) const {
    return R.HomeIncarnation_ == Options_.Incarnation_;
  }
  FlowRow *createFlow(const FlowKey &Key, std::uint32_t Upstream);
  FlowRow *findOrCreateFlow(const FlowKey &Key, std::uint32_t Upstream);
  void refreshIdleTimeout(FlowRow &Row);
  void markFlowClosed(FlowRow &Row);
  void releaseFlow(FlowRow &Row);
  SignedRoute sealRoute(const FlowRow &Row, Incarnation Upstream) const;
  void submit(const Message &M, const Route &R);
  void submitToFlow(FlowRow &Row, const Message &M, const Route &R,
                    RequestOrigin Origin);
  bool hasNamedSuccessors() const;
  void forwardToPeer(const Message &M, const Route &R,
                     const Endpoint &Destination, PeerMessageKind Kind);
  void rehome(const Message &M, const Route &R, ErrorKind Reason);
  void acknowledge(const Message &M, const Endpoint &To, PeerMessageKind Kind);
  void onDuplicate(const Message &M, const Endpoint &From);
  void onForwarded(const Message &M, const Endpoint &From,
                   PeerMessageKind Kind);
  void abandonForward(ForwardRow &Row, ErrorKind Reason);
  bool isSuspect(Incarnation Home) const;
  void markSuspect(Incarnation Home);
  FlowRow *takeOverFlow(const Route &R);
  void notifyMoved(const Message &M, const Route &R);

  // Planned stop (balancer-succession.cc).
  void announceSuccession();
  const Succession *findSuccession(const Route &R) const;
  bool mayAdopt(const Message &M, const Route &R) const;
  void adopt(const Message &M, const Route &R);
  void delegate(const Message &M, const Route &R, PeerMessageKind Kind);
  void checkStopped();
  const Peer *successorForOpen(const FlowKey &Flow) const;

  BalancerOptions Options_;
  std::mt19937_64 Random_;
  Counters Counters_;
  FlowTable Flows_;
  RequestTable Requests_;
  ForwardTable Forwards_;
  UpstreamTable Upstreams_;
  std::vector<ServiceState> Services_;
  std::vector<Peer> Peers_;
  std::vector<Succession> Successions_;
  Succession OwnSuccession_; ///< Set once this process announces its stop.
  std::vector<SuspectHome> SuspectHomes_;
  DeclarationPtr Declaration_;
  HostListPtr HostList_;
  Micros MaxServiceDeadline_{};

  Moment Now_{};
  const ActionSink *Sink_ = nullptr;
  MonoTime Started_{};
  MonoTime NextTickDue_{};
  MonoTime RefreshDeadline_{};
  MonoTime EarliestStop_{};
  WallTime NextSelectAt_{};
  std::uint64_t LastAttempt_ = 0;
  std::uint64_t RefreshId_ = 0; ///< Of the latest `RefreshDocuments`.
  std::uint32_t LastEpoch_ = 0;
  bool DeclarationFresh_ = false;
  bool Stopping_ = false;
  bool StoppedSent_ = false;
};

} // namespace thymewall

#endif

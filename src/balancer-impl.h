/// \file
/// The inside of the decision core. Its parts:
///   balancer.cc             events, intent, ticks
///   balancer-caller.cc      datagrams of callers
///   balancer-upstream.cc    datagrams of upstreams
///   balancer-home.cc        home epochs: submit, pass, rehome
///   balancer-succession.cc  planned stop
#ifndef THYMEWALL_SRC_BALANCER_IMPL_H
#define THYMEWALL_SRC_BALANCER_IMPL_H

#include "mechanism.h"
#include "thymewall/balancer.h"
#include "thymewall/request-table.h"

#include <random>

namespace thymewall {

/// Callers' clocks may be ahead of ours by this much.
constexpr Micros MaxClockSkew = std::chrono::seconds(1);

/// A live peer, as its heartbeats tell.
struct Peer {
  BalancerId Id_{};
  Endpoint Data_;
  Incarnation Incarnation_{};
  bool Leaving_ = false;
  MonoTime ExpiresAt_{};
};

/// A home that did not answer of late.
struct SuspectHome {
  Incarnation Home_{};
  MonoTime Until_{};
};

/// One service under the declaration in force.
struct ServiceState {
  Service Service_;
  std::vector<std::uint32_t> Selected_; ///< Indexes of its upstreams now.
  double RetryTokens_ = 0;
  Eligible Eligible_;            ///< Of `Selected_`, as of `Generation_`.
  std::uint64_t Generation_ = 0; ///< 0: to be worked out.
};

/// How a request that may not be repeated came to this process as its home.
enum class RequestOrigin : std::uint8_t {
  Own,     ///< Its route names this process.
  Adopted, ///< Its route names a home that has stopped for good.
  Replayed ///< Its home is lost, but the upstream remembers requests.
};

/// What is known of a request that is handed to an upstream.
struct DispatchOptions {
  bool AtMostOnce_ = false; ///< It may not be repeated; we are its home.
  bool SoleCopy_ = false;   ///< No other copy was or will be handed on.
  bool NewRoute_ = false;   ///< The answer brings the caller a new route.
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

  // Intent and time (balancer.cc).
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
  const Eligible &eligibleUpstreams(ServiceState &S);
  std::uint32_t chooseUpstream(const FlowKey &Key,
                               const Eligible &Candidates) const;
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

  // Answers to callers.
  void drop(ErrorKind Reason);
  void refuse(const Message &M, ErrorKind Reason, Answer StrongestAnswer,
              Bytes NewRoute = {});
  void refuseRow(const RequestRow &Row, ErrorKind Reason,
                 Answer StrongestAnswer, WallTime RetryAt = {});
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
  bool isHome(const Route &R) const { return R.Home_ == Options_.Incarnation_; }
  FlowRow *createFlow(const FlowKey &Key, std::uint32_t Upstream);
  FlowRow *findOrCreateFlow(const FlowKey &Key, std::uint32_t Upstream);
  void refreshIdleTimeout(FlowRow &Row);
  void markFlowClosed(FlowRow &Row);
  void releaseFlow(FlowRow &Row);
  SealedRoute sealRoute(const FlowRow &Row, Incarnation Upstream) const;
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
  Succession OwnSuccession_; ///< Our own statement, once made.
  std::vector<SuspectHome> SuspectHomes_;
  DeclarationPtr Declaration_;
  HostListPtr HostList_;
  Micros MaxServiceDeadline_{};

  Moment Now_{};
  const ActionSink *Sink_ = nullptr;
  MonoTime Started_{};
  MonoTime NextTickDue_{};
  MonoTime RereadDeadline_{};
  MonoTime EarliestStop_{};
  WallTime NextSelectAt_{};
  std::uint64_t LastAttempt_ = 0;
  std::uint64_t RereadId_ = 0; ///< Counts `RereadSources`.
  std::uint32_t LastEpoch_ = 0;
  bool DeclarationFresh_ = false;
  bool Stopping_ = false;
  bool StoppedSent_ = false;
};

} // namespace thymewall

#endif

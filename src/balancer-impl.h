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
constexpr Micros ClockSlack = std::chrono::seconds(1);

/// A live peer, as its heartbeats tell.
struct Peer {
  BalancerId Id_{};
  Endpoint Data_;
  Incarnation Incarnation_{};
  bool Leaving_ = false;
  MonoTime FreshUntil_{};
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
enum class Origin : std::uint8_t {
  Own,     ///< Its route names this process.
  Adopted, ///< Its route names a home that has stopped for good.
  Replayed ///< Its home is lost, but the upstream remembers requests.
};

/// What is known of a request that is handed to an upstream.
struct Handing {
  bool Once_ = false;     ///< It may not be repeated; we are its home.
  bool Only_ = false;     ///< No other copy was or will be handed on.
  bool NewRoute_ = false; ///< The answer brings the caller a new route.
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
  void on(const SourceConfirmed &E);
  void on(const HostListRead &E);
  void on(const PeerSeen &E);
  void on(const SuccessionRead &E);
  void on(const Tick &E);
  void on(const StopAsked &E);

  // Intent and time (balancer.cc).
  void noticeLateWake();
  void select();
  void applyHostList();
  bool ready() const;
  ServiceState *serviceState(ServiceId Id);
  std::uint32_t requestTick(MonoTime When) const;
  std::uint32_t flowTick(MonoTime When) const;
  std::uint32_t requestDue(WallTime Deadline) const;
  double draw();
  std::uint64_t nextAttempt();
  void reviewPeers();
  void expireRequests();
  void expireFlows();
  void expirePasses();

  // Callers (balancer-caller.cc).
  void openFlow(Message M, bool MayPass);
  void placeFlow(const Message &M, ServiceState &S);
  const Eligible &eligibleOf(ServiceState &S);
  std::uint32_t choose(const FlowKey &Key, const Eligible &Among) const;
  void sendOpen(const RequestRow &Row);
  void retryOpen(RequestRow &Row, ErrorKind Why);
  void request(const Message &M);
  void forwardRepeatable(const Message &M, const Route &R);
  void forwardStateless(const Message &M, const Route &R);
  void closeFlow(const Message &M, const Route &R);
  bool handOn(const Message &M, const Route &R, std::uint32_t Upstream,
              Handing How);
  bool overloaded(const ServiceState &S, const UpstreamRow &U) const;
  bool readRoute(const Message &M, Route &R);
  std::uint32_t holder(const Route &R);

  // Answers to callers.
  void drop(ErrorKind Why);
  void refuse(const Message &M, ErrorKind Why, ErrorResponse Bound,
              Bytes NewRoute = {});
  void refuseRow(const RequestRow &Row, ErrorKind Why, ErrorResponse Bound,
                 WallTime RetryAt = {});
  void toUpstream(const Endpoint &To, const Message &M);
  void toPeer(const Endpoint &To, PeerKind Kind, const Message &M);

  // Upstreams (balancer-upstream.cc).
  void onOpened(const Message &M, std::uint32_t Upstream);
  void onAnswer(const Message &M, std::uint32_t Upstream);
  void onRefused(const Message &M, std::uint32_t Upstream);
  void onReset(const Message &M, std::uint32_t Upstream);
  void relayToCaller(const Message &M);
  RequestRow *attemptOf(const Message &M, std::uint32_t Upstream);
  void finish(RequestRow &Row);
  void settle(RequestRow &Row);

  // Homes (balancer-home.cc).
  bool isHome(const Route &R) const {
    return R.HomeIncarnation_ == Options_.Incarnation_;
  }
  FlowRow *becomeHome(const FlowKey &Key, std::uint32_t Upstream);
  FlowRow *homeOf(const FlowKey &Key, std::uint32_t Upstream);
  void touch(FlowRow &Row);
  void closeRow(FlowRow &Row);
  void forgetFlow(FlowRow &Row);
  SignedRoute routeOf(const FlowRow &Row, Incarnation Upstream) const;
  void submit(const Message &M, const Route &R);
  void submitToRow(FlowRow &Row, const Message &M, const Route &R, Origin From);
  bool stoppedHandingOn() const;
  void pass(const Message &M, const Route &R, const Endpoint &Home,
            PeerKind Kind);
  void rehome(const Message &M, const Route &R, ErrorKind Why);
  void confirm(const Message &M, const Endpoint &To, PeerKind Kind);
  void onRepeated(const Message &M, const Endpoint &From);
  void onPassed(const Message &M, const Endpoint &From, PeerKind Kind);
  void givePassUp(PassRow &Row, ErrorKind Why);
  bool suspects(Incarnation Home) const;
  void suspect(Incarnation Home);
  FlowRow *moveHere(const Route &R);
  void tellMoved(const Message &M, const Route &R);

  // Planned stop (balancer-succession.cc).
  void declareSuccession();
  const Succession *successionOf(const Route &R) const;
  bool mayAdopt(const Message &M, const Route &R) const;
  void adopt(const Message &M, const Route &R);
  void delegate(const Message &M, const Route &R, PeerKind Kind);
  void checkStopped();
  const Peer *openSuccessor(const FlowKey &Flow) const;

  BalancerOptions Options_;
  std::mt19937_64 Random_;
  Counters Counters_;
  FlowTable Flows_;
  RequestTable Requests_;
  PassTable Passes_;
  UpstreamTable Upstreams_;
  std::vector<ServiceState> Services_;
  std::vector<Peer> Peers_;
  std::vector<Succession> Successions_;
  Succession StopBySuccessors_; ///< Our own statement, once made.
  std::vector<SuspectHome> SuspectHomes_;
  DeclarationPtr Declaration_;
  HostListPtr HostList_;
  Micros LongestDeadlineSeen_{};

  Moment Now_{};
  const ActionSink *Sink_ = nullptr;
  MonoTime Started_{};
  MonoTime NextTickBy_{};
  MonoTime TrustOldIntentAt_{};
  MonoTime StopBy_{};
  WallTime NextSelectAt_{};
  std::uint64_t Attempts_ = 0;
  std::uint64_t Asked_ = 0; ///< Counts `RereadSources`.
  std::uint32_t Epochs_ = 0;
  bool Fresh_ = false;
  bool Stopping_ = false;
  bool StoppedTold_ = false;
};

} // namespace thymewall

#endif

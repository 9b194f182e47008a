#include "packet-process-impl.h"

#include "clock.h"
#include "thymewall/log.h"

#include <algorithm>

namespace thymewall::detail {

void PacketProcess::Impl::startConfigCall(MonoTime Now) {
  ConfigReader_.noteRevision(Gossip_.through());
  std::optional<ConfigRequest> Request =
      ConfigReader_.next(Now, Gossip_.nextReadAt());
  if (!Request)
    return;
  ++ServiceCalls_;
  if (Request->Kind_ == ConfigRequest::Kind::List)
    Gossip_.listReadStarted(Now);
  ConfigClient_(*Request, [this](const ConfigResponse &Response) {
    onConfigResponse(Response);
  });
}

void PacketProcess::Impl::onConfigResponse(const ConfigResponse &Response) {
  MonoTime Now = monoNow();
  ConfigReader_.answered(Now, Response, Gossip_.callers());
  bool Done = Response.Outcome_ == ConfigResponse::Outcome::Done;
  bool Stale = Response.Outcome_ == ConfigResponse::Outcome::Stale;
  ServiceLog_.answered(Now, Response);
  RefusedItems_ += Response.RefusedItems_;
  AdjustedValues_ += Response.AdjustedValues_;
  UnreadablePages_ += Response.UnreadablePages_;
  if (!Done && !Stale) {
    ++ServiceFailures_;
    Gossip_.partialListRead(Now, Response);
  }
  if (Stale)
    Gossip_.staleListRead(Now, Response);
  else if (!Done)
    Gossip_.readFailed(Now, Response);
  else if (!Gossip_.readSucceeded(Now, Response, ConfigReader_.completeAt()))
    ConfigReader_.requestList();
  runDueWork();
}

PeerLinkHooks PacketProcess::Impl::linkHooks() {
  PeerLinkHooks Hooks;
  Hooks.OnOpen_ = [this](LinkId Link, const std::string &Target) {
    Health_.opened(Link);
    Gossip_.opened(monoNow(), Link, !Target.empty());
  };
  Hooks.OnMessage_ = [this](LinkId Link, const std::string &Bytes) {
    onPeerMessage(Link, Bytes);
  };
  Hooks.OnClose_ = [this](LinkId Link) {
    Health_.closed(Link);
    Gossip_.closed(monoNow(), Link);
  };
  Hooks.OnPong_ = [this](LinkId Link, const std::string &Bytes) {
    onPong(Link, Bytes);
  };
  Hooks.OnConnectFailed_ = [this](const std::string &Target) {
    Gossip_.connectFailed(monoNow(), parseEndpoint(Target));
  };
  return Hooks;
}

CheckerHooks PacketProcess::Impl::checkerHooks() {
  CheckerHooks Hooks;
  Hooks.OnResult_ = [this](Incarnation Upstream, CheckResult Result,
                           MonoTime StartedAt) {
    Core_.onCheckResult(monoNow(), Upstream, Result, StartedAt);
  };
  Hooks.ProbePeers_ = [this] { return probePeers(); };
  Hooks.ProbeAnswered_ = [this](MonoTime ProbedAt) {
    // A balancer without peers has no one to probe.
    return Gossip_.counters().Members_ == 0 || Probes_.answeredSince(ProbedAt);
  };
  return Hooks;
}

void PacketProcess::Impl::onPeerMessage(LinkId Link, const std::string &Bytes) {
  MonoTime Now = monoNow();
  GossipMessage M;
  ErrorKind Kind = decodeGossip(Bytes, Now, M);
  if (Kind == ErrorKind::None) {
    Traffic_.received(M, Bytes.size());
    Gossip_.received(Now, Link, M);
    return checkReady();
  }
  logState("peer_message_refused",
           {{"reason", std::string(errorRow(Kind).Name_)}});
  Links_.close(Link);
}

void PacketProcess::Impl::logFirstConfirmation() {
  if (FirstConfirmationLogged_)
    return;
  FirstConfirmationLogged_ = true;
  logState("knowledge_current", {{"revision", Gossip_.through()}});
}

GossipHooks PacketProcess::Impl::gossipHooks() {
  GossipHooks Hooks;
  Hooks.Send_ = [this](LinkId Link, const GossipMessage &M) {
    std::string Bytes = encodeGossip(M, monoNow());
    Traffic_.sent(M, Bytes.size());
    Links_.send(Link, Bytes);
  };
  Hooks.Connect_ = [this](const Endpoint &Control) {
    Links_.connect(formatEndpoint(Control));
  };
  Hooks.Close_ = [this](LinkId Link) { Links_.close(Link); };
  Hooks.OnRouting_ = [this](const RoutingTablePtr &Table) {
    Routing_ = Table;
    logRouting(*Table);
    Core_.setRouting(monoNow(), Table);
    scheduleQueueTimer();
  };
  Hooks.OnUpstreams_ = [this](const std::vector<UpstreamChange> &Changes,
                              MonoTime MayReturnUntil) {
    if (Changes.size() > PacketBalancer::MaxIndividualEvents)
      logUpstreamSummary(Changes, Gossip_.through());
    Core_.applyUpstreams(monoNow(), Changes, MayReturnUntil);
    if (ReadyLogged_)
      releaseHeldPackets();
  };
  Hooks.OnOutageEnded_ = logServiceOutage;
  Hooks.OnEvacuations_ = [this](const std::vector<EvacuationChange> &Changes) {
    Core_.applyEvacuations(monoNow(), Changes);
    std::for_each(Changes.begin(), Changes.end(), logEvacuation);
  };
  Hooks.OnWarning_ = [this](const UpstreamWarning &M) {
    Core_.onPeerWarning(monoNow(), M);
  };
  Hooks.OnPeerJoined_ = [this](MonoTime At) { Core_.onBalancerJoined(At); };
  Hooks.OnLag_ = [this](const StateLag &Lag, bool IsBehind) {
    logStateLag(Lag, IsBehind, Gossip_.through(),
                monoNow() - Gossip_.confirmedAsOf());
  };
  Hooks.OnConfirmed_ = [this](MonoTime AsOf) {
    logFirstConfirmation();
    Core_.confirmUpTo(AsOf);
    scheduleQueueTimer();
    ServiceLog_.confirmed(AsOf);
  };
  return Hooks;
}

} // namespace thymewall::detail

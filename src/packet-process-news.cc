#include "packet-process-impl.h"

#include "clock.h"
#include "thymewall/log.h"

#include <algorithm>
#include <charconv>

namespace thymewall::detail {

void PacketProcess::Impl::startCall(MonoTime Now) {
  Reader_.known(News_.through());
  std::optional<IntentCall> Call = Reader_.next(Now, News_.readFrom());
  if (!Call)
    return;
  ++ServiceCalls_;
  if (Call->Kind_ == IntentCall::Kind::List)
    News_.readingList(Now);
  Call_(*Call, [this](const IntentAnswer &Answer) { onAnswer(Answer); });
}

void PacketProcess::Impl::onAnswer(const IntentAnswer &Answer) {
  MonoTime Now = monoNow();
  Reader_.answered(Now, Answer, News_.fleetSize());
  bool Done = Answer.Outcome_ == IntentAnswer::Outcome::Done;
  bool Stale = Answer.Outcome_ == IntentAnswer::Outcome::Stale;
  ServiceLog_.answered(Now, Answer);
  RefusedItems_ += Answer.RefusedItems_;
  if (!Done && !Stale)
    ++ServiceFailures_;
  if (Stale)
    News_.readStale(Now, Answer);
  else if (!Done)
    News_.readFailed();
  else if (!News_.readDone(Now, Answer, Reader_.completeAt()))
    Reader_.listAgain();
  review();
}

PeerLinkHooks PacketProcess::Impl::linkHooks() {
  PeerLinkHooks Hooks;
  Hooks.OnOpen_ = [this](LinkId Link, const std::string &Target) {
    News_.opened(monoNow(), Link, !Target.empty());
  };
  Hooks.OnMessage_ = [this](LinkId Link, const std::string &Bytes) {
    onPeerMessage(Link, Bytes);
  };
  Hooks.OnClose_ = [this](LinkId Link) { News_.closed(monoNow(), Link); };
  Hooks.OnPong_ = [this](const std::string &Bytes) { onPong(Bytes); };
  Hooks.OnFailed_ = [this](const std::string &Target) {
    News_.connectFailed(monoNow(), parseEndpoint(Target));
  };
  return Hooks;
}

CheckerHooks PacketProcess::Impl::checkerHooks() {
  CheckerHooks Hooks;
  Hooks.OnResult_ = [this](Incarnation Upstream, CheckResult Result,
                           MonoTime Began) {
    Core_.checked(monoNow(), Upstream, Result, Began);
  };
  Hooks.AskPeers_ = [this] { return askPeers(); };
  Hooks.PeersAnswered_ = [this](MonoTime AskedAt) {
    // A balancer without peers has nobody to ask.
    return News_.counters().Members_ == 0 || Path_.answeredSince(AskedAt);
  };
  return Hooks;
}

/// A ping carries the time of its question, which only this process reads.
MonoTime PacketProcess::Impl::askPeers() {
  MonoTime Now = monoNow();
  if (Path_.wantsQuestion(Now))
    Links_.pingAll(std::to_string(Now.time_since_epoch().count()));
  return Path_.askedAt();
}

void PacketProcess::Impl::onPong(const std::string &Bytes) {
  Micros::rep AskedAt = 0;
  const char *End = Bytes.data() + Bytes.size();
  if (std::from_chars(Bytes.data(), End, AskedAt).ec == std::errc())
    Path_.answered(MonoTime(Micros(AskedAt)), monoNow());
}

void PacketProcess::Impl::onPeerMessage(LinkId Link, const std::string &Bytes) {
  MonoTime Now = monoNow();
  NewsMessage M;
  ErrorKind Kind = decodeNews(Bytes, Now, M);
  if (Kind == ErrorKind::None) {
    Traffic_.received(M, Bytes.size());
    News_.received(Now, Link, M);
    return noteReady();
  }
  logState("peer_message_refused",
           {{"reason", std::string(errorRow(Kind).Name_)}});
  Links_.close(Link);
}

/// The end of a start: until then a stale list was all that was known.
void PacketProcess::Impl::noteCurrent() {
  if (CurrentTold_)
    return;
  CurrentTold_ = true;
  logState("knowledge_current", {{"revision", News_.through()}});
}

NewsHooks PacketProcess::Impl::newsHooks() {
  NewsHooks Hooks;
  Hooks.Send_ = [this](LinkId Link, const NewsMessage &M) {
    std::string Bytes = encodeNews(M, monoNow());
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
  };
  Hooks.OnUpstreams_ = [this](const std::vector<UpstreamChange> &Changes,
                              bool MayReturn) {
    if (Changes.size() > PacketBalancer::NamedOneByOne)
      logUpstreams(Changes, News_.through());
    Core_.applyUpstreams(monoNow(), Changes, MayReturn);
    if (ReadyTold_)
      releaseHeld();
  };
  Hooks.OnEvacuations_ = [this](const std::vector<EvacuationChange> &Changes) {
    Core_.applyEvacuations(monoNow(), Changes);
    std::for_each(Changes.begin(), Changes.end(), logEvacuation);
  };
  Hooks.OnWarning_ = [this](const UpstreamWarning &M) {
    Core_.warned(monoNow(), M);
  };
  Hooks.OnArrival_ = [this](MonoTime At) { Core_.arrived(At); };
  Hooks.OnConfirmed_ = [this](MonoTime AsOf) {
    noteCurrent();
    Core_.confirm(AsOf);
    ServiceLog_.confirmed(AsOf);
  };
  return Hooks;
}

} // namespace thymewall::detail

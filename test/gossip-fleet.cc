#include "gossip-fleet.h"

#include <algorithm>

namespace thymewall::test {

namespace {

using namespace std::chrono_literals;

constexpr Micros LinkDelay = 1ms;
constexpr Micros ServiceDelay = 4ms;
constexpr Micros TickInterval = 250ms;
/// As `HttpClient::MaxIdleTime`.
constexpr Micros MaxIdleTime = 1s;

/// Interval at which a simulated watch checks for changes.
constexpr Micros WatchPollInterval = 5ms;

} // namespace

GossipFleet::GossipFleet(std::size_t Count, std::size_t Halls,
                         MemberHooks Hooks)
    : Nodes_(Count), Halls_(Halls), MemberHooks_(std::move(Hooks)) {
  Table_.Version_ = 1;
  for (int I = 0; I < 5; ++I)
    publish();
  for (std::size_t Which = 0; Which < Count; ++Which)
    start(Which);
}

Member GossipFleet::member(std::size_t Which) const {
  return {"lb-" + std::to_string(Which),
          "hall-" + std::to_string(Which % Halls_),
          Endpoint::v4(static_cast<std::uint32_t>(Which + 1), 8166), 0};
}

void GossipFleet::start(std::size_t Which) {
  Node &N = Nodes_[Which];
  ++N.StartCount_;
  N.Alive_ = true;
  N.Routing_ = 0;
  N.Evacuated_.clear();
  N.Listed_.clear();
  N.UpstreamsReceived_ = 0;
  N.Links_.clear();
  N.Deferred_.clear();
  if (MemberHooks_.OnStart_)
    MemberHooks_.OnStart_(Which);
  GossipOptions Options{member(Which), {}};
  for (std::size_t Seed = 0; Seed < std::min<std::size_t>(3, size()); ++Seed)
    Options.Seeds_.push_back(member(Seed).Control_);
  N.Gossip_ = std::make_unique<GossipNode>(Options, hooks(Which));
  N.Reader_ = std::make_unique<ConfigReader>(
      static_cast<double>(Which) / static_cast<double>(Nodes_.size()),
      Which < Options.Seeds_.size());
  tick(Which);
}

Revision GossipFleet::publish() {
  Revision R = Log_.size() + 1;
  Incarnation Which{(R + 1) / 2};
  if (R % 2 == 0)
    return publish(Which, std::nullopt);
  UpstreamEntry E;
  E.Incarnation_ = Which;
  E.Address_ = Endpoint::v4(static_cast<std::uint32_t>(R), 9000);
  return publish(Which, E);
}

Revision GossipFleet::publish(Incarnation Which,
                              const std::optional<UpstreamEntry> &Entry) {
  Log_.push_back({Which, Log_.size() + 1, Entry});
  if (Entry)
    Log_.back().Entry_->Part_ =
        static_cast<std::uint8_t>(hashPair(raw(Which), 0));
  PublishedAt_.push_back(Events_.now());
  return Log_.size();
}

Revision GossipFleet::publishEvacuation(const std::string &DataHall,
                                        bool Evacuated) {
  publish(Incarnation{0}, std::nullopt); // reserves a revision
  EvacuationLog_.push_back({DataHall, Log_.size(), Evacuated});
  return Log_.size();
}

Version GossipFleet::publishRouting() { return publishRouting(Table_); }

Version GossipFleet::publishRouting(const RoutingTable &Table) {
  publish(); // reserves a revision
  RoutingAt_ = Log_.size();
  Version Next = Table_.Version_ + 1;
  Table_ = Table;
  Table_.Version_ = Next;
  return Next;
}

void GossipFleet::runOnNode(std::size_t Which, std::function<void()> Do) {
  Micros Interval = Nodes_[Which].ReadInterval_;
  if (Interval == Micros(0))
    return runUnlessSuspended(Which, std::move(Do));
  // Processes don't read at the same moments.
  Micros Phase = Interval * static_cast<Micros::rep>(Which * 7919 % 100) / 100;
  Events_.after(Interval - (now() + Phase) % Interval,
                [=, StartCount = Nodes_[Which].StartCount_] {
                  if (Nodes_[Which].StartCount_ == StartCount)
                    runUnlessSuspended(Which, Do);
                });
}

void GossipFleet::runUnlessSuspended(std::size_t Which,
                                     std::function<void()> Do) {
  Node &N = Nodes_[Which];
  if (!N.Alive_)
    return;
  if (N.Suspended_)
    N.Deferred_.push_back(std::move(Do));
  else
    Do();
}

void GossipFleet::setSuspended(std::size_t Which, bool Suspended) {
  Node &N = Nodes_[Which];
  N.Suspended_ = Suspended;
  if (Suspended)
    return;
  std::vector<std::function<void()>> Held;
  Held.swap(N.Deferred_);
  for (const auto &Do : Held)
    Do();
}

void GossipFleet::setRefused(std::size_t Which, bool Refused) {
  Nodes_[Which].Refused_ = Refused;
}

void GossipFleet::setUnresponsive(std::size_t Which, bool Unresponsive) {
  Nodes_[Which].Unresponsive_ = Unresponsive;
}

void GossipFleet::setBlocked(std::size_t A, std::size_t B, bool Blocked) {
  for (auto Pair : {std::make_pair(A, B), std::make_pair(B, A)}) {
    if (Blocked) {
      Blocked_.insert(Pair);
      continue;
    }
    Blocked_.erase(Pair);
    for (const auto &Do : BlockedMessages_[Pair])
      Events_.after(LinkDelay, Do);
    BlockedMessages_[Pair].clear();
  }
}

void GossipFleet::silenceServiceConnections() {
  for (Node &N : Nodes_) {
    N.CallsLostBefore_ = Events_.now();
    N.ConnectionSilent_ = true;
  }
}

void GossipFleet::blackholeConnections() {
  for (Node &N : Nodes_) {
    for (const auto &[Link, Peer] : N.Links_)
      N.DeadLinks_.insert(Link);
    N.CallsLostBefore_ = Events_.now();
  }
}

void GossipFleet::kill(std::size_t Which) {
  Node &N = Nodes_[Which];
  N.Alive_ = false;
  auto Links = N.Links_;
  for (const auto &[Link, Peer] : Links)
    unlink(Which, Link);
}

void GossipFleet::restart(std::size_t Which) { start(Which); }

GossipHooks GossipFleet::hooks(std::size_t Which) {
  GossipHooks Hooks;
  Hooks.Send_ = [this, Which](LinkId Link, const GossipMessage &M) {
    deliver(Which, Link, encodeGossip(M, Events_.now()));
  };
  Hooks.Connect_ = [this, Which](const Endpoint &To) { connect(Which, To); };
  Hooks.Close_ = [this, Which](LinkId Link) {
    Events_.after(LinkDelay, [this, Which, Link] { unlink(Which, Link); });
  };
  Hooks.OnRouting_ = [this, Which](const RoutingTablePtr &Table) {
    Nodes_[Which].Routing_ = Table->Version_;
    if (MemberHooks_.OnRouting_)
      MemberHooks_.OnRouting_(Which, Table);
  };
  Hooks.OnUpstreams_ = [this, Which](const std::vector<UpstreamChange> &Changes,
                                     MonoTime MayReturnUntil) {
    Nodes_[Which].MayReturn_ = MayReturnUntil > Events_.now();
    for (const UpstreamChange &Change : Changes) {
      if (Change.Entry_ && !Change.Ended_)
        Nodes_[Which].Listed_.insert(Change.Incarnation_);
      else
        Nodes_[Which].Listed_.erase(Change.Incarnation_);
    }
    if (MemberHooks_.OnUpstreams_)
      MemberHooks_.OnUpstreams_(Which, Changes, MayReturnUntil);
  };
  Hooks.OnEvacuations_ = [this,
                          Which](const std::vector<EvacuationChange> &Changes) {
    for (const EvacuationChange &Change : Changes) {
      if (Change.Evacuated_)
        Nodes_[Which].Evacuated_.insert(Change.DataHall_);
      else
        Nodes_[Which].Evacuated_.erase(Change.DataHall_);
    }
    if (MemberHooks_.OnEvacuations_)
      MemberHooks_.OnEvacuations_(Which, Changes);
  };
  Hooks.OnWarning_ = [this, Which](const UpstreamWarning &M) {
    Nodes_[Which].Warnings_.push_back(M);
  };
  Hooks.OnPeerJoined_ = [this, Which](MonoTime At) {
    if (MemberHooks_.OnPeerJoined_)
      MemberHooks_.OnPeerJoined_(Which, At);
  };
  Hooks.OnConfirmed_ = [this, Which](MonoTime AsOf) {
    checkConfirmation(Which, AsOf);
    if (MemberHooks_.OnConfirmed_)
      MemberHooks_.OnConfirmed_(Which, AsOf);
  };
  return Hooks;
}

void GossipFleet::checkConfirmation(std::size_t Which, MonoTime AsOf) {
  Revision Knows = Nodes_[Which].Gossip_->through();
  if (Knows < PublishedAt_.size() && PublishedAt_[Knows] < AsOf)
    WorstConfirmationError_ =
        std::max(WorstConfirmationError_, AsOf - PublishedAt_[Knows]);
}

void GossipFleet::connect(std::size_t From, const Endpoint &Control) {
  std::size_t To = Control.Ip_[14] * 256U + Control.Ip_[15] - 1U;
  std::uint64_t StartCount = Nodes_[From].StartCount_;
  Events_.after(2 * LinkDelay, [this, From, To, Control, StartCount] {
    Node &Local = Nodes_[From];
    if (!Local.Alive_ || Local.StartCount_ != StartCount)
      return;
    bool Reached = Nodes_[To].Alive_ && Blocked_.count({From, To}) == 0;
    if (!Reached)
      return runOnNode(From, [this, From, Control] {
        Nodes_[From].Gossip_->connectFailed(Events_.now(), Control);
      });
    auto LocalLink = static_cast<LinkId>(++LastLink_);
    auto RemoteLink = static_cast<LinkId>(++LastLink_);
    Local.Links_[LocalLink] = {To, RemoteLink};
    Nodes_[To].Links_[RemoteLink] = {From, LocalLink};
    for (Node *N : {&Local, &Nodes_[To]})
      N->MaxLinks_ = std::max(N->MaxLinks_, N->Links_.size());
    runOnNode(From, [=] {
      Nodes_[From].Gossip_->opened(Events_.now(), LocalLink, true);
    });
    runOnNode(To, [=] {
      Nodes_[To].Gossip_->opened(Events_.now(), RemoteLink, false);
    });
  });
}

void GossipFleet::deliver(std::size_t From, LinkId Link,
                          const std::string &Bytes) {
  auto Known = Nodes_[From].Links_.find(Link);
  if (Known == Nodes_[From].Links_.end())
    return;
  if (Nodes_[From].DeadLinks_.count(Link) != 0)
    return;
  BytesSent_ += Bytes.size();
  auto [To, RemoteLink] = Known->second;
  auto Arrive = [this, To = To, RemoteLink = RemoteLink, Bytes] {
    runOnNode(To, [=] {
      GossipMessage M;
      bool Open = Nodes_[To].Links_.count(RemoteLink) != 0;
      if (Open && decodeGossip(Bytes, Events_.now(), M) == ErrorKind::None) {
        if (const auto *Update = std::get_if<StateUpdate>(&M))
          Nodes_[To].UpstreamsReceived_ += Update->Upstreams_.Changes_.size();
        Nodes_[To].Gossip_->received(Events_.now(), RemoteLink, M);
      }
      pollReader(To);
    });
  };
  if (Blocked_.count({From, To}) != 0)
    BlockedMessages_[{From, To}].push_back(Arrive);
  else
    Events_.after(LinkDelay, Arrive);
}

void GossipFleet::unlink(std::size_t Which, LinkId Link) {
  auto Known = Nodes_[Which].Links_.find(Link);
  if (Known == Nodes_[Which].Links_.end())
    return;
  auto [Peer, RemoteLink] = Known->second;
  bool LinkDead = Nodes_[Which].DeadLinks_.count(Link) != 0;
  Nodes_[Which].Links_.erase(Known);
  runOnNode(Which, [=] { Nodes_[Which].Gossip_->closed(Events_.now(), Link); });
  if (LinkDead)
    return; // the peer isn't notified
  Nodes_[Peer].Links_.erase(RemoteLink);
  runOnNode(Peer, [this, Peer = Peer, RemoteLink = RemoteLink] {
    Nodes_[Peer].Gossip_->closed(Events_.now(), RemoteLink);
  });
}

void GossipFleet::tick(std::size_t Which) {
  std::uint64_t StartCount = Nodes_[Which].StartCount_;
  runOnNode(Which, [=] {
    if (Nodes_[Which].StartCount_ != StartCount)
      return;
    Nodes_[Which].Gossip_->tick(Events_.now());
    if (MemberHooks_.OnTick_)
      MemberHooks_.OnTick_(Which);
    pollReader(Which);
    Events_.after(TickInterval, [=] { tick(Which); });
  });
}

void GossipFleet::pollReader(std::size_t Which) {
  Node &N = Nodes_[Which];
  N.Reader_->noteRevision(N.Gossip_->through());
  if (N.Gossip_->callers() == 1)
    N.Reader_->noOtherCallers(Events_.now());
  auto Request = N.Reader_->next(Events_.now(), N.Gossip_->nextReadAt());
  if (Request) {
    if (Request->Kind_ == ConfigRequest::Kind::List)
      N.Gossip_->listReadStarted(Events_.now());
    ++(Request->Kind_ == ConfigRequest::Kind::StaleList ? StaleCalls_ : Calls_);
    LastReader_ = Which;
    serve(Which, *Request, Events_.now());
    return;
  }
  // The next call is due before the next tick.
  MonoTime Due = N.Reader_->dueAt(N.Gossip_->nextReadAt());
  if (Due > Events_.now() && Due < Events_.now() + TickInterval)
    Events_.after(Due - Events_.now(), [=, StartCount = N.StartCount_] {
      if (Nodes_[Which].StartCount_ == StartCount)
        runOnNode(Which, [=] { pollReader(Which); });
    });
}

void GossipFleet::serve(std::size_t Which, const ConfigRequest &Request,
                        MonoTime Began) {
  std::uint64_t StartCount = Nodes_[Which].StartCount_;
  auto Reply = [=](Micros Delay, const ConfigResponse &Response) {
    Events_.after(Delay, [=] {
      if (Nodes_[Which].StartCount_ != StartCount)
        return;
      runOnNode(Which, [=] {
        handleResponse(Which, Response);
        pollReader(Which);
      });
    });
  };
  bool OnSilent =
      Nodes_[Which].ConnectionSilent_ && Began < Nodes_[Which].ConnectedUntil_;
  bool Lost = Began < Nodes_[Which].CallsLostBefore_ || OnSilent;
  if (Nodes_[Which].Unresponsive_ || Lost) {
    auto [Response, EndsAt] = unanswered(Which, Request, Began);
    return Reply(std::max(EndsAt - Events_.now(), Micros(0)), Response);
  }
  std::size_t &CallsToRefuse = Nodes_[Which].CallsToRefuse_;
  if (Nodes_[Which].Refused_ || ServiceDown_ || CallsToRefuse > 0) {
    CallsToRefuse -= std::min<std::size_t>(CallsToRefuse, 1);
    ConfigResponse Refused;
    Refused.Outcome_ = ConfigResponse::Outcome::Refused;
    return Reply(ServiceDelay, Refused);
  }
  if (Request.Kind_ == ConfigRequest::Kind::Watch &&
      Request.After_ < HistoryFrom_) {
    ConfigResponse Gone;
    Gone.Outcome_ = ConfigResponse::Outcome::HistoryGone;
    return Reply(ServiceDelay, Gone);
  }
  bool HasChanges = Request.Kind_ != ConfigRequest::Kind::Watch ||
                    Log_.size() > Request.After_;
  if (HasChanges || Events_.now() >= Request.WaitUntil_) {
    ConfigResponse Response = currentResponse(Request);
    UpstreamsServed_ += Response.Batch_.Changes_.size();
    bool FullList = Request.Kind_ == ConfigRequest::Kind::List;
    return Reply(ServiceDelay + (FullList ? ListDelay_ : Micros(0)), Response);
  }
  Events_.after(WatchPollInterval, [=] {
    if (Nodes_[Which].Alive_ && Nodes_[Which].StartCount_ == StartCount)
      serve(Which, Request, Began);
  });
}

/// As the HTTP client: only silence on a new connection says something about
/// the service.
std::pair<ConfigResponse, MonoTime>
GossipFleet::unanswered(std::size_t Which, const ConfigRequest &Request,
                        MonoTime Began) {
  ConfigResponse Response;
  bool Persistent = Began < Nodes_[Which].ConnectedUntil_;
  Nodes_[Which].ConnectedUntil_ = MonoTime{};
  Nodes_[Which].ConnectionSilent_ = false;
  if (!Persistent)
    Response.FailingSince_ = Began;
  bool Short = Persistent && Request.Kind_ == ConfigRequest::Kind::Watch;
  return {Response, Short ? Request.PersistentGiveUpAt_ : Request.GiveUpAt_};
}

ConfigResponse
GossipFleet::currentResponse(const ConfigRequest &Request) const {
  ConfigResponse Response;
  Response.Outcome_ = ConfigResponse::Outcome::Done;
  Response.Batch_.IsSnapshot_ = Request.Kind_ != ConfigRequest::Kind::Watch;
  Response.Batch_.After_ = Request.After_;
  Response.Batch_.Through_ = Log_.size();
  bool Stale = Request.Kind_ == ConfigRequest::Kind::StaleList;
  std::size_t End = Log_.size();
  while (Stale && End > 0 &&
         PublishedAt_[End - 1] > Events_.now() - StaleListAge_)
    --End;
  std::map<Incarnation, UpstreamChange> Last;
  for (std::size_t I = Request.After_; I < End; ++I)
    Last[Log_[I].Incarnation_] = Log_[I];
  for (const auto &[Which, Change] : Last)
    if (Change.Entry_ || !Response.Batch_.IsSnapshot_)
      Response.Batch_.Changes_.push_back(Change);
  if (Response.Batch_.IsSnapshot_ || RoutingAt_ > Request.After_) {
    Response.Routing_ = std::make_shared<RoutingTable>(Table_);
  }
  Response.Evacuations_ = currentEvacuations(Request, End);
  if (Stale) {
    Response.Outcome_ = ConfigResponse::Outcome::Stale;
    Response.Batch_.IsSnapshot_ = false;
    Response.Batch_.Through_ = 0;
    Response.Evacuations_.IsSnapshot_ = false;
    Response.Evacuations_.Through_ = 0;
    keepReadParts(Request, Response);
  }
  return Response;
}

/// Reduces a long stale list to the parts that a start reads.
void GossipFleet::keepReadParts(const ConfigRequest &Request,
                                ConfigResponse &Response) const {
  std::array<std::size_t, ListPartCount> Sizes{};
  for (const UpstreamChange &Change : Response.Batch_.Changes_)
    ++Sizes[Change.Entry_->Part_];
  PartReadPlan Plan(Request.FirstPart_);
  do
    Plan.addPart(Sizes[Plan.nextPart()]);
  while (!Plan.listIsShort() && !Plan.hasEnough());
  if (Plan.listIsShort())
    return;
  Response.Parts_ = Plan.parts();
  std::vector<UpstreamChange> &Changes = Response.Batch_.Changes_;
  Changes.erase(std::remove_if(Changes.begin(), Changes.end(),
                               [&Response](const UpstreamChange &Change) {
                                 return !Response.Parts_->test(
                                     Change.Entry_->Part_);
                               }),
                Changes.end());
}

EvacuationBatch GossipFleet::currentEvacuations(const ConfigRequest &Request,
                                                Revision End) const {
  EvacuationBatch Batch;
  Batch.IsSnapshot_ = Request.Kind_ != ConfigRequest::Kind::Watch;
  Batch.Through_ = End;
  std::map<std::string, EvacuationChange> Last;
  for (const EvacuationChange &Change : EvacuationLog_)
    if (Change.Revision_ > Request.After_ && Change.Revision_ <= End)
      Last[Change.DataHall_] = Change;
  for (const auto &[DataHall, Change] : Last)
    if (Change.Evacuated_ || !Batch.IsSnapshot_)
      Batch.Changes_.push_back(Change);
  return Batch;
}

void GossipFleet::handleResponse(std::size_t Which, ConfigResponse Response) {
  Node &N = Nodes_[Which];
  if (Response.Outcome_ == ConfigResponse::Outcome::Refused)
    Response.FailingSince_ = Events_.now();
  N.Reader_->answered(Events_.now(), Response, N.Gossip_->callers());
  if (Response.Outcome_ != ConfigResponse::Outcome::Failed)
    N.ConnectedUntil_ = Events_.now() + MaxIdleTime;
  if (Response.Outcome_ == ConfigResponse::Outcome::Stale)
    N.Gossip_->staleListRead(Events_.now(), Response);
  else if (Response.Outcome_ != ConfigResponse::Outcome::Done)
    N.Gossip_->readFailed(Events_.now(), Response);
  else if (!N.Gossip_->readSucceeded(Events_.now(), Response,
                                     N.Reader_->completeAt()))
    N.Reader_->requestList();
}

bool GossipFleet::allEvacuated(const std::set<std::string> &Halls) const {
  return std::all_of(Nodes_.begin(), Nodes_.end(), [&Halls](const Node &N) {
    return !N.Alive_ || N.Evacuated_ == Halls;
  });
}

bool GossipFleet::allKnow(Revision R) const {
  for (const Node &N : Nodes_)
    if (N.Alive_ && N.Gossip_->through() < R)
      return false;
  return true;
}

} // namespace thymewall::test

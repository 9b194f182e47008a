#include "news-fleet.h"

#include <algorithm>

namespace thymewall::test {

namespace {

using namespace std::chrono_literals;

constexpr Micros LinkDelay = 1ms;
constexpr Micros ServiceDelay = 4ms;
constexpr Micros TickEvery = 250ms;

/// How often a waiting watch looks for news: the service's own quickness.
constexpr Micros WatchLook = 5ms;

} // namespace

NewsFleet::NewsFleet(std::size_t Count, std::size_t Halls, MemberHooks Beside)
    : Nodes_(Count), Halls_(Halls), Beside_(std::move(Beside)) {
  Table_.Version_ = 1;
  for (int I = 0; I < 5; ++I)
    publish();
  for (std::size_t Which = 0; Which < Count; ++Which)
    start(Which);
}

Member NewsFleet::member(std::size_t Which) const {
  return {"lb-" + std::to_string(Which),
          "hall-" + std::to_string(Which % Halls_),
          Endpoint::v4(static_cast<std::uint32_t>(Which + 1), 8166), 0};
}

void NewsFleet::start(std::size_t Which) {
  Node &N = Nodes_[Which];
  ++N.Life_;
  N.Alive_ = true;
  N.Routing_ = 0;
  N.Evacuated_.clear();
  N.Listed_.clear();
  N.UpstreamsTold_ = 0;
  N.Links_.clear();
  N.Held_.clear();
  if (Beside_.OnStart_)
    Beside_.OnStart_(Which);
  NewsOptions Options{member(Which), {}};
  for (std::size_t Seed = 0; Seed < std::min<std::size_t>(3, size()); ++Seed)
    Options.Seeds_.push_back(member(Seed).Control_);
  N.News_ = std::make_unique<NewsExchange>(Options, hooks(Which));
  N.Reader_ = std::make_unique<IntentReader>(
      static_cast<double>(Which) / static_cast<double>(Nodes_.size()),
      Which < Options.Seeds_.size());
  tick(Which);
}

Revision NewsFleet::publish() {
  Revision R = Log_.size() + 1;
  Incarnation Which{(R + 1) / 2};
  if (R % 2 == 0)
    return publish(Which, std::nullopt);
  UpstreamEntry E;
  E.Incarnation_ = Which;
  E.At_ = Endpoint::v4(static_cast<std::uint32_t>(R), 9000);
  return publish(Which, E);
}

Revision NewsFleet::publish(Incarnation Which,
                            const std::optional<UpstreamEntry> &Entry) {
  Log_.push_back({Which, Log_.size() + 1, Entry});
  if (Entry)
    Log_.back().Entry_->Part_ =
        static_cast<std::uint8_t>(hashPair(raw(Which), 0));
  PublishedAt_.push_back(Events_.now());
  return Log_.size();
}

Revision NewsFleet::publishEvacuation(const std::string &DataHall,
                                      bool Evacuated) {
  publish(Incarnation{0}, std::nullopt); // takes a revision
  HallLog_.push_back({DataHall, Log_.size(), Evacuated});
  return Log_.size();
}

Version NewsFleet::publishRouting() { return publishRouting(Table_); }

Version NewsFleet::publishRouting(const RoutingTable &Table) {
  publish(); // takes a revision, like every change
  RoutingAt_ = Log_.size();
  Version Next = Table_.Version_ + 1;
  Table_ = Table;
  Table_.Version_ = Next;
  return Next;
}

void NewsFleet::onNode(std::size_t Which, std::function<void()> Do) {
  Node &N = Nodes_[Which];
  if (!N.Alive_)
    return;
  if (N.Asleep_)
    N.Held_.push_back(std::move(Do));
  else
    Do();
}

void NewsFleet::setAsleep(std::size_t Which, bool Asleep) {
  Node &N = Nodes_[Which];
  N.Asleep_ = Asleep;
  if (Asleep)
    return;
  std::vector<std::function<void()>> Held;
  Held.swap(N.Held_);
  for (const auto &Do : Held)
    Do();
}

void NewsFleet::setTurnedAway(std::size_t Which, bool TurnedAway) {
  Nodes_[Which].TurnedAway_ = TurnedAway;
}

void NewsFleet::setSilent(std::size_t Which, bool Silent) {
  Nodes_[Which].Silent_ = Silent;
}

void NewsFleet::setHeldUp(std::size_t A, std::size_t B, bool HeldUp) {
  for (auto Pair : {std::make_pair(A, B), std::make_pair(B, A)}) {
    if (HeldUp) {
      HeldUp_.insert(Pair);
      continue;
    }
    HeldUp_.erase(Pair);
    for (const auto &Do : HeldPackets_[Pair])
      Events_.after(LinkDelay, Do);
    HeldPackets_[Pair].clear();
  }
}

void NewsFleet::silenceConnections() {
  for (Node &N : Nodes_) {
    for (const auto &[Link, Peer] : N.Links_)
      N.SilentLinks_.insert(Link);
    N.CallsSilentFrom_ = Events_.now();
  }
}

void NewsFleet::kill(std::size_t Which) {
  Node &N = Nodes_[Which];
  N.Alive_ = false;
  auto Links = N.Links_;
  for (const auto &[Link, Peer] : Links)
    unlink(Which, Link);
}

void NewsFleet::restart(std::size_t Which) { start(Which); }

NewsHooks NewsFleet::hooks(std::size_t Which) {
  NewsHooks Hooks;
  Hooks.Send_ = [this, Which](LinkId Link, const NewsMessage &M) {
    deliver(Which, Link, encodeNews(M, Events_.now()));
  };
  Hooks.Connect_ = [this, Which](const Endpoint &To) { connect(Which, To); };
  Hooks.Close_ = [this, Which](LinkId Link) {
    Events_.after(LinkDelay, [this, Which, Link] { unlink(Which, Link); });
  };
  Hooks.OnRouting_ = [this, Which](const RoutingTablePtr &Table) {
    Nodes_[Which].Routing_ = Table->Version_;
    if (Beside_.OnRouting_)
      Beside_.OnRouting_(Which, Table);
  };
  Hooks.OnUpstreams_ = [this, Which](const std::vector<UpstreamChange> &Changes,
                                     bool MayReturn) {
    Nodes_[Which].MayReturn_ = MayReturn;
    for (const UpstreamChange &Change : Changes) {
      if (Change.Entry_ && !Change.Ended_)
        Nodes_[Which].Listed_.insert(Change.Incarnation_);
      else
        Nodes_[Which].Listed_.erase(Change.Incarnation_);
    }
    if (Beside_.OnUpstreams_)
      Beside_.OnUpstreams_(Which, Changes, MayReturn);
  };
  Hooks.OnEvacuations_ = [this,
                          Which](const std::vector<EvacuationChange> &Changes) {
    for (const EvacuationChange &Change : Changes) {
      if (Change.Evacuated_)
        Nodes_[Which].Evacuated_.insert(Change.DataHall_);
      else
        Nodes_[Which].Evacuated_.erase(Change.DataHall_);
    }
    if (Beside_.OnEvacuations_)
      Beside_.OnEvacuations_(Which, Changes);
  };
  Hooks.OnWarning_ = [this, Which](const UpstreamWarning &M) {
    Nodes_[Which].Warnings_.push_back(M);
  };
  Hooks.OnArrival_ = [this, Which](MonoTime At) {
    if (Beside_.OnArrival_)
      Beside_.OnArrival_(Which, At);
  };
  Hooks.OnConfirmed_ = [this, Which](MonoTime AsOf) {
    noteClaim(Which, AsOf);
    if (Beside_.OnConfirmed_)
      Beside_.OnConfirmed_(Which, AsOf);
  };
  return Hooks;
}

void NewsFleet::noteClaim(std::size_t Which, MonoTime AsOf) {
  Revision Knows = Nodes_[Which].News_->through();
  if (Knows < PublishedAt_.size() && PublishedAt_[Knows] < AsOf)
    WorstClaim_ = std::max(WorstClaim_, AsOf - PublishedAt_[Knows]);
}

void NewsFleet::connect(std::size_t From, const Endpoint &Control) {
  std::size_t To = Control.Ip_[14] * 256U + Control.Ip_[15] - 1U;
  std::uint64_t Life = Nodes_[From].Life_;
  Events_.after(2 * LinkDelay, [this, From, To, Control, Life] {
    Node &Here = Nodes_[From];
    if (!Here.Alive_ || Here.Life_ != Life)
      return;
    bool Reached = Nodes_[To].Alive_ && HeldUp_.count({From, To}) == 0;
    if (!Reached)
      return onNode(From, [this, From, Control] {
        Nodes_[From].News_->connectFailed(Events_.now(), Control);
      });
    auto Near = static_cast<LinkId>(++LastLink_);
    auto Far = static_cast<LinkId>(++LastLink_);
    Here.Links_[Near] = {To, Far};
    Nodes_[To].Links_[Far] = {From, Near};
    for (Node *N : {&Here, &Nodes_[To]})
      N->MostLinks_ = std::max(N->MostLinks_, N->Links_.size());
    onNode(From,
           [=] { Nodes_[From].News_->opened(Events_.now(), Near, true); });
    onNode(To, [=] { Nodes_[To].News_->opened(Events_.now(), Far, false); });
  });
}

void NewsFleet::deliver(std::size_t From, LinkId Link,
                        const std::string &Bytes) {
  auto Known = Nodes_[From].Links_.find(Link);
  if (Known == Nodes_[From].Links_.end())
    return;
  if (Nodes_[From].SilentLinks_.count(Link) != 0)
    return;
  BytesSent_ += Bytes.size();
  auto [To, Far] = Known->second;
  auto Arrive = [this, To = To, Far = Far, Bytes] {
    onNode(To, [=] {
      NewsMessage M;
      bool Open = Nodes_[To].Links_.count(Far) != 0;
      if (Open && decodeNews(Bytes, Events_.now(), M) == ErrorKind::None) {
        if (const auto *Told = std::get_if<News>(&M))
          Nodes_[To].UpstreamsTold_ += Told->Upstreams_.Changes_.size();
        Nodes_[To].News_->received(Events_.now(), Far, M);
      }
      review(To);
    });
  };
  if (HeldUp_.count({From, To}) != 0)
    HeldPackets_[{From, To}].push_back(Arrive);
  else
    Events_.after(LinkDelay, Arrive);
}

void NewsFleet::unlink(std::size_t Which, LinkId Link) {
  auto Known = Nodes_[Which].Links_.find(Link);
  if (Known == Nodes_[Which].Links_.end())
    return;
  auto [Peer, Far] = Known->second;
  bool Silent = Nodes_[Which].SilentLinks_.count(Link) != 0;
  Nodes_[Which].Links_.erase(Known);
  onNode(Which, [=] { Nodes_[Which].News_->closed(Events_.now(), Link); });
  if (Silent)
    return; // the other end does not hear of it
  Nodes_[Peer].Links_.erase(Far);
  onNode(Peer, [this, Peer = Peer, Far = Far] {
    Nodes_[Peer].News_->closed(Events_.now(), Far);
  });
}

void NewsFleet::tick(std::size_t Which) {
  std::uint64_t Life = Nodes_[Which].Life_;
  onNode(Which, [=] {
    if (Nodes_[Which].Life_ != Life)
      return;
    Nodes_[Which].News_->tick(Events_.now());
    if (Beside_.OnTick_)
      Beside_.OnTick_(Which);
    review(Which);
    Events_.after(TickEvery, [=] { tick(Which); });
  });
}

void NewsFleet::review(std::size_t Which) {
  Node &N = Nodes_[Which];
  N.Reader_->known(N.News_->through());
  auto Call = N.Reader_->next(Events_.now(), N.News_->readFrom());
  if (Call) {
    if (Call->Kind_ == IntentCall::Kind::List)
      N.News_->readingList(Events_.now());
    ++(Call->Kind_ == IntentCall::Kind::StaleList ? StaleCalls_ : Calls_);
    LastReader_ = Which;
    serve(Which, *Call, Events_.now());
    return;
  }
  // A call that is due before the next tick.
  MonoTime Due = N.Reader_->dueAt(N.News_->readFrom());
  if (Due > Events_.now() && Due < Events_.now() + TickEvery)
    Events_.after(Due - Events_.now(), [=, Life = N.Life_] {
      if (Nodes_[Which].Life_ == Life)
        onNode(Which, [=] { review(Which); });
    });
}

void NewsFleet::serve(std::size_t Which, const IntentCall &Call,
                      MonoTime Began) {
  std::uint64_t Life = Nodes_[Which].Life_;
  auto Answer = [=](Micros Delay, const IntentAnswer &A) {
    Events_.after(Delay, [=] {
      if (Nodes_[Which].Life_ != Life)
        return;
      onNode(Which, [=] {
        take(Which, A);
        review(Which);
      });
    });
  };
  bool GoneSilent = Began < Nodes_[Which].CallsSilentFrom_;
  if (Nodes_[Which].Silent_ || GoneSilent)
    return Answer(Call.GiveUpAt_ - Events_.now(), {});
  if (Nodes_[Which].TurnedAway_ || ServiceDown_) {
    IntentAnswer Refused;
    Refused.Outcome_ = IntentAnswer::Outcome::Refused;
    return Answer(ServiceDelay, Refused);
  }
  if (Call.Kind_ == IntentCall::Kind::Watch && Call.After_ < HistoryFrom_) {
    IntentAnswer Gone;
    Gone.Outcome_ = IntentAnswer::Outcome::HistoryGone;
    return Answer(ServiceDelay, Gone);
  }
  bool News =
      Call.Kind_ != IntentCall::Kind::Watch || Log_.size() > Call.After_;
  if (News || Events_.now() >= Call.WaitUntil_) {
    IntentAnswer A = answerNow(Call);
    UpstreamsServed_ += A.Batch_.Changes_.size();
    bool Whole = Call.Kind_ == IntentCall::Kind::List;
    return Answer(ServiceDelay + (Whole ? ListTakes_ : Micros(0)), A);
  }
  Events_.after(WatchLook, [=] {
    if (Nodes_[Which].Alive_ && Nodes_[Which].Life_ == Life)
      serve(Which, Call, Began);
  });
}

IntentAnswer NewsFleet::answerNow(const IntentCall &Call) const {
  IntentAnswer A;
  A.Outcome_ = IntentAnswer::Outcome::Done;
  A.Batch_.Whole_ = Call.Kind_ != IntentCall::Kind::Watch;
  A.Batch_.After_ = Call.After_;
  A.Batch_.Through_ = Log_.size();
  bool Stale = Call.Kind_ == IntentCall::Kind::StaleList;
  std::size_t End = Log_.size();
  while (Stale && End > 0 && PublishedAt_[End - 1] > Events_.now() - StaleBy_)
    --End;
  std::map<Incarnation, UpstreamChange> Last;
  for (std::size_t I = Call.After_; I < End; ++I)
    Last[Log_[I].Incarnation_] = Log_[I];
  for (const auto &[Which, Change] : Last)
    if (Change.Entry_ || !A.Batch_.Whole_)
      A.Batch_.Changes_.push_back(Change);
  if (A.Batch_.Whole_ || RoutingAt_ > Call.After_) {
    A.Routing_ = std::make_shared<RoutingTable>(Table_);
  }
  A.Evacuations_ = evacuationsNow(Call, End);
  if (Stale) {
    A.Outcome_ = IntentAnswer::Outcome::Stale;
    A.Batch_.Whole_ = false;
    A.Batch_.Through_ = 0;
    A.Evacuations_.Whole_ = false;
    A.Evacuations_.Through_ = 0;
    keepParts(Call, A);
  }
  return A;
}

/// Of a long stale list only the parts that a start reads.
void NewsFleet::keepParts(const IntentCall &Call, IntentAnswer &A) const {
  std::array<std::size_t, ListPartCount> Sizes{};
  for (const UpstreamChange &Change : A.Batch_.Changes_)
    ++Sizes[Change.Entry_->Part_];
  PartsReading Reading(Call.FirstPart_);
  do
    Reading.read(Sizes[Reading.next()]);
  while (!Reading.listIsShort() && !Reading.enough());
  if (Reading.listIsShort())
    return;
  A.Parts_ = Reading.parts();
  std::vector<UpstreamChange> &Changes = A.Batch_.Changes_;
  Changes.erase(std::remove_if(Changes.begin(), Changes.end(),
                               [&A](const UpstreamChange &Change) {
                                 return !A.Parts_->test(Change.Entry_->Part_);
                               }),
                Changes.end());
}

EvacuationBatch NewsFleet::evacuationsNow(const IntentCall &Call,
                                          Revision End) const {
  EvacuationBatch Batch;
  Batch.Whole_ = Call.Kind_ != IntentCall::Kind::Watch;
  Batch.Through_ = End;
  std::map<std::string, EvacuationChange> Last;
  for (const EvacuationChange &Change : HallLog_)
    if (Change.At_ > Call.After_ && Change.At_ <= End)
      Last[Change.DataHall_] = Change;
  for (const auto &[DataHall, Change] : Last)
    if (Change.Evacuated_ || !Batch.Whole_)
      Batch.Changes_.push_back(Change);
  return Batch;
}

void NewsFleet::take(std::size_t Which, const IntentAnswer &A) {
  Node &N = Nodes_[Which];
  N.Reader_->answered(Events_.now(), A, N.News_->fleetSize());
  if (A.Outcome_ == IntentAnswer::Outcome::Stale)
    N.News_->readStale(Events_.now(), A);
  else if (A.Outcome_ != IntentAnswer::Outcome::Done)
    N.News_->readFailed();
  else if (!N.News_->readDone(Events_.now(), A, N.Reader_->completeAt()))
    N.Reader_->listAgain();
}

bool NewsFleet::allEvacuated(const std::set<std::string> &Halls) const {
  return std::all_of(Nodes_.begin(), Nodes_.end(), [&Halls](const Node &N) {
    return !N.Alive_ || N.Evacuated_ == Halls;
  });
}

bool NewsFleet::allKnow(Revision R) const {
  for (const Node &N : Nodes_)
    if (N.Alive_ && N.News_->through() < R)
      return false;
  return true;
}

} // namespace thymewall::test

#include "thymewall/packet-balancer.h"

#include "packet-flow.h"

#include <algorithm>
#include <map>
#include <unordered_set>

namespace thymewall {

using detail::PacketFlowRow;
using detail::PacketFlowTable;

namespace {

/// A single opening that got no answer in the caller's 200 ms moves new flows
/// elsewhere for a while: a mistake costs nothing, since they are served there.
constexpr std::uint32_t UnansweredToEject = 1;

/// An upstream that was checked is not checked again for this long.
constexpr Micros CheckEvery = std::chrono::milliseconds(1000);
/// A dead upstream takes no new flows for this long, unless it is listed anew.
constexpr Micros DeadFor = std::chrono::seconds(5);

/// Copies of an opening packet draw other candidates than the first one.
constexpr std::uint64_t CopyDraw = 0x636f7079;

/// The cookie of an upstream: what fits of its incarnation. Never 0, which
/// stands for no cookie.
Cookie cookieOf(Incarnation Which) {
  auto Low = static_cast<std::uint32_t>(raw(Which));
  return Low == 0 ? 1 : Low;
}

bool opens(const Packet &P) { return P.Opens_ && !P.Acknowledges_; }

/// What only a server's side sends: no caller's packet.
bool fromServer(const Packet &P) { return P.Opens_ && P.Acknowledges_; }

} // namespace

class PacketBalancer::Impl {
public:
  explicit Impl(PacketBalancerOptions Options);

  Verdict steer(MonoTime Now, const Packet &P);
  void setRouting(RoutingTablePtr Table);
  void applyUpstreams(MonoTime Now, const std::vector<UpstreamChange> &Changes,
                      bool MayReturn);
  void checked(MonoTime Now, Incarnation Upstream, CheckResult Result,
               MonoTime Began);
  void confirm(MonoTime AsOf) { KnownAsOf_ = std::max(KnownAsOf_, AsOf); }
  void tick(MonoTime Now);
  void setLimits(Micros ResetWhenKnown, Micros FlowLimit) {
    Options_.ResetWhenKnown_ = ResetWhenKnown;
    Options_.FlowLimit_ = FlowLimit;
  }
  bool ready() const { return Routing_ && ListKnown_; }
  const PacketCounters &counters() const { return Counters_; }
  PacketStatus status(MonoTime Now) const;

private:
  /// What belongs to a row of the upstream table with the same index.
  struct Detail {
    ServiceId Service_{};
    std::string DataHall_;
    Revision Revision_ = 0;
    MonoTime LapsedUntil_{}; ///< While it may come back.
    MonoTime ForgetAt_{};    ///< When a gone upstream's row is given back.
    MonoTime ProgressAt_{};  ///< Last sign of life in any of its flows.
    MonoTime NextCheckAt_{};
    bool Lapsed_ = false;
    bool Gone_ = false;
    bool Draining_ = false;
  };
  /// The upstreams of a service and those among them that take new flows.
  struct ServiceState {
    std::vector<std::uint32_t> Members_;
    Eligible Eligible_;
    std::uint64_t Generation_ = 0;
  };

  Verdict open(const Packet &P, FlowId Flow,
               const std::vector<ServiceShare> &Shares);
  Verdict follow(const Packet &P, FlowId Flow);
  Verdict refuse(const Packet &P, ErrorKind Why);
  std::uint32_t choose(ServiceId Service, FlowId Flow, std::uint32_t Copy,
                       std::uint32_t Avoid);
  const Eligible &eligible(ServiceState &State);
  PacketFlowRow *place(const Packet &P, FlowId Flow, std::uint32_t Index);
  void noteOpening(const Packet &P, FlowId Flow, std::uint32_t Index);
  void noteProgress(const Packet &P, FlowId Flow, std::uint32_t Index);
  PacketFlowRow *noteFollowed(const Packet &P, FlowId Flow,
                              std::uint32_t Index);
  void measure(const PacketFlowRow &Row, DelayClass Class) const;
  void setInProgress(PacketFlowRow &Row, bool InProgress);
  void endFlow(PacketFlowRow &Row);
  void countOut(const PacketFlowRow &Row);
  void put(const UpstreamChange &Change);
  void end(const UpstreamChange &Change, bool MayReturn);
  void setGone(std::uint32_t Index);
  void suspect(std::uint32_t Index);
  void check(std::uint32_t Index);
  void giveUpFlows(std::uint32_t Index);
  void believe(Belief::Kind Kind, std::uint32_t Index) const;
  void decide(Decision::Kind Kind, const Packet &P, std::uint32_t Index,
              ErrorKind Why, std::size_t Candidates) const;
  void moveTo(std::uint32_t Index, ServiceId Service);
  std::uint32_t dueTick(Micros After) const;
  std::string_view whyNotChosen(std::uint32_t Index, MonoTime Now) const;
  bool allowed(const Endpoint &Service, ServiceId Id) const;

  PacketBalancerOptions Options_;
  PacketCounters Counters_;
  RoutingTablePtr Routing_;
  /// Services that any table so far allowed, by address.
  std::unordered_map<Endpoint, std::vector<ServiceId>, EndpointHash> Allowed_;
  UpstreamTable Upstreams_;
  std::vector<Detail> Details_; ///< Same index as `Upstreams_`.
  std::unordered_map<std::uint32_t, ServiceState> Services_;
  std::unordered_map<std::uint32_t, std::uint32_t> IndexOfCookie_;
  PacketFlowTable Flows_;
  MonoTime Now_{};
  MonoTime KnownAsOf_{};
  MonoTime NextTickBy_ = MonoTime::max();
  bool ListKnown_ = false;
};

PacketBalancer::Impl::Impl(PacketBalancerOptions Options)
    : Options_(std::move(Options)), Upstreams_(UnansweredToEject),
      Flows_(Options_.FlowBound_) {}

Verdict PacketBalancer::Impl::steer(MonoTime Now, const Packet &P) {
  Now_ = Now;
  ++Counters_.Packets_;
  if (fromServer(P))
    return refuse(P, ErrorKind::NotFromCaller);
  if (!Routing_)
    return refuse(P, ErrorKind::TableNotFresh);
  const std::vector<ServiceShare> *Shares = Routing_->find(P.Service_);
  if (!Shares) {
    bool Fresh = Now - KnownAsOf_ < Options_.ResetWhenKnown_;
    return refuse(P,
                  Fresh ? ErrorKind::UnknownAddress : ErrorKind::TableNotFresh);
  }
  FlowId Flow = flowOf(P);
  return opens(P) ? open(P, Flow, *Shares) : follow(P, Flow);
}

Verdict PacketBalancer::Impl::refuse(const Packet &P, ErrorKind Why) {
  ++Counters_.Errors_[static_cast<std::size_t>(Why)];
  decide(Decision::Kind::Refused, P, UpstreamTable::None, Why, 0);
  bool Resets = errorRow(Why).Answer_ == Answer::Reset && !P.Resets_;
  if (!Resets)
    return Dropped{Why};
  ++Counters_.Resets_;
  std::uint32_t Sequence = opens(P) ? 0 : P.Acknowledged_;
  return ResetFlow{P.Caller_, P.Service_, Sequence, Why};
}

Verdict PacketBalancer::Impl::open(const Packet &P, FlowId Flow,
                                   const std::vector<ServiceShare> &Shares) {
  std::uint32_t Copy = P.Acknowledged_;
  std::uint32_t Before = UpstreamTable::None;
  PacketFlowRow *Row = Flows_.find(Flow);
  if (Row && Copy > 0 && !Row->Open_)
    Before = Row->Upstream_;
  if (Before != UpstreamTable::None) {
    suspect(Before);
    check(Before);
  }
  ServiceId Service = drawService(Shares, Flow);
  std::uint32_t Index = choose(Service, Flow, Copy, Before);
  if (Index == UpstreamTable::None)
    return refuse(P, ErrorKind::NoneLeft);
  noteOpening(P, Flow, Index);
  ++(Copy == 0 ? Counters_.Opened_ : Counters_.OpenMoved_);
  decide(Copy == 0 ? Decision::Kind::Opened : Decision::Kind::OpenMoved, P,
         Index, ErrorKind::None, Services_[raw(Service)].Eligible_.size());
  const UpstreamRow &Up = Upstreams_[Index];
  return Forward{Up.At_, Up.Incarnation_, cookieOf(Up.Incarnation_)};
}

std::uint32_t PacketBalancer::Impl::choose(ServiceId Service, FlowId Flow,
                                           std::uint32_t Copy,
                                           std::uint32_t Avoid) {
  auto Known = Services_.find(raw(Service));
  if (Known == Services_.end())
    return UpstreamTable::None;
  const Eligible &Among = eligible(Known->second);
  if (Among.empty())
    return UpstreamTable::None;
  FlowId Drawn = Flow;
  if (Copy > 0)
    Drawn = static_cast<FlowId>(hashPair(raw(Flow), CopyDraw + Copy));
  Choice C{{Service, Drawn}, Among, Upstreams_.rows(), Now_};
  std::uint32_t Index = Among.Indexes_[Options_.Chooser_(C)];
  if (Index != Avoid)
    return Index;
  auto [First, Second] = candidates(C);
  std::size_t Other = Among.Indexes_[First] == Avoid ? Second : First;
  return Among.Indexes_[Other];
}

const Eligible &PacketBalancer::Impl::eligible(ServiceState &State) {
  Upstreams_.review(Now_);
  if (State.Generation_ == Upstreams_.generation())
    return State.Eligible_;
  std::vector<std::uint32_t> Selected;
  for (std::uint32_t Index : State.Members_)
    if (Upstreams_[Index].Declared_)
      Selected.push_back(Index);
  Upstreams_.eligibleNow(Selected, Now_, State.Eligible_);
  State.Generation_ = Upstreams_.generation();
  return State.Eligible_;
}

Verdict PacketBalancer::Impl::follow(const Packet &P, FlowId Flow) {
  auto Known = IndexOfCookie_.find(P.Cookie_);
  if (Known == IndexOfCookie_.end())
    return refuse(P, ErrorKind::UnknownCookie);
  std::uint32_t Index = Known->second;
  if (!allowed(P.Service_, Details_[Index].Service_))
    return refuse(P, ErrorKind::ForgedCookie);
  noteProgress(P, Flow, Index);
  const UpstreamRow &Up = Upstreams_[Index];
  return Forward{Up.At_, Up.Incarnation_, P.Cookie_};
}

bool PacketBalancer::Impl::allowed(const Endpoint &Service,
                                   ServiceId Id) const {
  auto Known = Allowed_.find(Service);
  if (Known == Allowed_.end())
    return false;
  const std::vector<ServiceId> &Ids = Known->second;
  return std::find(Ids.begin(), Ids.end(), Id) != Ids.end();
}

std::uint32_t PacketBalancer::Impl::dueTick(Micros After) const {
  return static_cast<std::uint32_t>((Now_.time_since_epoch() + After) /
                                    TickEvery);
}

/// A row for a flow that goes to an upstream from now on; null when the table
/// is full: such a flow is served, but not counted.
PacketFlowRow *PacketBalancer::Impl::place(const Packet &P, FlowId Flow,
                                           std::uint32_t Index) {
  PacketFlowRow *Row = Flows_.find(Flow);
  if (Row)
    countOut(*Row);
  PacketFlowRow Fresh;
  Fresh.Flow_ = Flow;
  Fresh.Caller_ = P.Caller_;
  Fresh.Service_ = P.Service_;
  if (!Row)
    Row = Flows_.insert(Fresh, dueTick(Options_.FlowLimit_));
  if (!Row)
    return nullptr;
  Row->Upstream_ = Index;
  Row->Open_ = false;
  Row->InProgress_ = false;
  ++Upstreams_[Index].OwnFlows_;
  return Row;
}

void PacketBalancer::Impl::noteOpening(const Packet &P, FlowId Flow,
                                       std::uint32_t Index) {
  if (PacketFlowRow *Row = place(P, Flow, Index))
    setInProgress(*Row, true);
}

/// Data of a flow that was opened by another balancer.
PacketFlowRow *PacketBalancer::Impl::noteFollowed(const Packet &P, FlowId Flow,
                                                  std::uint32_t Index) {
  if (P.DataSize_ == 0 || P.Finishes_ || P.Resets_)
    return nullptr;
  ++Counters_.Followed_;
  decide(Decision::Kind::Followed, P, Index, ErrorKind::None, 0);
  PacketFlowRow *Row = place(P, Flow, Index);
  if (!Row)
    return nullptr;
  Row->Open_ = true;
  Row->Acknowledged_ = P.Acknowledged_;
  return Row;
}

void PacketBalancer::Impl::setInProgress(PacketFlowRow &Row, bool InProgress) {
  if (Row.InProgress_ == InProgress)
    return;
  Row.InProgress_ = InProgress;
  Row.Since_ = Now_;
  std::uint32_t &Count = Upstreams_[Row.Upstream_].InFlight_;
  Count = InProgress ? Count + 1 : Count - 1;
}

void PacketBalancer::Impl::measure(const PacketFlowRow &Row,
                                   DelayClass Class) const {
  if (Options_.OnDelay_)
    Options_.OnDelay_(Details_[Row.Upstream_].Service_, Class,
                      Now_ - Row.Since_);
}

void PacketBalancer::Impl::noteProgress(const Packet &P, FlowId Flow,
                                        std::uint32_t Index) {
  PacketFlowRow *Row = Flows_.find(Flow);
  if (!Row)
    Row = noteFollowed(P, Flow, Index);
  if (!Row)
    return;
  if (P.Finishes_ || P.Resets_)
    return endFlow(*Row);
  bool Progress = !Row->Open_ || P.Acknowledged_ != Row->Acknowledged_;
  bool SentAgain = !Progress && Row->InProgress_ && P.DataSize_ > 0 &&
                   P.Sequence_ == Row->Sequence_;
  if (Progress)
    Details_[Row->Upstream_].ProgressAt_ = Now_;
  if (SentAgain)
    check(Row->Upstream_);
  if (!Row->Open_) {
    Row->Open_ = true;
    Upstreams_.succeeded(Row->Upstream_);
    measure(*Row, DelayClass::Open);
    Row->Since_ = Now_; // its request comes right behind
  } else if (Progress) {
    if (Row->InProgress_)
      measure(*Row, DelayClass::Request);
    setInProgress(*Row, false);
  }
  Row->Acknowledged_ = P.Acknowledged_;
  if (P.DataSize_ == 0)
    return;
  Row->Sequence_ = P.Sequence_;
  setInProgress(*Row, true);
}

void PacketBalancer::Impl::countOut(const PacketFlowRow &Row) {
  UpstreamRow &Up = Upstreams_[Row.Upstream_];
  --Up.OwnFlows_;
  if (Row.InProgress_)
    --Up.InFlight_;
}

void PacketBalancer::Impl::endFlow(PacketFlowRow &Row) {
  countOut(Row);
  Flows_.erase(Row);
}

void PacketBalancer::Impl::suspect(std::uint32_t Index) {
  bool Before = Upstreams_[Index].EjectedUntil_ > Now_;
  // Flows differ enough from balancer to balancer to spread the returns.
  double Jitter = static_cast<double>(raw(Upstreams_[Index].Id_) % 1000) / 1000;
  Upstreams_.failed(Index, Now_, Jitter);
  if (!Before && Upstreams_[Index].EjectedUntil_ > Now_)
    believe(Belief::Kind::Ejected, Index);
}

/// A packet got no answer in the time after which it is sent again.
void PacketBalancer::Impl::check(std::uint32_t Index) {
  Detail &D = Details_[Index];
  bool Skip = !Options_.OnCheck_ || D.NextCheckAt_ > Now_ || D.Draining_;
  if (Skip)
    return;
  D.NextCheckAt_ = Now_ + CheckEvery;
  ++Counters_.Checks_;
  Options_.OnCheck_({Upstreams_[Index].Incarnation_, Upstreams_[Index].At_});
}

void PacketBalancer::Impl::checked(MonoTime Now, Incarnation Upstream,
                                   CheckResult Result, MonoTime Began) {
  Now_ = Now;
  auto Known = IndexOfCookie_.find(cookieOf(Upstream));
  if (Known == IndexOfCookie_.end() ||
      Upstreams_[Known->second].Incarnation_ != Upstream)
    return;
  std::uint32_t Index = Known->second;
  // Whatever the check saw, progress of a flow since then is life.
  bool Progress = Details_[Index].ProgressAt_ >= Began;
  if (Result == CheckResult::Unclear)
    return;
  if (Result == CheckResult::Connected || Progress)
    return believe(Belief::Kind::Checked, Index);
  ++Counters_.Dead_;
  Upstreams_.eject(Index, Now_ + DeadFor);
  believe(Belief::Kind::Dead, Index);
  giveUpFlows(Index);
}

void PacketBalancer::Impl::giveUpFlows(std::uint32_t Index) {
  std::vector<FlowId> Lost;
  Flows_.forEach([&](const PacketFlowRow &Row) {
    if (Row.Upstream_ == Index && Row.Open_)
      Lost.push_back(Row.Flow_);
  });
  for (FlowId Flow : Lost) {
    PacketFlowRow *Row = Flows_.find(Flow);
    ++Counters_.Resets_;
    Options_.OnReset_({Row->Caller_, Row->Service_, Row->Acknowledged_,
                       ErrorKind::UpstreamDead});
    endFlow(*Row);
  }
}

void PacketBalancer::Impl::setRouting(RoutingTablePtr Table) {
  if (Routing_ && Table->Version_ <= Routing_->Version_)
    return;
  Routing_ = std::move(Table);
  for (const auto &[At, Shares] : Routing_->Addresses_) {
    std::vector<ServiceId> &Ids = Allowed_[At];
    for (const ServiceShare &S : Shares)
      if (std::find(Ids.begin(), Ids.end(), S.Service_) == Ids.end())
        Ids.push_back(S.Service_);
  }
}

void PacketBalancer::Impl::applyUpstreams(
    MonoTime Now, const std::vector<UpstreamChange> &Changes, bool MayReturn) {
  Now_ = Now;
  ListKnown_ = true;
  for (const UpstreamChange &Change : Changes) {
    if (Change.Entry_)
      put(Change);
    else
      end(Change, MayReturn);
  }
}

void PacketBalancer::Impl::put(const UpstreamChange &Change) {
  const UpstreamEntry &Entry = *Change.Entry_;
  Cookie Mark = cookieOf(Entry.Incarnation_);
  auto Known = IndexOfCookie_.find(Mark);
  bool Taken = Known != IndexOfCookie_.end() &&
               Upstreams_[Known->second].Incarnation_ != Entry.Incarnation_;
  // Two upstreams with one cookie: the earlier one keeps it, and the later one
  // gets no flows, since their packets could not be told apart.
  if (Taken)
    return;
  std::uint32_t Index = Upstreams_.declareOne(
      static_cast<UpstreamId>(Mark), Entry.At_, Entry.Slots_, Entry.WarmAt_);
  if (Details_.size() <= Index)
    Details_.resize(Index + 1);
  bool Fresh = Known == IndexOfCookie_.end();
  IndexOfCookie_[Mark] = Index;
  Upstreams_[Index].Incarnation_ = Entry.Incarnation_;
  Upstreams_.setLeaving(static_cast<UpstreamId>(Mark), Entry.Draining_);
  moveTo(Index, Entry.Service_);
  Detail &D = Details_[Index];
  bool NewlyDraining = Entry.Draining_ && !D.Draining_;
  bool Returned = D.Lapsed_ || D.Gone_;
  D.DataHall_ = Entry.DataHall_;
  D.Revision_ = Change.At_;
  D.Draining_ = Entry.Draining_;
  D.Lapsed_ = false;
  D.Gone_ = false;
  if (Fresh || Returned)
    believe(Belief::Kind::Listed, Index);
  if (NewlyDraining)
    believe(Belief::Kind::Draining, Index);
}

void PacketBalancer::Impl::moveTo(std::uint32_t Index, ServiceId Service) {
  Detail &D = Details_[Index];
  std::vector<std::uint32_t> &Old = Services_[raw(D.Service_)].Members_;
  Old.erase(std::remove(Old.begin(), Old.end(), Index), Old.end());
  D.Service_ = Service;
  Services_[raw(Service)].Members_.push_back(Index);
}

void PacketBalancer::Impl::end(const UpstreamChange &Change, bool MayReturn) {
  auto Known = IndexOfCookie_.find(cookieOf(Change.Incarnation_));
  if (Known == IndexOfCookie_.end())
    return;
  std::uint32_t Index = Known->second;
  Detail &D = Details_[Index];
  if (Upstreams_[Index].Incarnation_ != Change.Incarnation_ || D.Gone_)
    return;
  D.Revision_ = Change.At_;
  if (!MayReturn)
    return setGone(Index);
  D.Lapsed_ = true;
  D.LapsedUntil_ = Now_ + LapseLimit;
  believe(Belief::Kind::Lapsed, Index);
}

void PacketBalancer::Impl::setGone(std::uint32_t Index) {
  Detail &D = Details_[Index];
  D.Lapsed_ = false;
  D.Gone_ = true;
  // Its flows are still sent to it: it may live on for a while.
  D.ForgetAt_ = Now_ + Options_.FlowLimit_;
  Upstreams_.withdraw(Index);
  believe(Belief::Kind::Gone, Index);
}

void PacketBalancer::Impl::tick(MonoTime Now) {
  Now_ = Now;
  if (Now > NextTickBy_) {
    ++Counters_.LateWakes_;
    KnownAsOf_ = MonoTime{}; // whatever was known may be over
    Upstreams_.forgetBeliefs();
  }
  NextTickBy_ = Now + TickEvery + LateAfter;
  Flows_.expire(dueTick(Micros(0)),
                [this](const PacketFlowRow &Row) { countOut(Row); });
  for (std::uint32_t Index = 0; Index < Details_.size(); ++Index) {
    Detail &D = Details_[Index];
    if (D.Lapsed_ && D.LapsedUntil_ <= Now)
      setGone(Index);
    bool Forget =
        D.Gone_ && D.ForgetAt_ <= Now && Upstreams_[Index].OwnFlows_ == 0;
    if (!Forget)
      continue;
    IndexOfCookie_.erase(cookieOf(Upstreams_[Index].Incarnation_));
    std::vector<std::uint32_t> &Of = Services_[raw(D.Service_)].Members_;
    Of.erase(std::remove(Of.begin(), Of.end(), Index), Of.end());
    Upstreams_.release(Index);
    D = Detail{};
  }
}

void PacketBalancer::Impl::believe(Belief::Kind Kind,
                                   std::uint32_t Index) const {
  if (!Options_.OnBelief_)
    return;
  const UpstreamRow &Up = Upstreams_.rows()[Index];
  Options_.OnBelief_(
      {Kind, Up.Incarnation_, Up.At_, Details_[Index].Revision_});
}

void PacketBalancer::Impl::decide(Decision::Kind Kind, const Packet &P,
                                  std::uint32_t Index, ErrorKind Why,
                                  std::size_t Candidates) const {
  if (!Options_.OnDecision_)
    return;
  Decision D;
  D.Kind_ = Kind;
  D.Caller_ = P.Caller_;
  D.Service_ = P.Service_;
  if (Index != UpstreamTable::None)
    D.Upstream_ = Upstreams_.rows()[Index].Incarnation_;
  D.Why_ = Why;
  D.Candidates_ = static_cast<std::uint32_t>(Candidates);
  D.RoutingVersion_ = Routing_ ? Routing_->Version_ : 0;
  D.Known_ = KnownAsOf_ != MonoTime{};
  D.KnowledgeAge_ = Now_ - KnownAsOf_;
  Options_.OnDecision_(D);
}

std::string_view PacketBalancer::Impl::whyNotChosen(std::uint32_t Index,
                                                    MonoTime Now) const {
  const Detail &D = Details_[Index];
  if (D.Gone_)
    return "gone";
  if (D.Draining_)
    return "draining";
  if (Upstreams_.rows()[Index].EjectedUntil_ > Now)
    return "ejected";
  return {};
}

PacketStatus PacketBalancer::Impl::status(MonoTime Now) const {
  PacketStatus S;
  S.RoutingVersion_ = Routing_ ? Routing_->Version_ : 0;
  S.KnownAsOf_ = KnownAsOf_;
  S.Flows_ = Flows_.size();
  S.MemoryBytes_ = Flows_.memory();
  for (const auto &[Mark, Index] : IndexOfCookie_) {
    const Detail &D = Details_[Index];
    const UpstreamRow &Row = Upstreams_.rows()[Index];
    S.Upstreams_.push_back({Row.Incarnation_, D.DataHall_, D.Service_, Row,
                            whyNotChosen(Index, Now)});
  }
  return S;
}

PacketBalancer::PacketBalancer(PacketBalancerOptions Options)
    : Impl_(std::make_unique<Impl>(std::move(Options))) {}
PacketBalancer::PacketBalancer(PacketBalancer &&) noexcept = default;
PacketBalancer &PacketBalancer::operator=(PacketBalancer &&) noexcept = default;
PacketBalancer::~PacketBalancer() = default;
Verdict PacketBalancer::steer(MonoTime Now, const Packet &P) {
  return Impl_->steer(Now, P);
}
void PacketBalancer::setRouting(MonoTime, RoutingTablePtr Table) {
  Impl_->setRouting(std::move(Table));
}
void PacketBalancer::applyUpstreams(MonoTime Now,
                                    const std::vector<UpstreamChange> &Changes,
                                    bool MayReturn) {
  Impl_->applyUpstreams(Now, Changes, MayReturn);
}
void PacketBalancer::checked(MonoTime Now, Incarnation Upstream,
                             CheckResult Result, MonoTime Began) {
  Impl_->checked(Now, Upstream, Result, Began);
}
void PacketBalancer::confirm(MonoTime AsOf) { Impl_->confirm(AsOf); }
void PacketBalancer::tick(MonoTime Now) { Impl_->tick(Now); }
void PacketBalancer::setLimits(Micros ResetWhenKnown, Micros FlowLimit) {
  Impl_->setLimits(ResetWhenKnown, FlowLimit);
}
bool PacketBalancer::ready() const { return Impl_->ready(); }
const PacketCounters &PacketBalancer::counters() const {
  return Impl_->counters();
}
PacketStatus PacketBalancer::status(MonoTime Now) const {
  return Impl_->status(Now);
}

PacketBalancerBuilder &PacketBalancerBuilder::chooser(Chooser Value) {
  Options_.Chooser_ = std::move(Value);
  return *this;
}
PacketBalancerBuilder &PacketBalancerBuilder::onDecision(DecisionHook Value) {
  Options_.OnDecision_ = std::move(Value);
  return *this;
}
PacketBalancerBuilder &PacketBalancerBuilder::onBelief(BeliefHook Value) {
  Options_.OnBelief_ = std::move(Value);
  return *this;
}
PacketBalancerBuilder &PacketBalancerBuilder::resetWhenKnown(Micros Value) {
  Options_.ResetWhenKnown_ = Value;
  return *this;
}
PacketBalancerBuilder &PacketBalancerBuilder::flowLimit(Micros Value) {
  Options_.FlowLimit_ = Value;
  return *this;
}
PacketBalancerBuilder &PacketBalancerBuilder::onDelay(PacketDelayHook Value) {
  Options_.OnDelay_ = std::move(Value);
  return *this;
}
PacketBalancerBuilder &PacketBalancerBuilder::onCheck(CheckHook Value) {
  Options_.OnCheck_ = std::move(Value);
  return *this;
}
PacketBalancerBuilder &PacketBalancerBuilder::onReset(ResetHook Value) {
  Options_.OnReset_ = std::move(Value);
  return *this;
}
PacketBalancer PacketBalancerBuilder::build() const {
  return PacketBalancer(Options_);
}

} // namespace thymewall

#include "mechanism.h"
#include "opening-copies.h"
#include "packet-balancer-impl.h"

#include <algorithm>

namespace thymewall {

using detail::ageOfCopy;
using detail::isEnabled;
using detail::Mechanism;

namespace {

/// Share of the objective that an opening may wait. The rest is for the
/// upstream and one retry.
constexpr int MaxWaitDivisor = 4;
/// Below the time after which callers abandon an attempt, 1.4 s.
constexpr Micros MaxWait = std::chrono::milliseconds(1000);

Micros maxWait(const ServiceObjective &Objective) {
  return std::min(Objective.Latency_ / MaxWaitDivisor, MaxWait);
}

} // namespace

bool PacketBalancer::Impl::isAdmissionEnabled() const {
  return Options_.Admission_ == Admission::Backlog &&
         Options_.OnQueuedVerdict_ && isEnabled(Mechanism::AdmissionLimit);
}

bool PacketBalancer::Impl::isServiceFull(ServiceId Service) const {
  auto It = Services_.find(raw(Service));
  return It != Services_.end() && It->second.Admission_.Limit_.isFull(Now_);
}

/// Returns the verdict on an opening that can't be forwarded now, or nothing if
/// it can. A copy of an opening that this balancer has forwarded is never held
/// back, because its request may run.
std::optional<Verdict> PacketBalancer::Impl::holdBack(const Packet &P,
                                                      FlowId Flow,
                                                      ServiceId Service) {
  std::uint32_t Copies = P.Acknowledged_;
  if (Backlog_.recordCopy(Flow, Copies))
    return Queued{Flow};
  if (Copies > 0 && Backlog_.wasRejected(Now_, Flow))
    return refuse(P, ErrorKind::ServiceFull);
  const ServiceObjective *Objective = Routing_->objective(P.Service_);
  if (!Objective || !isAdmissionEnabled() || Flows_.find(Flow))
    return std::nullopt;
  updateAdmission(Service);
  auto State = Services_.find(raw(Service));
  if (State == Services_.end())
    return std::nullopt;
  ServiceAdmission &A = State->second.Admission_;
  if (Backlog_.isTurnOfLowest(Service) && admits(A, Objective->Priority_))
    releaseNext(A, Service);
  if (admits(A, Objective->Priority_)) {
    Backlog_.recordBypass(Service);
    return std::nullopt;
  }
  WaitingOpening Opening;
  Opening.Flow_ = Flow;
  Opening.Service_ = Service;
  Opening.Priority_ = Objective->Priority_;
  Opening.FirstSentAt_ = Now_ - ageOfCopy(Copies);
  Opening.ObjectiveEnd_ = Opening.FirstSentAt_ + Objective->Latency_;
  Opening.QueuedAt_ = Now_;
  Opening.WaitUntil_ = Now_ + maxWait(*Objective);
  Opening.Copies_ = Copies;
  Opening.IsFirst_ = Copies == 0;
  Opening.Packet_ = P;
  return enqueue(Opening);
}

/// Queues an opening or rejects it. Returns nothing if it has to be forwarded:
/// another balancer may have forwarded an earlier copy, so that a reset would
/// not prove that nothing has run.
std::optional<Verdict>
PacketBalancer::Impl::enqueue(const WaitingOpening &Opening) {
  ServiceAdmission &A = Services_[raw(Opening.Service_)].Admission_;
  AdmissionEvent Event = admissionEvent(AdmissionEvent::Kind::Queued, Opening);
  Event.Ahead_ = Backlog_.countAhead(Opening);
  Event.ExpectedWait_ = A.Releases_.expectedWait(Now_, Event.Ahead_);
  bool TooLong =
      A.Limit_.isFull(Now_) && Event.ExpectedWait_ > Opening.WaitUntil_ - Now_;
  Event.Reason_ = TooLong ? AdmissionEvent::Reason::ExpectedWait
                          : AdmissionEvent::Reason::Displaced;
  if (TooLong && !Opening.IsFirst_)
    return std::nullopt;
  if (TooLong)
    return reject(Opening, Event);
  if (Backlog_.size(Opening.Service_) == 0)
    A.Releases_.begin(Now_);
  std::optional<WaitingOpening> Displaced = Backlog_.add(Opening);
  if (Displaced && Displaced->Flow_ == Opening.Flow_) {
    if (!Opening.IsFirst_)
      return std::nullopt;
    return reject(Opening, Event);
  }
  Event.Reason_ = AdmissionEvent::Reason::None;
  reportAdmission(Event);
  if (Displaced)
    settle(*Displaced, AdmissionEvent::Reason::Displaced);
  updateAdmission(Opening.Service_);
  return Queued{Opening.Flow_};
}

Verdict PacketBalancer::Impl::reject(const WaitingOpening &Opening,
                                     AdmissionEvent Event) {
  Event.Kind_ = AdmissionEvent::Kind::Rejected;
  reportAdmission(Event);
  Backlog_.recordRejection(Now_, Opening.Flow_);
  return refuse(Opening.Packet_, ErrorKind::ServiceFull);
}

/// Ends the wait of an opening that has no place any more. It is reset only if
/// no balancer can have forwarded it.
void PacketBalancer::Impl::settle(const WaitingOpening &Opening,
                                  AdmissionEvent::Reason Reason) {
  if (!Opening.IsFirst_)
    return forwardQueued(Opening);
  Verdict V = Dropped{};
  if (!mayBeElsewhere(Opening)) {
    AdmissionEvent Event =
        admissionEvent(AdmissionEvent::Kind::Rejected, Opening);
    Event.Reason_ = Reason;
    Event.Ahead_ = Backlog_.countAhead(Opening);
    V = reject(Opening, Event);
  }
  Options_.OnQueuedVerdict_(Opening.Flow_, V);
}

void PacketBalancer::Impl::forwardQueued(const WaitingOpening &Opening) {
  reportAdmission(admissionEvent(AdmissionEvent::Kind::Admitted, Opening));
  Verdict V = placeOpening(Opening.Packet_, Opening.Flow_, Opening.Service_,
                           UpstreamTable::None);
  Options_.OnQueuedVerdict_(Opening.Flow_, V);
}

/// Returns whether a copy that the caller must have sent meanwhile has not
/// arrived here: the fabric may have moved the flow, and another balancer may
/// have forwarded it.
bool PacketBalancer::Impl::mayBeElsewhere(const WaitingOpening &Opening) const {
  Micros Age = Now_ - Opening.FirstSentAt_;
  return Opening.Copies_ < detail::copiesSentBy(Age - detail::RetransmitMargin);
}

void PacketBalancer::Impl::expireQueued(MonoTime Now) {
  Now_ = Now;
  while (std::optional<WaitingOpening> Opening = Backlog_.takeExpired(Now)) {
    // A service that is not full yet rejects nobody.
    if (isServiceFull(Opening->Service_) || mayBeElsewhere(*Opening))
      settle(*Opening, AdmissionEvent::Reason::Waited);
    else
      forwardQueued(*Opening);
    updateAdmission(Opening->Service_);
  }
  if (UnconfirmedReviewAt_ <= Now)
    reviewUnconfirmed();
}

void PacketBalancer::Impl::reviewAdmission() {
  if (!Routing_)
    return;
  releaseRerouted();
  for (const auto &[Id, State] : Services_)
    updateAdmission(ServiceId{Id});
}

/// Measures anew whether services are full, after a suspension: requests do not
/// end while the process does not run.
void PacketBalancer::Impl::clearFullState() {
  for (auto &[Id, State] : Services_)
    State.Admission_.Limit_.set(std::nullopt);
}

/// Releases the openings to which a new routing table gives another service, no
/// objective or no address.
void PacketBalancer::Impl::releaseRerouted() {
  if (BacklogRouting_ == Routing_->Version_)
    return;
  BacklogRouting_ = Routing_->Version_;
  auto IsRerouted = [this](const WaitingOpening &Opening) {
    const Endpoint &At = Opening.Packet_.Service_;
    const std::vector<ServiceShare> *Shares = Routing_->find(At);
    return !Shares || !Routing_->objective(At) ||
           chooseService(*Shares, Opening.Flow_) != Opening.Service_;
  };
  for (WaitingOpening &Opening : Backlog_.takeIf(IsRerouted)) {
    const std::vector<ServiceShare> *Shares =
        Routing_->find(Opening.Packet_.Service_);
    if (Shares) {
      Opening.Service_ = chooseService(*Shares, Opening.Flow_);
      forwardQueued(Opening);
    } else {
      awaitState(Opening);
    }
  }
}

/// Applies the limit of a service after a change of its requests, and releases
/// the openings that it has room for.
void PacketBalancer::Impl::updateAdmission(ServiceId Service) {
  auto It = Services_.find(raw(Service));
  bool Limited = isAdmissionEnabled() || !Backlog_.empty() ||
                 (It != Services_.end() && It->second.Admission_.Limit_.get());
  if (!Limited || It == Services_.end() || !Routing_)
    return;
  ServiceAdmission &A = It->second.Admission_;
  bool WasFull = A.Limit_.isFull(Now_);
  eligibleUpstreams(Service, It->second);
  updateWorstPriority(Service, A);
  A.Limit_.set(requestLimit(Service, A));
  while (Backlog_.size(Service) > 0 &&
         admits(A, *Backlog_.bestPriority(Service)))
    releaseNext(A, Service);
  bool Changed = A.Limit_.update(Now_, A.InProgress_, Backlog_.size(Service)) ||
                 (WasFull && !A.Limit_.get());
  if (!Changed)
    return;
  WaitingOpening None;
  None.Service_ = Service;
  reportAdmission(admissionEvent(A.Limit_.isFull(Now_)
                                     ? AdmissionEvent::Kind::Full
                                     : AdmissionEvent::Kind::HasRoom,
                                 None));
}

void PacketBalancer::Impl::releaseNext(ServiceAdmission &A, ServiceId Service) {
  std::optional<WaitingOpening> Next = Backlog_.takeNext(Service);
  A.Releases_.recordRelease(Now_);
  forwardQueued(*Next);
}

bool PacketBalancer::Impl::admits(const ServiceAdmission &A,
                                  std::uint8_t Priority) const {
  bool IsBetter =
      Priority < A.WorstPriority_ && isEnabled(Mechanism::PriorityOrder);
  return A.Limit_.admits(Now_, A.InProgress_, IsBetter);
}

void PacketBalancer::Impl::updateWorstPriority(ServiceId Service,
                                               ServiceAdmission &A) const {
  if (A.Routing_ == Routing_->Version_)
    return;
  A.Routing_ = Routing_->Version_;
  A.WorstPriority_ = 0;
  for (const auto &[At, Objective] : Routing_->Objectives_) {
    const std::vector<ServiceShare> *Shares = Routing_->find(At);
    bool Routed = Shares && std::any_of(Shares->begin(), Shares->end(),
                                        [Service](const ServiceShare &S) {
                                          return S.Service_ == Service;
                                        });
    if (Routed)
      A.WorstPriority_ = std::max(A.WorstPriority_, Objective.Priority_);
  }
}

/// Returns the limit of a service's requests, or nothing if everything is
/// admitted.
std::optional<std::size_t>
PacketBalancer::Impl::requestLimit(ServiceId Service,
                                   ServiceAdmission &A) const {
  if (!isAdmissionEnabled() || A.Slots_ == 0)
    return std::nullopt;
  if (A.LoadInputs_ != LoadInputs_) {
    A.LoadInputs_ = LoadInputs_;
    A.Share_ = ownShare(FleetLoad_, Service);
  }
  if (!A.Share_)
    return std::nullopt;
  return RequestLimit::limitFor(*A.Share_, A.Slots_, Options_.RequestsPerSlot_);
}

/// Counts the slots and requests of a service after a change of its upstreams.
void PacketBalancer::Impl::countRequests(ServiceState &State) {
  ServiceAdmission &A = State.Admission_;
  A.Slots_ = 0;
  A.InProgress_ = 0;
  for (std::uint32_t Index : State.Members_) {
    const UpstreamRow &Row = Upstreams_[Index];
    UpstreamStates_[Index].Counted_ = false;
    if (Row.Declared_ && !Row.Leaving_ && !Row.Evacuated_ && !Row.Dead_)
      A.Slots_ += Row.Slots_;
  }
  for (const auto *Indexes : {&State.Eligible_.Indexes_, &State.ColdMembers_})
    for (std::uint32_t Index : *Indexes) {
      UpstreamStates_[Index].Counted_ = true;
      A.InProgress_ += Upstreams_[Index].InFlight_;
    }
}

/// Counts the begin or the end of a request in progress.
void PacketBalancer::Impl::countInProgress(std::uint32_t Index, bool Begins) {
  std::uint32_t &AtUpstream = Upstreams_[Index].InFlight_;
  AtUpstream = Begins ? AtUpstream + 1 : AtUpstream - 1;
  const UpstreamState &State = UpstreamStates_[Index];
  if (!State.Counted_)
    return;
  std::size_t &AtService =
      Services_[raw(State.Service_)].Admission_.InProgress_;
  AtService = Begins ? AtService + 1 : AtService - 1;
}

AdmissionEvent
PacketBalancer::Impl::admissionEvent(AdmissionEvent::Kind Kind,
                                     const WaitingOpening &Opening) const {
  AdmissionEvent Event;
  Event.Kind_ = Kind;
  Event.Caller_ = Opening.Packet_.Caller_;
  Event.Service_ = Opening.Service_;
  Event.Priority_ = Opening.Priority_;
  if (Opening.QueuedAt_ != MonoTime{})
    Event.Waited_ = Now_ - Opening.QueuedAt_;
  auto It = Services_.find(raw(Opening.Service_));
  if (It == Services_.end())
    return Event;
  Event.InProgress_ = It->second.Admission_.InProgress_;
  Event.Limit_ = It->second.Admission_.Limit_.get().value_or(0);
  return Event;
}

void PacketBalancer::Impl::reportAdmission(const AdmissionEvent &Event) const {
  if (Options_.OnAdmissionEvent_)
    Options_.OnAdmissionEvent_(Event);
}

std::vector<AdmissionStatus>
PacketBalancer::Impl::admissionStatus(MonoTime Now) const {
  std::vector<AdmissionStatus> Result;
  for (const auto &[Id, State] : Services_) {
    const ServiceAdmission &A = State.Admission_;
    ServiceId Service{Id};
    if (A.Limit_.get())
      Result.push_back({Service, A.Limit_.get(), A.InProgress_,
                        Backlog_.size(Service), A.Limit_.isFull(Now)});
  }
  return Result;
}

} // namespace thymewall

#include "mechanism.h"
#include "opening-copies.h"
#include "packet-balancer-impl.h"
#include "thymewall/held-packets.h"

namespace thymewall {

using detail::isEnabled;
using detail::isOpening;
using detail::Mechanism;
using detail::UnconfirmedFlow;
using detail::UnconfirmedFlows;

namespace {

/// Bounds the memory use; addresses beyond it count as never listed.
constexpr std::size_t MaxDroppedAddresses = 4096;
/// How long an opening to an unlisted address waits for a newer table. A table
/// that one balancer has read reaches the others within some tens of
/// milliseconds; callers send their first copy after 200 ms.
constexpr Micros OpeningWait = std::chrono::milliseconds(150);
/// Minimum time between two reviews of waiting openings; bounds their cost.
constexpr Micros ReviewInterval = std::chrono::milliseconds(20);

} // namespace

/// Decides on a packet to an address that the routing table lacks. Until the
/// flow is proven closed, the verdict is one that can be taken back: packets of
/// flows that another balancer may have opened are forwarded by their cookie,
/// and all others wait.
Verdict PacketBalancer::Impl::steerUnlisted(const Packet &P, FlowId Flow) {
  recordTransmission(P, Flow);
  for (UnconfirmedFlows *Flows : {&ForwardedUnconfirmed_, &Waiting_}) {
    const UnconfirmedFlow *Known = Flows->find(Flow);
    if (!Known || !isProvenClosed(*Known))
      continue;
    ForwardedUnconfirmed_.erase(Flow);
    endWait(Flow);
    return refuse(P, ErrorKind::UnknownAddress);
  }
  auto Upstream = IndexOfCookie_.find(P.Cookie_);
  bool MayBeOpen = !isOpening(P) && Upstream != IndexOfCookie_.end() &&
                   DroppedAddresses_.count(P.Service_) == 0;
  return MayBeOpen ? forwardUnconfirmed(P, Flow, Upstream->second)
                   : awaitState(P, Flow);
}

/// Updates the flow of a packet, if it is known.
void PacketBalancer::Impl::recordTransmission(const Packet &P, FlowId Flow) {
  // An opening begins another flow. A packet of an open flow shows that another
  // balancer has forwarded its opening.
  UnconfirmedFlow *Forwarded = ForwardedUnconfirmed_.find(Flow);
  if (Forwarded && isOpening(P))
    ForwardedUnconfirmed_.erase(Flow);
  else if (Forwarded)
    Forwarded->Packet_.Acknowledged_ = P.Acknowledged_;
  UnconfirmedFlow *Wait = Waiting_.find(Flow);
  if (Wait && isOpening(P) != isOpening(Wait->Packet_))
    endWait(Flow);
  else if (Wait && isOpening(P))
    Wait->Copies_ = std::max(Wait->Copies_, P.Acknowledged_);
  else if (Wait)
    Wait->Packet_.Acknowledged_ = P.Acknowledged_;
}

/// Returns whether no balancer can have the flow open. A table that lacks the
/// address was in force at the last confirmation of the state or later. A flow
/// that is older than that was opened before its route was dropped, or never.
bool PacketBalancer::Impl::isProvenClosed(const UnconfirmedFlow &Flow) const {
  if (!isEnabled(Mechanism::LaterState))
    return true;
  bool IsStateLater = Flow.FirstSeenAt_ <= ConfirmedAsOf_;
  return (IsStateLater || isRejected(Flow)) && !Flow.mayBeElsewhere(Now_);
}

/// Returns whether an opening has waited for long enough. Of a flow whose first
/// packet was received here, no other balancer has got one.
bool PacketBalancer::Impl::isRejected(const UnconfirmedFlow &Flow) const {
  bool IsFirst = isOpening(Flow.Packet_) && Flow.Packet_.Acknowledged_ == 0;
  return IsFirst && isFresh() && Now_ - Flow.FirstSeenAt_ >= OpeningWait;
}

/// Such flows are not followed: forged cookies must not count as load or as
/// evidence against an upstream, which refuses flows that it does not hold.
Verdict PacketBalancer::Impl::forwardUnconfirmed(const Packet &P, FlowId Flow,
                                                 std::uint32_t Index) {
  if (P.Resets_)
    ForwardedUnconfirmed_.erase(Flow);
  else if (!ForwardedUnconfirmed_.find(Flow) &&
           ForwardedUnconfirmed_.add({Flow, P, Now_, 0}))
    reportDecision(Decision::Kind::Unconfirmed, P, Index, ErrorKind::None, 0);
  ++Counters_.ForwardedUnconfirmed_;
  const UpstreamRow &Up = Upstreams_[Index];
  return Forward{Up.Address_, Up.Incarnation_, P.Cookie_};
}

Verdict PacketBalancer::Impl::awaitState(const Packet &P, FlowId Flow) {
  bool Waits = Waiting_.find(Flow) != nullptr;
  if (!Waits && !P.Resets_ &&
      Waiting_.add({Flow, P, Now_, isOpening(P) ? P.Acknowledged_ : 0})) {
    Waits = true;
    UnconfirmedReviewAt_ = std::min(UnconfirmedReviewAt_, Now_ + OpeningWait);
    ++Counters_.WaitedForState_;
    reportDecision(Decision::Kind::Unconfirmed, P, UpstreamTable::None,
                   ErrorKind::None, 0);
  }
  if (!Waits || !Options_.OnQueuedVerdict_)
    return refuse(P, ErrorKind::TableNotFresh);
  return Queued{Flow};
}

/// Lets the owner drop the packet that waits, if any.
void PacketBalancer::Impl::endWait(FlowId Flow) {
  if (Waiting_.erase(Flow) && Options_.OnQueuedVerdict_)
    Options_.OnQueuedVerdict_(Flow, Dropped{});
}

/// Makes a queued opening wait whose address the routing table has dropped.
void PacketBalancer::Impl::awaitState(const WaitingOpening &Opening) {
  if (!Waiting_.add(
          {Opening.Flow_, Opening.Packet_, Opening.QueuedAt_, Opening.Copies_}))
    Options_.OnQueuedVerdict_(
        Opening.Flow_, refuse(Opening.Packet_, ErrorKind::TableNotFresh));
  UnconfirmedReviewAt_ = MonoTime{};
}

/// Decides on unconfirmed flows after a change of the table, a confirmation or
/// the wait of an opening.
void PacketBalancer::Impl::reviewUnconfirmed() {
  auto IsListed = [this](const UnconfirmedFlow &Flow) {
    return Routing_->find(Flow.Packet_.Service_) != nullptr;
  };
  ForwardedUnconfirmed_.takeIf(IsListed);
  for (const UnconfirmedFlow &Flow : Waiting_.takeIf(IsListed))
    releaseListed(Flow);
  auto IsClosed = [this](const UnconfirmedFlow &Flow) {
    return isProvenClosed(Flow);
  };
  if (Options_.OnReset_)
    for (const UnconfirmedFlow &Flow : ForwardedUnconfirmed_.takeIf(IsClosed))
      Options_.OnReset_(
          std::get<ResetFlow>(refuse(Flow.Packet_, ErrorKind::UnknownAddress)));
  if (Options_.OnQueuedVerdict_)
    for (const UnconfirmedFlow &Flow : Waiting_.takeIf(IsClosed))
      Options_.OnQueuedVerdict_(
          Flow.Flow_, refuse(Flow.Packet_, ErrorKind::UnknownAddress));
  MonoTime Next = Waiting_.firstSeenAfter(Now_ - OpeningWait);
  UnconfirmedReviewAt_ =
      Next == MonoTime::max()
          ? Next
          : std::max(Next + OpeningWait, Now_ + ReviewInterval);
}

/// Steers a packet that has waited and whose address is listed now.
void PacketBalancer::Impl::releaseListed(const UnconfirmedFlow &Flow) {
  if (!Options_.OnQueuedVerdict_)
    return;
  const std::vector<ServiceShare> &Shares =
      *Routing_->find(Flow.Packet_.Service_);
  bool TooLate = Now_ - Flow.FirstSeenAt_ > HeldPackets::MaxAge;
  Verdict V = Dropped{};
  if (!TooLate)
    V = steerListed(detail::latestCopy(Flow.Packet_, Now_ - Flow.FirstSeenAt_),
                    Flow.Flow_, Shares);
  if (!std::holds_alternative<Queued>(V))
    Options_.OnQueuedVerdict_(Flow.Flow_, V);
}

void PacketBalancer::Impl::expireUnconfirmed() {
  auto HasWaited = [this](const UnconfirmedFlow &Flow) {
    return Now_ - Flow.FirstSeenAt_ > HeldPackets::MaxAge;
  };
  for (const UnconfirmedFlow &Flow : Waiting_.takeIf(HasWaited)) {
    Verdict V = refuse(Flow.Packet_, ErrorKind::TableNotFresh);
    if (Options_.OnQueuedVerdict_)
      Options_.OnQueuedVerdict_(Flow.Flow_, V);
  }
  ForwardedUnconfirmed_.takeIf([this](const UnconfirmedFlow &Flow) {
    return Now_ - Flow.FirstSeenAt_ > Options_.MaxFlowAge_;
  });
  for (auto It = DroppedAddresses_.begin(); It != DroppedAddresses_.end();)
    It = It->second <= Now_ ? DroppedAddresses_.erase(It) : std::next(It);
}

/// Remembers the addresses that \p Table drops, for as long as their flows may
/// be open.
void PacketBalancer::Impl::recordDroppedAddresses(const RoutingTable &Table) {
  for (auto It = DroppedAddresses_.begin(); It != DroppedAddresses_.end();)
    It = Table.find(It->first) ? DroppedAddresses_.erase(It) : std::next(It);
  if (!Routing_)
    return;
  for (const auto &[At, Shares] : Routing_->Addresses_)
    if (!Table.find(At) && DroppedAddresses_.size() < MaxDroppedAddresses)
      DroppedAddresses_[At] = Now_ + Options_.MaxFlowAge_;
}

} // namespace thymewall

/// \file
/// Lets a proof build the core without one of its mechanisms, to show that the
/// tests then fail (support/prove). A normal build has them all.
#ifndef THYMEWALL_SRC_MECHANISM_H
#define THYMEWALL_SRC_MECHANISM_H

#ifndef THYMEWALL_WITHOUT
#define THYMEWALL_WITHOUT None
#endif

namespace thymewall::detail {

enum class Mechanism {
  None,
  HomeOnlySubmission,  ///< Only the home hands on what may not be repeated.
  RequestNumberWindow, ///< The home's memory of used request numbers.
  HomeEpoch,           ///< A lost flow row is noticed.
  SuccessionFence,     ///< A successor adopts only what the old home never had.
  DelegationOnStop,    ///< A stopped home delegates.
  AttemptMatch,        ///< Answers belong to one hand-over.
  NotRunDowngrade,     ///< `Not run` is lowered where it can't be known.
  RouteTag,            ///< Routes are authenticated for service and flow.
  MonotonicVersions,   ///< A declaration never gives way to an earlier one.
  LateWake,            ///< A process that was away rereads first.
  DrainingExclusion,   ///< Leaving upstreams are no candidates.
  EvacuationExclusion, ///< Nor are those of evacuated data halls.
  OpeningRetries,      ///< Unanswered openings go to another upstream.
  OpeningEjection,     ///< Upstreams that answer no opening get no more.
  StallEjection,       ///< Upstreams that answer no request get no more.
  ShortAnswerEjection, ///< Upstreams that answer by errors get no more.
  CorrelatedSilence,   ///< Silence of all upstreams alike speaks against none.
  SlowStartAfterStall, ///< After a stall few flows come back at first.
  LivenessChecks,      ///< Silent upstreams are checked, and their flows reset.
  PeerWarnings,        ///< Peers are told of dead and stalled upstreams.
  HeldPackets,         ///< Packets wait for what a start has to learn.
  EndedUpstreams,      ///< A start learns of ended upstreams from peers.
  IsolatedHallWithdrawal, ///< The living of a lost data hall leave it to
                          ///< others.
  SingleReader,           ///< One balancer reads for the fleet.
  StalenessLimit, ///< Unknown addresses are reset only on fresh knowledge.
  LeastLoaded,    ///< The less loaded of two candidates.
  ColdLimits,     ///< Few balancers open flows to a cold upstream.
  ColdRamp        ///< Cold upstreams get fewer flows.
};

constexpr Mechanism Disabled = Mechanism::THYMEWALL_WITHOUT;
constexpr bool isEnabled(Mechanism Which) { return Which != Disabled; }

} // namespace thymewall::detail

#endif

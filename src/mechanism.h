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
  HomeOnly,        ///< Only the home hands on what may not be repeated.
  NumberWindow,    ///< The home's memory of used request numbers.
  HomeEpoch,       ///< A lost flow row is noticed.
  Fence,           ///< A successor adopts only what the old home never had.
  StopHandingOn,   ///< A stopped home delegates.
  AttemptMatch,    ///< Answers belong to one hand-over.
  TruthfulNotRun,  ///< `Not run` is lowered where it can't be known.
  RouteTag,        ///< Routes are authenticated for service and flow.
  Monotonic,       ///< A declaration never gives way to an earlier one.
  LateWake,        ///< A process that was away rereads first.
  Leaving,         ///< Leaving upstreams are no candidates.
  Evacuation,      ///< Nor are those of evacuated data halls.
  OpeningRetries,  ///< Unanswered openings go to another upstream.
  OpeningEjection, ///< Upstreams that answer no opening get no more.
  Stalls,          ///< Upstreams that answer no request get no more.
  AnswerSizes,     ///< Upstreams that answer by errors get no more.
  CommonSilence,   ///< Silence of all upstreams alike speaks against none.
  GradualReturn,   ///< After a stall few flows come back at first.
  Checks,          ///< Silent upstreams are checked, and their flows reset.
  Warnings,        ///< Peers are told of dead and stalled upstreams.
  HeldPackets,     ///< Packets wait for what a start has to learn.
  EndedUpstreams,  ///< A start learns of ended upstreams from peers.
  LostHall,        ///< The living of a lost data hall leave it to others.
  OneReader,       ///< One balancer reads for the fleet.
  KnowledgeAge,    ///< Unknown addresses are reset only on fresh knowledge.
  LeastLoaded,     ///< The less loaded of two candidates.
  ColdLimits,      ///< Few balancers open flows to a cold upstream.
  ColdRamp         ///< Cold upstreams get fewer flows.
};

constexpr Mechanism Without = Mechanism::THYMEWALL_WITHOUT;
constexpr bool has(Mechanism Which) { return Which != Without; }

} // namespace thymewall::detail

#endif

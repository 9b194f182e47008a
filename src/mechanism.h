/// \file
/// Compile-time switch that disables one mechanism of the core. support/prove
/// uses it to check that tests fail without each mechanism; normal builds
/// enable all of them.
#ifndef THYMEWALL_SRC_MECHANISM_H
#define THYMEWALL_SRC_MECHANISM_H

#ifndef THYMEWALL_WITHOUT
#define THYMEWALL_WITHOUT None
#endif

namespace thymewall::detail {

enum class Mechanism {
  None,
  HomeOnlySubmission,  ///< Only the home forwards non-repeatable requests.
  RequestNumberWindow, ///< The home rejects reused request numbers.
  HomeEpoch,           ///< The home detects the loss of a flow row.
  SuccessionFence,     ///< Successors adopt only requests new to the old home.
  DelegationOnStop,    ///< A stopping home delegates to its successors.
  AttemptMatch,        ///< Answers are matched to a forwarding attempt.
  NotRunDowngrade,   ///< `NotRun` becomes `OutcomeUnknown` if it is uncertain.
  RouteTag,          ///< Routes are authenticated for a service and flow.
  MonotonicVersions, ///< Older declarations never replace newer ones.
  LateWake,          ///< A suspended process rereads its state first.
  DrainingExclusion, ///< Leaving upstreams get no new flows.
  EvacuationExclusion, ///< Upstreams of evacuated data halls get no new flows.
  OpeningRetries,      ///< Unanswered openings are retried at another upstream.
  OpeningEjection,     ///< Upstreams that do not answer openings are ejected.
  StallEjection,       ///< Upstreams that do not answer requests are ejected.
  ShortAnswerEjection, ///< Upstreams that answer with errors are ejected.
  CorrelatedSilence,   ///< Failures at many upstreams raise the threshold.
  SlowStartAfterStall, ///< New flows ramp up slowly after a stall.
  LivenessChecks,      ///< Upstreams that stop answering are checked.
  PeerWarnings,        ///< Peers are warned of dead and stalled upstreams.
  HeldPackets,         ///< Packets are buffered until the balancer is ready.
  EndedUpstreams,      ///< Starting balancers ask peers for ended upstreams.
  IsolatedHallWithdrawal, ///< Balancers of a mostly dead hall stop serving.
  SingleReader,   ///< One balancer reads the configuration for the fleet.
  StalenessLimit, ///< Openings are rejected only on fresh state.
  LaterState,  ///< Unknown addresses are reset only by state as of later times.
  LeastLoaded, ///< The less loaded of two candidates is chosen.
  ColdLimits,  ///< Few balancers open flows to a cold upstream.
  ColdRamp,    ///< Cold upstreams get fewer flows.
  Apertures,   ///< Each balancer opens flows to an arc of the upstreams.
  AdmissionLimit, ///< Openings beyond the balancer's share wait.
  PriorityOrder,  ///< Waiting openings go in order of priority.
  RetryBudget,    ///< Retries of openings are limited.
  FlowLimit,      ///< Flows of an upstream stay within its limit.
  OverloadGuard,  ///< Signs of overload eject no upstream.
  LoadExpiry,     ///< Requests that other balancers see end here, too.
  StepBack        ///< Balancers on impaired hosts report not ready.
};

constexpr Mechanism Disabled = Mechanism::THYMEWALL_WITHOUT;
constexpr bool isEnabled(Mechanism Which) { return Which != Disabled; }

} // namespace thymewall::detail

#endif

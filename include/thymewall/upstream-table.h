/// \file
/// The state of each upstream as a balancer sees it, the set of upstreams that
/// are eligible for new flows, and the functions that choose among them.
#ifndef THYMEWALL_UPSTREAM_TABLE_H
#define THYMEWALL_UPSTREAM_TABLE_H

#include "thymewall/declaration.h"
#include "thymewall/flow-table.h"
#include "thymewall/routing.h"

#include <unordered_map>

namespace thymewall {

/// State of an upstream. Its index stays valid until the row is released; an
/// upstream that is no longer declared only stops being eligible.
struct UpstreamRow {
  UpstreamId Id_{};
  Endpoint Address_;
  Incarnation Incarnation_{}; ///< From its latest datagram.
  std::uint32_t Slots_ = 1;
  std::uint32_t OwnFlows_ = 0;      ///< Flows homed at this balancer.
  std::uint32_t InFlight_ = 0;      ///< Pending requests of this balancer.
  std::uint32_t ReportedFlows_ = 0; ///< As reported by the upstream.
  std::uint32_t ConsecutiveFailures_ = 0;
  std::uint32_t ConsecutiveEjections_ = 0;
  MonoTime EjectedUntil_{};
  MonoTime WarmAt_{}; ///< End of the slow start.
  bool Declared_ = false;
  bool Leaving_ = false;   ///< Draining, or its host is leaving.
  bool Evacuated_ = false; ///< Its data hall is evacuated.
  bool Dead_ = false;      ///< See `setDead`.
  bool RemembersRequests_ = false;
};

/// The upstreams eligible for new flows of a service, with prefix sums of their
/// slots for weighted draws in O(log n).
struct EligibleSet {
  std::vector<std::uint32_t> Indexes_; ///< Into the upstream table.
  std::vector<std::uint64_t> CumulativeSlots_;

  bool empty() const { return Indexes_.empty(); }
  std::size_t size() const { return Indexes_.size(); }
  void clear();
  void add(std::uint32_t Index, std::uint32_t Slots);
};

/// Input of a `Chooser`, which returns an index into `Eligible_`. That set is
/// not empty.
struct ChooserInput {
  FlowKey Flow_;
  const EligibleSet &Eligible_;
  const std::vector<UpstreamRow> &Rows_;
  MonoTime Now_;
};
using Chooser = std::function<std::size_t(const ChooserInput &)>;

/// Returns the first candidate, whatever its load.
std::size_t chooseByHash(const ChooserInput &C);
/// Returns the less loaded of two candidates, by this balancer's own flows per
/// slot.
std::size_t chooseByOwnFlows(const ChooserInput &C);
/// Returns the less loaded of two candidates, by this balancer's requests in
/// progress per slot, then by its own flows.
std::size_t chooseByInProgress(const ChooserInput &C);
/// Returns the least loaded of all candidates, by this balancer's requests in
/// progress per slot, then by its own flows per slot, then by the flow's hash.
/// Upstreams in their slow start take part only for flows that draw and admit
/// them, so that they ramp up as with two candidates.
std::size_t chooseLeastLoaded(const ChooserInput &C);
/// Returns the less loaded of two candidates, by the flows per slot that the
/// upstreams report.
std::size_t chooseByReportedFlows(const ChooserInput &C);

/// Draws two different candidates for a flow from its hash, weighted by slots.
/// Both are 0 if only one upstream is eligible.
std::pair<std::size_t, std::size_t> drawCandidates(const ChooserInput &C);

/// The upstreams of a balancer and their health.
class UpstreamTable {
public:
  /// Time in which the share of new flows of a cold upstream ramps up.
  static constexpr Micros SlowStartDuration = std::chrono::seconds(5);
  static constexpr Micros BaseEjectionTime = std::chrono::seconds(2);
  static constexpr std::uint32_t DefaultFailureThreshold = 3;
  /// Consecutive ejections double in length up to this multiple of
  /// `BaseEjectionTime`: a live upstream serves again before, and a dead one
  /// costs callers less each time.
  static constexpr std::uint32_t MaxEjectionMultiplier = 4;

  explicit UpstreamTable(
      std::uint32_t FailureThreshold = DefaultFailureThreshold)
      : FailureThreshold_(FailureThreshold) {}

  void declare(const Declaration &D, MonoTime Now);
  /// Adds an upstream or updates the one with this identifier; returns its
  /// index.
  std::uint32_t addOrUpdate(UpstreamId Id, const Endpoint &At,
                            std::uint32_t Slots, MonoTime WarmAt);
  /// Ends the declaration of an upstream but keeps its row.
  void withdraw(std::uint32_t Index);
  /// Frees the row of a withdrawn upstream; its index may be reused.
  void release(std::uint32_t Index);
  void setLeaving(UpstreamId Id, bool Leaving);
  /// Records the incarnation from a datagram or a route. A new one starts the
  /// slow start.
  void recordIncarnation(std::uint32_t Index, Incarnation Seen, MonoTime Now);
  /// Adds an upstream that is known only from a route; returns its index.
  std::uint32_t addUndeclared(UpstreamId Id, const Endpoint &At);
  void recordSuccess(std::uint32_t Index);
  /// Counts a failure. Consecutive ones eject the upstream, for a time that
  /// grows with consecutive ejections and is scaled by 0.5 + \p Jitter, which
  /// is between 0 and 1.
  void recordFailure(std::uint32_t Index, MonoTime Now, double Jitter);
  /// Ejects the upstream until \p Until. A longer ejection stays in force.
  void eject(std::uint32_t Index, MonoTime Until);
  /// Begins a slow start at \p Start, after a start or an ejection.
  void beginSlowStart(std::uint32_t Index, MonoTime Start);
  /// Marks an upstream as dead: it is not eligible while another one is alive.
  void setDead(std::uint32_t Index, bool Dead);
  /// Clears all deaths, ejections and failures, after the process was
  /// suspended.
  void resetHealth();
  /// The same for one upstream, after its restart.
  void resetHealth(std::uint32_t Index);

  /// Marks an upstream as evacuated: it is never eligible.
  void setEvacuated(std::uint32_t Index, bool Evacuated);

  /// Sets \p Into to the eligible upstreams of \p Selected: those that are not
  /// leaving, evacuated, dead or ejected. Ejections are ignored if they would
  /// leave out more than half of the upstreams alive. If none is alive, the
  /// dead are eligible too, unless an upstream of \p Selected is evacuated. The
  /// result is valid until `generation` changes.
  void selectEligible(const std::vector<std::uint32_t> &Selected, MonoTime Now,
                      EligibleSet &Into) const;
  /// Changes whenever the result of `selectEligible` may change.
  std::uint64_t generation() const { return Generation_; }
  /// Changes `generation` if an ejection has ended by \p Now.
  void expireEjections(MonoTime Now);

  /// Index of no upstream.
  static constexpr std::uint32_t None = ~0U;
  std::uint32_t findById(UpstreamId Id) const;
  std::uint32_t findByEndpoint(const Endpoint &At) const;
  UpstreamRow &operator[](std::uint32_t Index) { return Rows_[Index]; }
  const std::vector<UpstreamRow> &rows() const { return Rows_; }

private:
  std::uint32_t allocateRow(UpstreamId Id);

  std::vector<UpstreamRow> Rows_;
  std::vector<std::uint32_t> FreeIndexes_;
  std::unordered_map<std::uint32_t, std::uint32_t> ById_;
  std::unordered_map<Endpoint, std::uint32_t, EndpointHash> ByEndpoint_;
  std::uint32_t FailureThreshold_;
  std::uint64_t Generation_ = 1;
  MonoTime NextEjectionEnd_ = MonoTime::max(); ///< The earliest one.
  bool HasDeclaration_ = false;
};

} // namespace thymewall

#endif

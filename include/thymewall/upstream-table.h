/// \file
/// What a balancer knows of each upstream, which upstreams take new flows of a
/// service now, and the hooks that choose among them.
#ifndef THYMEWALL_UPSTREAM_TABLE_H
#define THYMEWALL_UPSTREAM_TABLE_H

#include "thymewall/declaration.h"
#include "thymewall/flow-table.h"
#include "thymewall/routing.h"

#include <unordered_map>

namespace thymewall {

/// One upstream. An index stays valid until its row is released; an upstream
/// that is declared no longer only stops being eligible.
struct UpstreamRow {
  UpstreamId Id_{};
  Endpoint At_;
  Incarnation Incarnation_{}; ///< As last seen in its own datagrams.
  std::uint32_t Slots_ = 1;
  std::uint32_t OwnFlows_ = 0;      ///< Flows whose home is this balancer.
  std::uint32_t InFlight_ = 0;      ///< Requests sent by this balancer.
  std::uint32_t ReportedFlows_ = 0; ///< Its own count, as last reported.
  std::uint32_t ConsecutiveFailures_ = 0;  ///< In a row.
  std::uint32_t ConsecutiveEjections_ = 0; ///< In a row.
  MonoTime EjectedUntil_{};
  MonoTime WarmAt_{}; ///< End of its cold start.
  bool Declared_ = false;
  bool Leaving_ = false;   ///< The host list says so.
  bool Evacuated_ = false; ///< So is its data hall.
  bool Dead_ = false;      ///< Proved; until a check reaches it.
  bool RemembersRequests_ = false;
};

/// The upstreams that take new flows of a service, with the running sum of
/// their slots, which lets a draw weighted by slots cost O(log n).
struct EligibleSet {
  std::vector<std::uint32_t> Indexes_; ///< Into the upstream table.
  std::vector<std::uint64_t> CumulativeSlots_;

  bool empty() const { return Indexes_.empty(); }
  std::size_t size() const { return Indexes_.size(); }
  void clear();
  void add(std::uint32_t Index, std::uint32_t Slots);
};

/// What a chooser sees. It returns an index into `Eligible_`, which is not
/// empty.
struct ChooserInput {
  FlowKey Flow_;
  const EligibleSet &Eligible_;
  const std::vector<UpstreamRow> &Rows_;
  MonoTime Now_;
};
using Chooser = std::function<std::size_t(const ChooserInput &)>;

/// The first candidate, whatever its load.
std::size_t chooseByHash(const ChooserInput &C);
/// The less loaded of two candidates, by this balancer's own flows per slot.
std::size_t chooseByOwnFlows(const ChooserInput &C);
/// The less loaded of two candidates, by the requests in progress that this
/// balancer sees, then by its own flows.
std::size_t chooseByInProgress(const ChooserInput &C);
/// The less loaded of two candidates, by the upstreams' own reports.
std::size_t chooseByReportedFlows(const ChooserInput &C);

/// Two different candidates for a flow, drawn from its hash and weighted by
/// slots; both are 0 when there is just one.
std::pair<std::size_t, std::size_t> drawCandidates(const ChooserInput &C);

class UpstreamTable {
public:
  /// Ramp of a cold upstream, ejection time and the failures that lead to it.
  static constexpr Micros SlowStartDuration = std::chrono::seconds(5);
  static constexpr Micros BaseEjectionTime = std::chrono::seconds(2);
  static constexpr std::uint32_t DefaultFailureThreshold = 3;
  /// Ejections in a row double up to this many times the first: a living
  /// upstream is seen to serve before, a dead one costs callers less and less.
  static constexpr std::uint32_t MaxEjectionMultiplier = 4;

  explicit UpstreamTable(
      std::uint32_t FailureThreshold = DefaultFailureThreshold)
      : FailureThreshold_(FailureThreshold) {}

  void declare(const Declaration &D, MonoTime Now);
  /// Adds an upstream or changes the one with this identifier; gives its index.
  std::uint32_t addOrUpdate(UpstreamId Id, const Endpoint &At,
                            std::uint32_t Slots, MonoTime WarmAt);
  /// The upstream takes no new flows any more; its row stays.
  void withdraw(std::uint32_t Index);
  /// Gives the row of a withdrawn upstream back; its index may be used again.
  void release(std::uint32_t Index);
  void setLeaving(UpstreamId Id, bool Leaving);
  /// Notes the incarnation that a datagram of an upstream or a route showed.
  void recordIncarnation(std::uint32_t Index, Incarnation Seen, MonoTime Now);
  /// Adds an upstream that a route names and no declaration does any more.
  std::uint32_t addUndeclared(UpstreamId Id, const Endpoint &At);
  void recordSuccess(std::uint32_t Index);
  /// Counts a failure; after some in a row the upstream is ejected until
  /// \p Now plus an ejection time that grows with ejections in a row and is
  /// spread by \p Jitter (0 to 1).
  void recordFailure(std::uint32_t Index, MonoTime Now, double Jitter);
  /// Gives the upstream no new flows before \p Until.
  void eject(std::uint32_t Index, MonoTime Until);
  /// A cold start of the upstream, or a return, begins at \p Start.
  void beginSlowStart(std::uint32_t Index, MonoTime Start);
  /// Gives a dead upstream no new flows while another one lives.
  void setDead(std::uint32_t Index, bool Dead);
  /// Forgets every death, ejection and failure (after a late wake).
  void resetHealth();
  /// The same of one upstream, which has started again.
  void resetHealth(std::uint32_t Index);

  /// An evacuated upstream gets no new flows, whatever becomes of the others.
  void setEvacuated(std::uint32_t Index, bool Evacuated);

  /// Takes the leaving, the evacuated and the dead out of \p Selected, and the
  /// ejected, but of these never more than half of the living that may be used.
  /// If all of those are dead, all are taken; none, where others are evacuated:
  /// then it is known that nobody can serve. Holds until `generation` changes.
  void selectEligible(const std::vector<std::uint32_t> &Selected, MonoTime Now,
                      EligibleSet &Into) const;
  /// Changes whenever `selectEligible` may give something else.
  std::uint64_t generation() const { return Generation_; }
  /// Ends the ejections that are over.
  void expireEjections(MonoTime Now);

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
  MonoTime NextEjectionEnd_ = MonoTime::max(); ///< Of an ejected upstream.
  bool HasDeclaration_ = false;
};

} // namespace thymewall

#endif

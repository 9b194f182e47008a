#include "thymewall/upstream-table.h"

#include "mechanism.h"

#include <algorithm>

namespace thymewall {

namespace {

/// Maps a hash to (0, 1].
double unitInterval(std::uint64_t Hash) {
  return (static_cast<double>(Hash >> 11) + 1) / 9007199254740992.0;
}

/// Returns whether a flow may go to an upstream now: during its slow start, a
/// growing share of the flows that have it as a candidate.
bool slowStartAdmits(const ChooserInput &C, const UpstreamRow &Row) {
  if (C.Now_ >= Row.WarmAt_ || !detail::isEnabled(detail::Mechanism::ColdRamp))
    return true;
  auto Left = std::chrono::duration<double>(Row.WarmAt_ - C.Now_);
  auto Whole = std::chrono::duration<double>(UpstreamTable::SlowStartDuration);
  double Share = 1 - Left / Whole;
  std::uint64_t Draw = hashPair(raw(C.Flow_.Flow_), ~std::uint64_t{0});
  return unitInterval(Draw) <= std::max(Share, 0.1);
}

/// Returns whether an upstream is neither leaving nor evacuated.
bool acceptsNewFlows(const UpstreamRow &Row) {
  bool Stays =
      !Row.Leaving_ || !detail::isEnabled(detail::Mechanism::DrainingExclusion);
  bool Evacuated = Row.Evacuated_ &&
                   detail::isEnabled(detail::Mechanism::EvacuationExclusion);
  return Stays && !Evacuated;
}

const UpstreamRow &rowOf(const ChooserInput &C, std::size_t Index) {
  return C.Rows_[C.Eligible_.Indexes_[Index]];
}

/// Returns the less loaded of two candidates by \p Load per slot.
template <typename Function>
std::size_t chooseLessLoaded(const ChooserInput &C, Function Load) {
  auto [First, Second] = drawCandidates(C);
  const UpstreamRow &A = rowOf(C, First);
  const UpstreamRow &B = rowOf(C, Second);
  bool DeniedA = !slowStartAdmits(C, A);
  bool DeniedB = !slowStartAdmits(C, B);
  if (DeniedA != DeniedB)
    return DeniedA ? Second : First;
  if (!detail::isEnabled(detail::Mechanism::LeastLoaded))
    return First;
  std::uint64_t LoadA = std::uint64_t{Load(A)} * B.Slots_;
  std::uint64_t LoadB = std::uint64_t{Load(B)} * A.Slots_;
  return LoadB < LoadA ? Second : First;
}

/// Compares two upstreams by requests in progress per slot, then by own flows
/// per slot. Returns a number below, equal to or above 0.
int compareLoad(const UpstreamRow &A, const UpstreamRow &B) {
  auto Compare = [&](std::uint64_t OfA, std::uint64_t OfB) {
    std::uint64_t ByA = OfA * B.Slots_;
    std::uint64_t ByB = OfB * A.Slots_;
    return ByA < ByB ? -1 : static_cast<int>(ByA > ByB);
  };
  int ByRequests = Compare(A.InFlight_, B.InFlight_);
  return ByRequests != 0 ? ByRequests : Compare(A.OwnFlows_, B.OwnFlows_);
}

} // namespace

void EligibleSet::clear() {
  Indexes_.clear();
  CumulativeSlots_.clear();
}

void EligibleSet::add(std::uint32_t Index, std::uint32_t Slots) {
  std::uint64_t Before = CumulativeSlots_.empty() ? 0 : CumulativeSlots_.back();
  Indexes_.push_back(Index);
  CumulativeSlots_.push_back(Before + Slots);
}

std::pair<std::size_t, std::size_t> drawCandidates(const ChooserInput &C) {
  const std::vector<std::uint64_t> &UpTo = C.Eligible_.CumulativeSlots_;
  auto At = [&](std::uint64_t Slot) {
    return static_cast<std::size_t>(
        std::upper_bound(UpTo.begin(), UpTo.end(), Slot) - UpTo.begin());
  };
  if (UpTo.size() < 2)
    return {0, 0};
  std::uint64_t Hash = FlowRow::hash(C.Flow_);
  std::size_t First = At(Hash % UpTo.back());
  // Excludes the slots of the first candidate from the second draw.
  std::uint64_t Begin = First == 0 ? 0 : UpTo[First - 1];
  std::uint64_t Width = UpTo[First] - Begin;
  std::uint64_t Slot = hashPair(Hash, 1) % (UpTo.back() - Width);
  return {First, At(Slot < Begin ? Slot : Slot + Width)};
}

std::size_t chooseByHash(const ChooserInput &C) {
  return drawCandidates(C).first;
}

std::size_t chooseByOwnFlows(const ChooserInput &C) {
  return chooseLessLoaded(C, [](const UpstreamRow &R) { return R.OwnFlows_; });
}

std::size_t chooseByInProgress(const ChooserInput &C) {
  // Exceeds the number of flows, so that these only break ties.
  constexpr std::uint64_t RequestWeight = 1 << 20;
  return chooseLessLoaded(C, [](const UpstreamRow &R) {
    return R.InFlight_ * RequestWeight + R.OwnFlows_;
  });
}

std::size_t chooseLeastLoaded(const ChooserInput &C) {
  auto [First, Second] = drawCandidates(C);
  // As without an arc, upstreams that start together share their flows.
  if (!slowStartAdmits(C, rowOf(C, First)) &&
      !slowStartAdmits(C, rowOf(C, Second)))
    return chooseByInProgress(C);
  auto TakesPart = [&, Drawn = std::make_pair(First, Second)](std::size_t I) {
    bool IsDrawn = I == Drawn.first || I == Drawn.second;
    return C.Now_ >= rowOf(C, I).WarmAt_ ||
           (IsDrawn && slowStartAdmits(C, rowOf(C, I)));
  };
  std::size_t Best = C.Eligible_.size();
  std::uint64_t TiedSlots = 0;
  for (std::size_t I = 0; I < C.Eligible_.size(); ++I) {
    if (!TakesPart(I))
      continue;
    const UpstreamRow &Row = rowOf(C, I);
    int Order =
        Best == C.Eligible_.size() ? -1 : compareLoad(Row, rowOf(C, Best));
    if (Order < 0) {
      Best = I;
      TiedSlots = 0;
    }
    if (Order <= 0)
      TiedSlots += Row.Slots_;
  }
  // Draws among the equally loaded by slots.
  std::uint64_t Slot = hashPair(FlowRow::hash(C.Flow_), 2) % TiedSlots;
  for (std::size_t I = Best;; ++I) {
    const UpstreamRow &Row = rowOf(C, I);
    if (!TakesPart(I) || compareLoad(Row, rowOf(C, Best)) != 0)
      continue;
    if (Slot < Row.Slots_)
      return I;
    Slot -= Row.Slots_;
  }
}

std::size_t chooseByReportedFlows(const ChooserInput &C) {
  return chooseLessLoaded(
      C, [](const UpstreamRow &R) { return R.ReportedFlows_; });
}

void UpstreamTable::declare(const Declaration &D, MonoTime Now) {
  for (UpstreamRow &Row : Rows_)
    Row.Declared_ = false;
  for (const Upstream &U : D.Upstreams_) {
    std::uint32_t Known = findById(U.Id_);
    MonoTime WarmAt = HasDeclaration_ ? Now + SlowStartDuration : Now;
    if (Known != None)
      WarmAt = Rows_[Known].WarmAt_;
    std::uint32_t Index = addOrUpdate(U.Id_, U.Address_, U.Slots_, WarmAt);
    Rows_[Index].RemembersRequests_ = U.RemembersRequests_;
  }
  HasDeclaration_ = true;
  ++Generation_;
}

std::uint32_t UpstreamTable::addOrUpdate(UpstreamId Id, const Endpoint &At,
                                         std::uint32_t Slots, MonoTime WarmAt) {
  std::uint32_t Index = findById(Id);
  if (Index == None)
    Index = allocateRow(Id);
  UpstreamRow &Row = Rows_[Index];
  Row.Declared_ = true;
  Row.Address_ = At;
  Row.Slots_ = Slots;
  Row.WarmAt_ = WarmAt;
  ByEndpoint_[At] = Index;
  ++Generation_;
  return Index;
}

std::uint32_t UpstreamTable::allocateRow(UpstreamId Id) {
  auto Index = static_cast<std::uint32_t>(Rows_.size());
  if (FreeIndexes_.empty()) {
    Rows_.emplace_back();
  } else {
    Index = FreeIndexes_.back();
    FreeIndexes_.pop_back();
  }
  Rows_[Index].Id_ = Id;
  ById_[raw(Id)] = Index;
  return Index;
}

void UpstreamTable::withdraw(std::uint32_t Index) {
  Rows_[Index].Declared_ = false;
  ++Generation_;
}

void UpstreamTable::release(std::uint32_t Index) {
  UpstreamRow &Row = Rows_[Index];
  ById_.erase(raw(Row.Id_));
  auto AtAddress = ByEndpoint_.find(Row.Address_);
  if (AtAddress != ByEndpoint_.end() && AtAddress->second == Index)
    ByEndpoint_.erase(AtAddress);
  Row = UpstreamRow{};
  FreeIndexes_.push_back(Index);
  ++Generation_;
}

void UpstreamTable::setLeaving(UpstreamId Id, bool Leaving) {
  std::uint32_t Index = findById(Id);
  if (Index == None || Rows_[Index].Leaving_ == Leaving)
    return;
  Rows_[Index].Leaving_ = Leaving;
  ++Generation_;
}

std::uint32_t UpstreamTable::addUndeclared(UpstreamId Id, const Endpoint &At) {
  std::uint32_t Index = allocateRow(Id);
  Rows_[Index].Address_ = At;
  ByEndpoint_.try_emplace(At, Index);
  return Index;
}

void UpstreamTable::recordIncarnation(std::uint32_t Index, Incarnation Seen,
                                      MonoTime Now) {
  UpstreamRow &Row = Rows_[Index];
  if (Row.Incarnation_ == Seen)
    return;
  if (Row.Incarnation_ != Incarnation{})
    Row.WarmAt_ = Now + SlowStartDuration;
  Row.Incarnation_ = Seen;
}

void UpstreamTable::recordSuccess(std::uint32_t Index) {
  Rows_[Index].ConsecutiveFailures_ = 0;
  Rows_[Index].ConsecutiveEjections_ = 0;
}

void UpstreamTable::recordFailure(std::uint32_t Index, MonoTime Now,
                                  double Jitter) {
  UpstreamRow &Row = Rows_[Index];
  if (++Row.ConsecutiveFailures_ < FailureThreshold_)
    return;
  // A request that fails during an ejection was sent before it and counts to
  // the same ejection, unless that had another cause.
  bool Ejected = Row.EjectedUntil_ > Now;
  if (!Ejected || Row.ConsecutiveEjections_ == 0)
    ++Row.ConsecutiveEjections_;
  std::uint32_t Multiplier = std::min(
      MaxEjectionMultiplier, 1U << std::min(Row.ConsecutiveEjections_ - 1, 8U));
  auto Duration = std::chrono::duration_cast<Micros>(
      BaseEjectionTime * (0.5 + Jitter) * Multiplier);
  eject(Index, Now + Duration);
}

void UpstreamTable::eject(std::uint32_t Index, MonoTime Until) {
  UpstreamRow &Row = Rows_[Index];
  Row.EjectedUntil_ = std::max(Row.EjectedUntil_, Until);
  Row.ConsecutiveFailures_ = 0;
  NextEjectionEnd_ = std::min(NextEjectionEnd_, Row.EjectedUntil_);
  ++Generation_;
}

void UpstreamTable::beginSlowStart(std::uint32_t Index, MonoTime Start) {
  Rows_[Index].WarmAt_ =
      std::max(Rows_[Index].WarmAt_, Start + SlowStartDuration);
}

void UpstreamTable::setDead(std::uint32_t Index, bool Dead) {
  if (Rows_[Index].Dead_ == Dead)
    return;
  Rows_[Index].Dead_ = Dead;
  ++Generation_;
}

void UpstreamTable::setEvacuated(std::uint32_t Index, bool Evacuated) {
  if (Rows_[Index].Evacuated_ == Evacuated)
    return;
  Rows_[Index].Evacuated_ = Evacuated;
  ++Generation_;
}

void UpstreamTable::resetHealth() {
  for (std::uint32_t Index = 0; Index < Rows_.size(); ++Index)
    resetHealth(Index);
}

void UpstreamTable::resetHealth(std::uint32_t Index) {
  UpstreamRow &Row = Rows_[Index];
  Row.Dead_ = false;
  Row.ConsecutiveFailures_ = 0;
  Row.ConsecutiveEjections_ = 0;
  Row.EjectedUntil_ = {};
  ++Generation_;
}

void UpstreamTable::expireEjections(MonoTime Now) {
  if (Now < NextEjectionEnd_)
    return;
  NextEjectionEnd_ = MonoTime::max();
  for (const UpstreamRow &Row : Rows_)
    if (Row.EjectedUntil_ > Now)
      NextEjectionEnd_ = std::min(NextEjectionEnd_, Row.EjectedUntil_);
  ++Generation_;
}

void UpstreamTable::selectEligible(const std::vector<std::uint32_t> &Selected,
                                   MonoTime Now, EligibleSet &Into) const {
  auto SelectIf = [&](auto Predicate) {
    Into.clear();
    for (std::uint32_t Index : Selected)
      if (acceptsNewFlows(Rows_[Index]) && Predicate(Rows_[Index]))
        Into.add(Index, Rows_[Index].Slots_);
  };
  auto IsAlive = [](const UpstreamRow &Row) { return !Row.Dead_; };
  std::size_t Alive = 0;
  bool Evacuated = false;
  for (std::uint32_t Index : Selected) {
    if (acceptsNewFlows(Rows_[Index]) && IsAlive(Rows_[Index]))
      ++Alive;
    Evacuated = Evacuated || Rows_[Index].Evacuated_;
  }
  if (Alive == 0)
    return SelectIf([=](const UpstreamRow &) { return !Evacuated; });
  SelectIf([&](const UpstreamRow &Row) {
    return IsAlive(Row) && Row.EjectedUntil_ <= Now;
  });
  if (2 * Into.size() < Alive)
    SelectIf(IsAlive);
}

std::uint32_t UpstreamTable::findById(UpstreamId Id) const {
  auto Known = ById_.find(raw(Id));
  return Known == ById_.end() ? None : Known->second;
}

std::uint32_t UpstreamTable::findByEndpoint(const Endpoint &At) const {
  auto Known = ByEndpoint_.find(At);
  return Known == ByEndpoint_.end() ? None : Known->second;
}

} // namespace thymewall

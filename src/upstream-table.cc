#include "thymewall/upstream-table.h"

#include "mechanism.h"

#include <algorithm>

namespace thymewall {

namespace {

/// A hash as a number in (0, 1].
double unit(std::uint64_t Hash) {
  return (static_cast<double>(Hash >> 11) + 1) / 9007199254740992.0;
}

/// A cold upstream takes a share of its candidates that grows to all of them.
bool admitsWhileCold(const Choice &C, const UpstreamRow &Row) {
  if (C.Now_ >= Row.WarmAt_ || !detail::has(detail::Mechanism::ColdRamp))
    return true;
  auto Left = std::chrono::duration<double>(Row.WarmAt_ - C.Now_);
  auto Whole = std::chrono::duration<double>(UpstreamTable::ColdStart);
  double Share = 1 - Left / Whole;
  std::uint64_t Draw = hashPair(raw(C.Flow_.Flow_), ~std::uint64_t{0});
  return unit(Draw) <= std::max(Share, 0.1);
}

/// Neither about to leave nor evacuated, so that it may take new flows.
bool mayTake(const UpstreamRow &Row) {
  bool Stays = !Row.Leaving_ || !detail::has(detail::Mechanism::Leaving);
  bool Evacuated = Row.Evacuated_ && detail::has(detail::Mechanism::Evacuation);
  return Stays && !Evacuated;
}

const UpstreamRow &rowOf(const Choice &C, std::size_t Index) {
  return C.Rows_[C.Eligible_.Indexes_[Index]];
}

/// The less loaded of two candidates, by a load given as a number.
template <typename Function>
std::size_t chooseTwo(const Choice &C, Function Load) {
  auto [First, Second] = candidates(C);
  const UpstreamRow &A = rowOf(C, First);
  const UpstreamRow &B = rowOf(C, Second);
  bool ColdA = !admitsWhileCold(C, A);
  bool ColdB = !admitsWhileCold(C, B);
  if (ColdA != ColdB)
    return ColdA ? Second : First;
  if (!detail::has(detail::Mechanism::LeastLoaded))
    return First;
  std::uint64_t LoadA = std::uint64_t{Load(A)} * B.Slots_;
  std::uint64_t LoadB = std::uint64_t{Load(B)} * A.Slots_;
  return LoadB < LoadA ? Second : First;
}

} // namespace

void Eligible::clear() {
  Indexes_.clear();
  SlotsUpTo_.clear();
}

void Eligible::add(std::uint32_t Index, std::uint32_t Slots) {
  std::uint64_t Before = SlotsUpTo_.empty() ? 0 : SlotsUpTo_.back();
  Indexes_.push_back(Index);
  SlotsUpTo_.push_back(Before + Slots);
}

std::pair<std::size_t, std::size_t> candidates(const Choice &C) {
  const std::vector<std::uint64_t> &UpTo = C.Eligible_.SlotsUpTo_;
  auto At = [&](std::uint64_t Slot) {
    return static_cast<std::size_t>(
        std::upper_bound(UpTo.begin(), UpTo.end(), Slot) - UpTo.begin());
  };
  if (UpTo.size() < 2)
    return {0, 0};
  std::uint64_t Hash = FlowRow::hash(C.Flow_);
  std::size_t First = At(Hash % UpTo.back());
  // The second draw leaves out the first one's slots.
  std::uint64_t Begin = First == 0 ? 0 : UpTo[First - 1];
  std::uint64_t Width = UpTo[First] - Begin;
  std::uint64_t Slot = hashPair(Hash, 1) % (UpTo.back() - Width);
  return {First, At(Slot < Begin ? Slot : Slot + Width)};
}

std::size_t choosePlainHash(const Choice &C) { return candidates(C).first; }

std::size_t chooseTwoOwn(const Choice &C) {
  return chooseTwo(C, [](const UpstreamRow &R) { return R.OwnFlows_; });
}

std::size_t chooseTwoInProgress(const Choice &C) {
  // Flows only break ties: no balancer holds this many for one upstream.
  constexpr std::uint64_t Request = 1 << 20;
  return chooseTwo(C, [](const UpstreamRow &R) {
    return R.InFlight_ * Request + R.OwnFlows_;
  });
}

std::size_t chooseTwoReported(const Choice &C) {
  return chooseTwo(C, [](const UpstreamRow &R) { return R.ReportedFlows_; });
}

void UpstreamTable::declare(const Declaration &D, MonoTime Now) {
  for (UpstreamRow &Row : Rows_)
    Row.Declared_ = false;
  for (const Upstream &U : D.Upstreams_) {
    std::uint32_t Known = byId(U.Id_);
    MonoTime WarmAt = Started_ ? Now + ColdStart : Now;
    if (Known != None)
      WarmAt = Rows_[Known].WarmAt_;
    std::uint32_t Index = declareOne(U.Id_, U.Address_, U.Slots_, WarmAt);
    Rows_[Index].Remembers_ = U.RemembersRequests_;
  }
  Started_ = true;
  ++Generation_;
}

std::uint32_t UpstreamTable::declareOne(UpstreamId Id, const Endpoint &At,
                                        std::uint32_t Slots, MonoTime WarmAt) {
  std::uint32_t Index = byId(Id);
  if (Index == None)
    Index = addRow(Id);
  UpstreamRow &Row = Rows_[Index];
  Row.Declared_ = true;
  Row.At_ = At;
  Row.Slots_ = Slots;
  Row.WarmAt_ = WarmAt;
  ByEndpoint_[At] = Index;
  ++Generation_;
  return Index;
}

std::uint32_t UpstreamTable::addRow(UpstreamId Id) {
  auto Index = static_cast<std::uint32_t>(Rows_.size());
  if (Released_.empty()) {
    Rows_.emplace_back();
  } else {
    Index = Released_.back();
    Released_.pop_back();
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
  auto AtAddress = ByEndpoint_.find(Row.At_);
  if (AtAddress != ByEndpoint_.end() && AtAddress->second == Index)
    ByEndpoint_.erase(AtAddress);
  Row = UpstreamRow{};
  Released_.push_back(Index);
  ++Generation_;
}

void UpstreamTable::setLeaving(UpstreamId Id, bool Leaving) {
  std::uint32_t Index = byId(Id);
  if (Index == None || Rows_[Index].Leaving_ == Leaving)
    return;
  Rows_[Index].Leaving_ = Leaving;
  ++Generation_;
}

std::uint32_t UpstreamTable::adopt(UpstreamId Id, const Endpoint &At) {
  std::uint32_t Index = addRow(Id);
  Rows_[Index].At_ = At;
  ByEndpoint_.try_emplace(At, Index);
  return Index;
}

void UpstreamTable::seen(std::uint32_t Index, Incarnation Seen, MonoTime Now) {
  UpstreamRow &Row = Rows_[Index];
  if (Row.Incarnation_ == Seen)
    return;
  if (Row.Incarnation_ != Incarnation{})
    Row.WarmAt_ = Now + ColdStart;
  Row.Incarnation_ = Seen;
}

void UpstreamTable::succeeded(std::uint32_t Index) {
  Rows_[Index].Failures_ = 0;
  Rows_[Index].Ejections_ = 0;
}

void UpstreamTable::failed(std::uint32_t Index, MonoTime Now, double Jitter) {
  UpstreamRow &Row = Rows_[Index];
  if (++Row.Failures_ < FailuresInARow_)
    return;
  // What fails while it is ejected was sent before: the same failure, unless
  // another reason ejected it.
  bool Ejected = Row.EjectedUntil_ > Now;
  if (!Ejected || Row.Ejections_ == 0)
    ++Row.Ejections_;
  std::uint32_t Times =
      std::min(LongestEjection, 1U << std::min(Row.Ejections_ - 1, 8U));
  auto Spread =
      std::chrono::duration_cast<Micros>(Ejection * (0.5 + Jitter) * Times);
  eject(Index, Now + Spread);
}

void UpstreamTable::eject(std::uint32_t Index, MonoTime Until) {
  UpstreamRow &Row = Rows_[Index];
  Row.EjectedUntil_ = std::max(Row.EjectedUntil_, Until);
  Row.Failures_ = 0;
  NextReturn_ = std::min(NextReturn_, Row.EjectedUntil_);
  ++Generation_;
}

void UpstreamTable::warmFrom(std::uint32_t Index, MonoTime Start) {
  Rows_[Index].WarmAt_ = std::max(Rows_[Index].WarmAt_, Start + ColdStart);
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

void UpstreamTable::forgetBeliefs() {
  for (std::uint32_t Index = 0; Index < Rows_.size(); ++Index)
    forgetBeliefs(Index);
}

void UpstreamTable::forgetBeliefs(std::uint32_t Index) {
  UpstreamRow &Row = Rows_[Index];
  Row.Dead_ = false;
  Row.Failures_ = 0;
  Row.Ejections_ = 0;
  Row.EjectedUntil_ = {};
  ++Generation_;
}

void UpstreamTable::review(MonoTime Now) {
  if (Now < NextReturn_)
    return;
  NextReturn_ = MonoTime::max();
  for (const UpstreamRow &Row : Rows_)
    if (Row.EjectedUntil_ > Now)
      NextReturn_ = std::min(NextReturn_, Row.EjectedUntil_);
  ++Generation_;
}

void UpstreamTable::eligibleNow(const std::vector<std::uint32_t> &Selected,
                                MonoTime Now, Eligible &Into) const {
  auto TakeIf = [&](auto Wanted) {
    Into.clear();
    for (std::uint32_t Index : Selected)
      if (mayTake(Rows_[Index]) && Wanted(Rows_[Index]))
        Into.add(Index, Rows_[Index].Slots_);
  };
  auto Lives = [](const UpstreamRow &Row) { return !Row.Dead_; };
  std::size_t Living = 0;
  bool Evacuated = false;
  for (std::uint32_t Index : Selected) {
    if (mayTake(Rows_[Index]) && Lives(Rows_[Index]))
      ++Living;
    Evacuated = Evacuated || Rows_[Index].Evacuated_;
  }
  if (Living == 0)
    return TakeIf([=](const UpstreamRow &) { return !Evacuated; });
  TakeIf([&](const UpstreamRow &Row) {
    return Lives(Row) && Row.EjectedUntil_ <= Now;
  });
  if (2 * Into.size() < Living)
    TakeIf(Lives);
}

std::uint32_t UpstreamTable::byId(UpstreamId Id) const {
  auto Known = ById_.find(raw(Id));
  return Known == ById_.end() ? None : Known->second;
}

std::uint32_t UpstreamTable::byEndpoint(const Endpoint &At) const {
  auto Known = ByEndpoint_.find(At);
  return Known == ByEndpoint_.end() ? None : Known->second;
}

} // namespace thymewall

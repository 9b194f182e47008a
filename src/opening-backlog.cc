#include "thymewall/opening-backlog.h"

#include "mechanism.h"

#include <algorithm>
#include <limits>

namespace thymewall {

namespace {

/// Returns the priority by which openings are ordered.
std::uint8_t orderingPriority(const WaitingOpening &Opening) {
  bool Ordered = detail::isEnabled(detail::Mechanism::PriorityOrder);
  return Ordered ? Opening.Priority_ : 0;
}

/// Compares openings of any service.
bool isWorse(const WaitingOpening &A, const WaitingOpening &B) {
  return std::make_pair(orderingPriority(A), A.ObjectiveEnd_) >
         std::make_pair(orderingPriority(B), B.ObjectiveEnd_);
}

} // namespace

OpeningBacklog::Position
OpeningBacklog::positionOf(const WaitingOpening &Opening) {
  return {Opening.Service_, orderingPriority(Opening), Opening.ObjectiveEnd_,
          Opening.Flow_};
}

std::optional<WaitingOpening>
OpeningBacklog::add(const WaitingOpening &Opening) {
  std::optional<WaitingOpening> Displaced;
  if (size() >= MaxOpenings) {
    auto Worst = worst();
    if (!isWorse(Worst->second, Opening))
      return Opening;
    Displaced = remove(Worst);
  }
  Position At = positionOf(Opening);
  Queue_.emplace(At, Opening);
  Positions_.emplace(Opening.Flow_, At);
  Expiries_.emplace(Opening.WaitUntil_, Opening.Flow_);
  ++Services_[raw(Opening.Service_)].Size_;
  return Displaced;
}

bool OpeningBacklog::recordCopy(FlowId Flow, std::uint32_t Copies) {
  auto It = Positions_.find(Flow);
  if (It == Positions_.end())
    return false;
  WaitingOpening &Opening = Queue_.at(It->second);
  Opening.Copies_ = std::max(Opening.Copies_, Copies);
  return true;
}

std::size_t OpeningBacklog::countAhead(const WaitingOpening &Opening) const {
  auto Ahead = std::distance(firstOf(Opening.Service_),
                             Queue_.lower_bound(positionOf(Opening)));
  return static_cast<std::size_t>(Ahead);
}

std::optional<WaitingOpening> OpeningBacklog::takeNext(ServiceId Service) {
  if (size(Service) == 0)
    return std::nullopt;
  ServiceQueue &State = Services_[raw(Service)];
  auto Lowest = firstOfLowest(Service);
  auto Next = isTurnOfLowest(Service) ? Lowest : firstOf(Service);
  State.SinceLowest_ = Next == Lowest ? 0 : State.SinceLowest_ + 1;
  return remove(Next);
}

std::optional<std::uint8_t>
OpeningBacklog::bestPriority(ServiceId Service) const {
  if (size(Service) == 0)
    return std::nullopt;
  return orderingPriority(firstOf(Service)->second);
}

bool OpeningBacklog::isTurnOfLowest(ServiceId Service) const {
  auto It = Services_.find(raw(Service));
  return It != Services_.end() && It->second.Size_ > 0 &&
         It->second.SinceLowest_ + 1 >= LowestPriorityEvery;
}

void OpeningBacklog::recordBypass(ServiceId Service) {
  if (size(Service) > 0)
    ++Services_[raw(Service)].SinceLowest_;
}

std::optional<WaitingOpening> OpeningBacklog::takeExpired(MonoTime Now) {
  if (nextExpiry() > Now)
    return std::nullopt;
  return remove(Queue_.find(Positions_.at(Expiries_.begin()->second)));
}

std::vector<WaitingOpening> OpeningBacklog::takeIf(
    const std::function<bool(const WaitingOpening &)> &Matches) {
  std::vector<WaitingOpening> Taken;
  for (auto It = Queue_.cbegin(); It != Queue_.cend();) {
    auto Current = It++;
    if (Matches(Current->second))
      Taken.push_back(remove(Current));
  }
  return Taken;
}

MonoTime OpeningBacklog::nextExpiry() const {
  return Expiries_.empty() ? MonoTime::max() : Expiries_.begin()->first;
}

void OpeningBacklog::recordRejection(MonoTime Now, FlowId Flow) {
  Rejections_[Flow] = Now;
  RejectionOrder_.emplace_back(Now, Flow);
  while (RejectionOrder_.size() > MaxRejections ||
         Now - RejectionOrder_.front().first > RejectionMemory) {
    auto [At, Oldest] = RejectionOrder_.front();
    RejectionOrder_.pop_front();
    auto It = Rejections_.find(Oldest);
    if (It != Rejections_.end() && It->second == At)
      Rejections_.erase(It);
  }
}

bool OpeningBacklog::wasRejected(MonoTime Now, FlowId Flow) const {
  auto It = Rejections_.find(Flow);
  return It != Rejections_.end() && Now - It->second <= RejectionMemory;
}

std::size_t OpeningBacklog::size(ServiceId Service) const {
  if (empty())
    return 0; // usual; saves the look-up for each packet
  auto It = Services_.find(raw(Service));
  return It == Services_.end() ? 0 : It->second.Size_;
}

OpeningBacklog::Queue::const_iterator
OpeningBacklog::firstOf(ServiceId Service) const {
  return Queue_.lower_bound({Service, 0, MonoTime::min(), FlowId{}});
}

OpeningBacklog::Queue::const_iterator
OpeningBacklog::firstOfLowest(ServiceId Service) const {
  constexpr auto LowestPriority = std::numeric_limits<std::uint8_t>::max();
  constexpr auto LastFlow =
      static_cast<FlowId>(std::numeric_limits<std::uint64_t>::max());
  auto Last = std::prev(
      Queue_.upper_bound({Service, LowestPriority, MonoTime::max(), LastFlow}));
  return Queue_.lower_bound(
      {Service, std::get<1>(Last->first), MonoTime::min(), FlowId{}});
}

OpeningBacklog::Queue::const_iterator OpeningBacklog::worst() const {
  return std::max_element(
      Queue_.begin(), Queue_.end(),
      [](const auto &A, const auto &B) { return isWorse(B.second, A.second); });
}

WaitingOpening OpeningBacklog::remove(Queue::const_iterator It) {
  WaitingOpening Opening = It->second;
  Queue_.erase(It);
  Positions_.erase(Opening.Flow_);
  Expiries_.erase({Opening.WaitUntil_, Opening.Flow_});
  --Services_[raw(Opening.Service_)].Size_;
  return Opening;
}

} // namespace thymewall

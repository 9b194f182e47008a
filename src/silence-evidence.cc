#include "thymewall/silence-evidence.h"

#include <algorithm>
#include <cmath>

namespace thymewall {

bool FailureEvidence::add(MonoTime Now, std::uint32_t Upstream, FlowId Flow) {
  std::vector<Request> &Of = Unanswered_[Upstream];
  Of.erase(
      std::remove_if(Of.begin(), Of.end(),
                     [Now](const Request &R) { return R.CountsUntil_ <= Now; }),
      Of.end());
  bool Known = std::any_of(Of.begin(), Of.end(), [Flow](const Request &R) {
    return R.Flow_ == Flow;
  });
  if (Known || Of.size() >= MaxRequests)
    return false;
  Of.push_back({Flow, Now + CountingWindow});
  return true;
}

void FailureEvidence::expire(MonoTime Now) {
  for (auto Item = Unanswered_.begin(); Item != Unanswered_.end();)
    Item = count(Now, Item->first) == 0 ? Unanswered_.erase(Item)
                                        : std::next(Item);
}

std::size_t FailureEvidence::count(MonoTime Now, std::uint32_t Upstream) const {
  auto Known = Unanswered_.find(Upstream);
  if (Known == Unanswered_.end())
    return 0;
  const std::vector<Request> &Of = Known->second;
  return static_cast<std::size_t>(
      std::count_if(Of.begin(), Of.end(),
                    [Now](const Request &R) { return R.CountsUntil_ > Now; }));
}

std::size_t
FailureEvidence::threshold(MonoTime Now, std::uint32_t Upstream,
                           const std::vector<std::uint32_t> &Members,
                           double FalsePositiveRate) const {
  std::size_t Others = 0;
  std::size_t Silent = 0;
  for (std::uint32_t Member : Members) {
    if (Member == Upstream)
      continue;
    ++Others;
    if (count(Now, Member) > 0)
      ++Silent;
  }
  return thresholdAmong(Others, Silent, FalsePositiveRate);
}

std::size_t FailureEvidence::thresholdAmong(std::size_t Others,
                                            std::size_t Silent,
                                            double FalsePositiveRate) {
  // Half an upstream more, so that silence of all is not without bound.
  double Clean = (static_cast<double>(Others - Silent) + 0.5) /
                 (static_cast<double>(Others) + 0.5);
  // Requests that fall on upstreams by chance leave this share of them clean
  // when each has so many in the mean.
  double Mean = -std::log(Clean);
  double Exactly = Clean; // the chance of no request
  double Tail = 1 - Exactly;
  std::size_t Needed = 1;
  while (Tail > FalsePositiveRate && Needed < MaxRequests) {
    Exactly *= Mean / static_cast<double>(Needed);
    Tail -= Exactly;
    ++Needed;
  }
  return Needed;
}

} // namespace thymewall

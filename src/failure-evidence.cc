#include "thymewall/failure-evidence.h"

#include <algorithm>
#include <cmath>

namespace thymewall {

bool FailureEvidence::add(MonoTime Now, std::uint32_t Upstream, FlowId Flow) {
  std::vector<Request> &Requests = FailedRequests_[Upstream];
  Requests.erase(
      std::remove_if(Requests.begin(), Requests.end(),
                     [Now](const Request &R) { return R.ExpiresAt_ <= Now; }),
      Requests.end());
  bool Known =
      std::any_of(Requests.begin(), Requests.end(),
                  [Flow](const Request &R) { return R.Flow_ == Flow; });
  if (Known || Requests.size() >= MaxRequests)
    return false;
  Requests.push_back({Flow, Now + CountingWindow});
  return true;
}

void FailureEvidence::expire(MonoTime Now) {
  for (auto Item = FailedRequests_.begin(); Item != FailedRequests_.end();)
    Item = count(Now, Item->first) == 0 ? FailedRequests_.erase(Item)
                                        : std::next(Item);
}

std::size_t FailureEvidence::count(MonoTime Now, std::uint32_t Upstream) const {
  auto Found = FailedRequests_.find(Upstream);
  if (Found == FailedRequests_.end())
    return 0;
  const std::vector<Request> &Requests = Found->second;
  return static_cast<std::size_t>(
      std::count_if(Requests.begin(), Requests.end(),
                    [Now](const Request &R) { return R.ExpiresAt_ > Now; }));
}

std::size_t
FailureEvidence::threshold(MonoTime Now, std::uint32_t Upstream,
                           const std::vector<std::uint32_t> &Members,
                           double FalsePositiveRate) const {
  std::size_t Others = 0;
  std::size_t Failing = 0;
  for (std::uint32_t Member : Members) {
    if (Member == Upstream)
      continue;
    ++Others;
    if (count(Now, Member) > 0)
      ++Failing;
  }
  return thresholdAmong(Others, Failing, FalsePositiveRate);
}

std::size_t FailureEvidence::thresholdAmong(std::size_t Others,
                                            std::size_t Failing,
                                            double FalsePositiveRate) {
  // Adds half an upstream, so that the logarithm is finite if all are failing.
  double Unaffected = (static_cast<double>(Others - Failing) + 0.5) /
                      (static_cast<double>(Others) + 0.5);
  // Mean of the Poisson distribution in which this share has no failure.
  double Mean = -std::log(Unaffected);
  double Probability = Unaffected; // of exactly `Threshold - 1` failures
  double Tail = 1 - Probability;
  std::size_t Threshold = 1;
  while (Tail > FalsePositiveRate && Threshold < MaxRequests) {
    Probability *= Mean / static_cast<double>(Threshold);
    Tail -= Probability;
    ++Threshold;
  }
  return Threshold;
}

} // namespace thymewall

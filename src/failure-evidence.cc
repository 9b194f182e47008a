#include "thymewall/failure-evidence.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace thymewall {

namespace {

/// Share of healthy upstreams that may reach a threshold during overload by
/// chance. Smaller than otherwise, since the remaining upstreams cannot take
/// the load of an ejected one.
constexpr double OverloadFalsePositiveRate = 0.0005;
/// Distance, in standard deviations, from the mean of the others' counts that
/// blames an upstream during overload. Rejections come in clusters, while a
/// queue is full, so that their spread exceeds that of a Poisson distribution.
constexpr double OverloadDeviations = 4;
/// Share of runs of failed requests that may blame a healthy upstream during
/// overload. It is judged at every failure, thus more often than counts are.
constexpr double OverloadRunRate = 0.0001;
/// Overload is assumed if this part of the other upstreams (one in so many)
/// shows the symptom. Faults that hit a third of a service at once are rare.
constexpr std::size_t OverloadPart = 3;

/// Returns the smallest count that at most \p Rate of the values of a Poisson
/// distribution reach, but not more than \p Max.
std::size_t poissonThreshold(double Mean, double Rate, std::size_t Max) {
  double Probability = std::exp(-Mean); // of exactly `Threshold - 1`
  double Tail = 1 - Probability;
  std::size_t Threshold = 1;
  while (Tail > Rate && Threshold < Max) {
    Probability *= Mean / static_cast<double>(Threshold);
    Tail -= Probability;
    ++Threshold;
  }
  return Threshold;
}

/// Returns the mean of the Poisson distribution in which all but \p Failing of
/// \p Others have no failure. Adds half an upstream, so that the logarithm is
/// finite if all are failing.
double meanFailures(std::size_t Others, std::size_t Failing) {
  double Unaffected = (static_cast<double>(Others - Failing) + 0.5) /
                      (static_cast<double>(Others) + 0.5);
  return -std::log(Unaffected);
}

} // namespace

bool FailureEvidence::add(MonoTime Now, std::uint32_t Upstream, FlowId Flow) {
  recordSymptom(Now, Upstream);
  std::vector<Request> &Requests = FailedRequests_[Upstream].Requests_;
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

void FailureEvidence::recordSymptom(MonoTime Now, std::uint32_t Upstream) {
  FailedRequests_[Upstream].SymptomUntil_ = Now + CountingWindow;
}

void FailureEvidence::resetCount(std::uint32_t Upstream) {
  auto Found = FailedRequests_.find(Upstream);
  if (Found != FailedRequests_.end())
    Found->second.Requests_.clear();
}

/// The symptom of an upstream outlasts its failures that count.
void FailureEvidence::expire(MonoTime Now) {
  for (auto Item = FailedRequests_.begin(); Item != FailedRequests_.end();)
    Item = Item->second.SymptomUntil_ <= Now ? FailedRequests_.erase(Item)
                                             : std::next(Item);
}

std::size_t FailureEvidence::count(MonoTime Now, std::uint32_t Upstream) const {
  auto Found = FailedRequests_.find(Upstream);
  if (Found == FailedRequests_.end())
    return 0;
  const std::vector<Request> &Requests = Found->second.Requests_;
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
  return poissonThreshold(meanFailures(Others, Failing), FalsePositiveRate,
                          MaxRequests);
}

FailureEvidence::Comparison
FailureEvidence::compare(MonoTime Now, std::uint32_t Upstream,
                         const std::vector<std::uint32_t> &Members) const {
  Comparison Rest;
  std::vector<std::size_t> Counts;
  Counts.reserve(Members.size());
  for (std::uint32_t Member : Members) {
    if (Member == Upstream)
      continue;
    Counts.push_back(count(Now, Member));
    auto Found = FailedRequests_.find(Member);
    if (Found != FailedRequests_.end() && Found->second.SymptomUntil_ > Now)
      ++Rest.Failing_;
  }
  Rest.Others_ = Counts.size();
  if (Counts.empty())
    return Rest;
  auto Middle = Counts.begin() + static_cast<std::ptrdiff_t>(Counts.size() / 2);
  std::nth_element(Counts.begin(), Middle, Counts.end());
  Rest.MedianCount_ = *Middle;
  double Sum = 0;
  double Squares = 0;
  for (std::size_t Count : Counts) {
    Sum += static_cast<double>(Count);
    Squares += static_cast<double>(Count * Count);
  }
  auto Size = static_cast<double>(Counts.size());
  Rest.MeanCount_ = Sum / Size;
  double Variance = Squares / Size - Rest.MeanCount_ * Rest.MeanCount_;
  Rest.CountDeviation_ = std::sqrt(std::max(Variance, 0.0));
  return Rest;
}

bool FailureEvidence::isOverload(bool Full, const Comparison &Rest) {
  bool Widespread =
      Rest.Failing_ > 0 && OverloadPart * Rest.Failing_ >= Rest.Others_;
  return Full || Widespread;
}

std::size_t FailureEvidence::overloadThreshold(const Comparison &Rest) {
  // The median isn't affected by a few faulty ones among the others.
  double Mean = std::max(meanFailures(Rest.Others_, Rest.Failing_),
                         static_cast<double>(Rest.MedianCount_));
  std::size_t ByChance =
      poissonThreshold(Mean, OverloadFalsePositiveRate, 3 * MaxRequests);
  double Spread = Rest.MeanCount_ + OverloadDeviations * Rest.CountDeviation_;
  return std::max(ByChance, static_cast<std::size_t>(std::ceil(Spread)));
}

std::size_t FailureEvidence::overloadRunThreshold(double FailedShare) {
  if (FailedShare <= 0)
    return 1;
  if (FailedShare >= 1)
    return std::numeric_limits<std::size_t>::max();
  return static_cast<std::size_t>(
      std::ceil(std::log(OverloadRunRate) / std::log(FailedShare)));
}

} // namespace thymewall

#include "thymewall/answer-sizes.h"

#include <algorithm>
#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <deque>
#include <set>
#include <vector>

namespace thymewall {

namespace {

/// Logarithmic buckets of half an octave; sizes outside the range are clamped.
constexpr unsigned Buckets = 32;
constexpr double SmallestSize = 16;
constexpr double LargestSize = 1 << 20;
/// Number of latest answers that show whether the service itself now gives
/// other answers.
constexpr std::size_t LatestAnswers = 64;

using Axis =
    boost::histogram::axis::regular<double,
                                    boost::histogram::axis::transform::log>;

auto emptyHistogram() {
  return boost::histogram::make_histogram_with(
      std::vector<double>(), Axis(Buckets, SmallestSize, LargestSize));
}

/// Answer sizes of one address.
class SizeBaseline {
public:
  bool recordAndCheckShort(Incarnation Upstream, std::uint32_t Bytes);
  /// Whether the service itself now gives other answers: most of the latest are
  /// short, and few upstreams give usual ones. The share alone doesn't show it:
  /// an upstream that fails at once may give most of the answers, and full
  /// upstreams reject many requests beside their usual answers.
  bool isObsolete() const;

private:
  struct Answer {
    Incarnation Upstream_;
    bool Short_;
  };

  void addSample(std::uint32_t Bytes);

  decltype(emptyHistogram()) Histogram_ = emptyHistogram();
  std::uint32_t Samples_ = 0;
  double ShortestUsual_ = 0; ///< Bytes; updated every `MinSamples`.
  std::deque<Answer> Latest_;
  std::size_t LatestShort_ = 0; ///< Short answers in `Latest_`.
};

bool SizeBaseline::recordAndCheckShort(Incarnation Upstream,
                                       std::uint32_t Bytes) {
  bool Short = Samples_ >= AnswerSizes::MinSamples &&
               Bytes * AnswerSizes::ShortFactor < ShortestUsual_;
  Latest_.push_back({Upstream, Short});
  LatestShort_ += Short ? 1 : 0;
  if (Latest_.size() > LatestAnswers) {
    LatestShort_ -= Latest_.front().Short_ ? 1 : 0;
    Latest_.pop_front();
  }
  if (!Short)
    addSample(Bytes);
  return Short;
}

bool SizeBaseline::isObsolete() const {
  if (LatestShort_ <= LatestAnswers / 2)
    return false;
  std::set<Incarnation> All;
  std::set<Incarnation> GivingUsual;
  for (const Answer &A : Latest_) {
    All.insert(A.Upstream_);
    if (!A.Short_)
      GivingUsual.insert(A.Upstream_);
  }
  return 2 * GivingUsual.size() < All.size();
}

void SizeBaseline::addSample(std::uint32_t Bytes) {
  Histogram_(std::clamp<double>(Bytes, SmallestSize, LargestSize - 1));
  ++Samples_;
  if (Samples_ % AnswerSizes::MinSamples != 0)
    return;
  double Unusual = AnswerSizes::BaselineQuantile * Samples_;
  double Below = 0;
  const Axis &Sizes = Histogram_.axis();
  for (int Bucket = 0; Bucket < Sizes.size(); ++Bucket) {
    Below += Histogram_.at(Bucket);
    ShortestUsual_ = Sizes.value(Bucket);
    if (Below > Unusual)
      break;
  }
  if (Samples_ < AnswerSizes::MaxSamples)
    return;
  Histogram_ *= 0.5;
  Samples_ /= 2;
}

} // namespace

class AnswerSizes::Impl {
public:
  bool recordAndCheckShort(const Endpoint &Address, Incarnation Upstream,
                           std::uint32_t Bytes) {
    bool Full = Baselines_.size() >= MaxAddresses;
    if (Full && Baselines_.count(Address) == 0)
      return false;
    SizeBaseline &Baseline = Baselines_[Address];
    bool Short = Baseline.recordAndCheckShort(Upstream, Bytes);
    if (Baseline.isObsolete()) {
      Baseline = SizeBaseline();
      ++Discarded_;
    }
    return Short;
  }

  std::uint64_t discardedBaselines() const { return Discarded_; }

private:
  std::uint64_t Discarded_ = 0;
  std::unordered_map<Endpoint, SizeBaseline, EndpointHash> Baselines_;
};

AnswerSizes::AnswerSizes() : Impl_(std::make_unique<Impl>()) {}
AnswerSizes::AnswerSizes(AnswerSizes &&) noexcept = default;
AnswerSizes &AnswerSizes::operator=(AnswerSizes &&) noexcept = default;
AnswerSizes::~AnswerSizes() = default;
bool AnswerSizes::recordAndCheckShort(const Endpoint &Address,
                                      Incarnation Upstream,
                                      std::uint32_t Bytes) {
  return Impl_->recordAndCheckShort(Address, Upstream, Bytes);
}
std::uint64_t AnswerSizes::discardedBaselines() const {
  return Impl_->discardedBaselines();
}

} // namespace thymewall

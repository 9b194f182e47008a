#include "thymewall/answer-sizes.h"

#include <algorithm>
#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <vector>

namespace thymewall {

namespace {

/// Logarithmic buckets of half an octave; sizes outside the range are clamped.
constexpr unsigned Buckets = 32;
constexpr double SmallestSize = 16;
constexpr double LargestSize = 1 << 20;
/// Weight of the newest answer in the moving average of short answers, which
/// follows about the last 32 answers.
constexpr double SmoothingFactor = 1.0 / 32;
/// Share of short answers above which the baseline is discarded: not some
/// upstreams fail, but the service itself now gives other answers.
constexpr double ResetShare = 0.5;

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
  bool recordAndCheckShort(std::uint32_t Bytes);
  /// Whether the service itself now gives other answers.
  bool isObsolete() const { return ShortShare_ > ResetShare; }

private:
  void addSample(std::uint32_t Bytes);

  decltype(emptyHistogram()) Histogram_ = emptyHistogram();
  std::uint32_t Samples_ = 0;
  double ShortestUsual_ = 0; ///< Bytes; updated every `MinSamples`.
  double ShortShare_ = 0;    ///< Exponential moving average.
};

bool SizeBaseline::recordAndCheckShort(std::uint32_t Bytes) {
  bool Short = Samples_ >= AnswerSizes::MinSamples &&
               Bytes * AnswerSizes::ShortFactor < ShortestUsual_;
  ShortShare_ += ((Short ? 1 : 0) - ShortShare_) * SmoothingFactor;
  if (!Short)
    addSample(Bytes);
  return Short;
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
  bool recordAndCheckShort(const Endpoint &Address, std::uint32_t Bytes) {
    bool Full = Baselines_.size() >= MaxAddresses;
    if (Full && Baselines_.count(Address) == 0)
      return false;
    SizeBaseline &Baseline = Baselines_[Address];
    bool Short = Baseline.recordAndCheckShort(Bytes);
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
                                      std::uint32_t Bytes) {
  return Impl_->recordAndCheckShort(Address, Bytes);
}
std::uint64_t AnswerSizes::discardedBaselines() const {
  return Impl_->discardedBaselines();
}

} // namespace thymewall

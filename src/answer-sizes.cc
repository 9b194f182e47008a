#include "thymewall/answer-sizes.h"

#include <algorithm>
#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <vector>

namespace thymewall {

namespace {

/// Half an octave a bucket; what is outside counts at the edges.
constexpr unsigned Buckets = 32;
constexpr double SmallestSize = 16;
constexpr double LargestSize = 1 << 20;
/// The share of short answers follows the last 32 or so.
constexpr double ShareWeight = 1.0 / 32;
/// When more than half are short, it is not some upstreams that fail: the
/// address gives something else now.
constexpr double ChangedShare = 0.5;

using Axis =
    boost::histogram::axis::regular<double,
                                    boost::histogram::axis::transform::log>;

auto emptyHistogram() {
  return boost::histogram::make_histogram_with(
      std::vector<double>(), Axis(Buckets, SmallestSize, LargestSize));
}

/// What is usual at one address.
class UsualSizes {
public:
  bool isShort(std::uint32_t Bytes);

private:
  void learn(std::uint32_t Bytes);

  decltype(emptyHistogram()) Right_ = emptyHistogram();
  std::uint32_t Known_ = 0;
  double Shortest_ = 0;   ///< Of the usual ones, in bytes.
  double ShortShare_ = 0; ///< Of the last answers, by exponential decay.
};

bool UsualSizes::isShort(std::uint32_t Bytes) {
  bool Short = Known_ >= AnswerSizes::MinSamples &&
               Bytes * AnswerSizes::ShortFactor < Shortest_;
  ShortShare_ += ((Short ? 1 : 0) - ShortShare_) * ShareWeight;
  if (ShortShare_ > ChangedShare)
    *this = UsualSizes();
  else if (!Short)
    learn(Bytes);
  return Short;
}

void UsualSizes::learn(std::uint32_t Bytes) {
  Right_(std::clamp<double>(Bytes, SmallestSize, LargestSize - 1));
  ++Known_;
  if (Known_ % AnswerSizes::MinSamples != 0)
    return;
  double Unusual = AnswerSizes::BaselineQuantile * Known_;
  double Below = 0;
  const Axis &Sizes = Right_.axis();
  for (int Bucket = 0; Bucket < Sizes.size(); ++Bucket) {
    Below += Right_.at(Bucket);
    Shortest_ = Sizes.value(Bucket);
    if (Below > Unusual)
      break;
  }
  if (Known_ < AnswerSizes::MaxSamples)
    return;
  Right_ *= 0.5;
  Known_ /= 2;
}

} // namespace

class AnswerSizes::Impl {
public:
  bool isShort(const Endpoint &Address, std::uint32_t Bytes) {
    bool Full = Usual_.size() >= MaxAddresses;
    if (Full && Usual_.count(Address) == 0)
      return false;
    return Usual_[Address].isShort(Bytes);
  }

private:
  std::unordered_map<Endpoint, UsualSizes, EndpointHash> Usual_;
};

AnswerSizes::AnswerSizes() : Impl_(std::make_unique<Impl>()) {}
AnswerSizes::AnswerSizes(AnswerSizes &&) noexcept = default;
AnswerSizes &AnswerSizes::operator=(AnswerSizes &&) noexcept = default;
AnswerSizes::~AnswerSizes() = default;
bool AnswerSizes::isShort(const Endpoint &Address, std::uint32_t Bytes) {
  return Impl_->isShort(Address, Bytes);
}

} // namespace thymewall

/// \file
/// Which answers are far shorter than what an address gives.
///
/// Load pattern: upstreams that are listed as well answer every request with an
/// error. Answers go to the caller directly, but its acknowledgements pass the
/// balancers and tell how many bytes came back: 175 for an error, where the
/// right answers of that address have 650 and more. No payload is read.
#ifndef THYMEWALL_ANSWER_SIZES_H
#define THYMEWALL_ANSWER_SIZES_H

#include "thymewall/routing.h"

#include <memory>

namespace thymewall {

/// The sizes of right answers by the address that callers use. A size is what
/// the caller's first acknowledgement after its request covers: all of a short
/// answer, the first packets of a long one.
class AnswerSizes {
public:
  /// Nothing is judged by fewer answers.
  static constexpr std::uint32_t MinSamples = 32;
  /// Beyond so many the older ones count half: what an address gives may
  /// change.
  static constexpr std::uint32_t MaxSamples = 1024;
  /// Below this share of right answers none is held to be usual: a right
  /// answer is seldom taken for a failure.
  static constexpr double BaselineQuantile = 0.005;
  /// A short answer is less than half of the shortest usual one.
  static constexpr double ShortFactor = 2;
  /// Addresses that are remembered; others are not judged.
  static constexpr std::size_t MaxAddresses = 256;

  AnswerSizes();
  AnswerSizes(AnswerSizes &&) noexcept;
  AnswerSizes &operator=(AnswerSizes &&) noexcept;
  ~AnswerSizes();

  /// Takes an answer in; true when it is far shorter than the usual ones.
  bool isShort(const Endpoint &Address, std::uint32_t Bytes);

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace thymewall

#endif

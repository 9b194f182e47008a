/// \file
/// Detects answers that are much shorter than usual for an address.
///
/// An upstream that answers every request with an error still accepts
/// connections. Answers go to the caller directly, but the caller's
/// acknowledgements pass the balancers and show how many bytes were sent: an
/// error page is much shorter than a regular answer, for example 175 bytes
/// where regular answers of that address have 650 or more. No payload is read.
#ifndef THYMEWALL_ANSWER_SIZES_H
#define THYMEWALL_ANSWER_SIZES_H

#include "thymewall/routing.h"

#include <memory>

namespace thymewall {

/// Distribution of answer sizes for each service address. The size of an answer
/// is what the caller's first acknowledgement after its request covers: a short
/// answer in full, or the first packets of a long one.
class AnswerSizes {
public:
  /// Number of samples before any answer is classified.
  static constexpr std::uint32_t MinSamples = 32;
  /// Number of samples at which all weights are halved, so that the
  /// distribution follows changes of the service.
  static constexpr std::uint32_t MaxSamples = 1024;
  /// Quantile of the distribution that is taken as the shortest usual size;
  /// low, so that a regular answer is rarely taken for an error.
  static constexpr double BaselineQuantile = 0.005;
  /// An answer is short if it is smaller than the shortest usual size divided
  /// by this.
  static constexpr double ShortFactor = 2;
  /// Number of addresses tracked; answers of others are never short.
  static constexpr std::size_t MaxAddresses = 256;

  AnswerSizes();
  AnswerSizes(AnswerSizes &&) noexcept;
  AnswerSizes &operator=(AnswerSizes &&) noexcept;
  ~AnswerSizes();

  /// Records an answer of \p Upstream; returns true if it is much shorter than
  /// usual.
  bool recordAndCheckShort(const Endpoint &Address, Incarnation Upstream,
                           std::uint32_t Bytes);
  /// Number of distributions that were discarded because the service itself
  /// seemed to give other answers.
  std::uint64_t discardedBaselines() const;

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace thymewall

#endif

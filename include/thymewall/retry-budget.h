/// \file
/// Limits how many unanswered openings are sent to a second upstream. Addresses
/// overload: where many upstreams are too busy to answer, such retries add to
/// the load that delays the answers.
#ifndef THYMEWALL_RETRY_BUDGET_H
#define THYMEWALL_RETRY_BUDGET_H

#include "thymewall/core.h"

#include <array>

namespace thymewall {

/// Retries of one service, relative to its openings of the last second.
class RetryBudget {
public:
  /// There is at most one retry per so many openings: far more than random loss
  /// of packets needs, and little additional load.
  static constexpr std::uint32_t OpeningsPerRetry = 10;
  /// Number of retries per second that are always allowed, so that services
  /// with few openings don't wait for the caller's retransmission.
  static constexpr std::uint32_t MinPerSecond = 10;

  /// Counts an opening, not including copies that the caller retransmits.
  void recordOpening(MonoTime Now);
  /// Returns whether an opening may be retried, and if so, counts the retry.
  /// While the service is full, none may.
  bool tryRetry(MonoTime Now, bool ServiceFull);

private:
  static constexpr Micros BucketDuration = std::chrono::milliseconds(100);
  struct Bucket {
    std::int64_t Number_ = 0; ///< Time in units of `BucketDuration`.
    std::uint32_t Openings_ = 0;
    std::uint32_t Retries_ = 0;
  };
  Bucket &bucketAt(MonoTime Now);

  std::array<Bucket, 10> Buckets_{};
};

} // namespace thymewall

#endif

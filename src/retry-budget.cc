#include "thymewall/retry-budget.h"

#include <algorithm>

namespace thymewall {

RetryBudget::Bucket &RetryBudget::bucketAt(MonoTime Now) {
  std::int64_t Number = Now.time_since_epoch() / BucketDuration;
  Bucket &Current =
      Buckets_[static_cast<std::size_t>(Number) % Buckets_.size()];
  if (Current.Number_ != Number)
    Current = {Number, 0, 0};
  return Current;
}

void RetryBudget::recordOpening(MonoTime Now) { ++bucketAt(Now).Openings_; }

bool RetryBudget::tryRetry(MonoTime Now, bool ServiceFull) {
  if (ServiceFull)
    return false;
  Bucket &Current = bucketAt(Now);
  auto Oldest = Current.Number_ - static_cast<std::int64_t>(Buckets_.size());
  std::uint32_t Openings = 0;
  std::uint32_t Retries = 0;
  for (const Bucket &B : Buckets_) {
    if (B.Number_ <= Oldest)
      continue;
    Openings += B.Openings_;
    Retries += B.Retries_;
  }
  if (Retries >= std::max(MinPerSecond, Openings / OpeningsPerRetry))
    return false;
  ++Current.Retries_;
  return true;
}

} // namespace thymewall

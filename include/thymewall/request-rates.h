/// \file
/// Rates at which a balancer forwards requests, by service.
#ifndef THYMEWALL_REQUEST_RATES_H
#define THYMEWALL_REQUEST_RATES_H

#include "thymewall/fleet-load.h"

#include <unordered_map>

namespace thymewall {

/// Exponentially weighted moving averages. A request weighs less the older it
/// is: after `AveragingTime`, 1/e.
class RequestRates {
public:
  /// Short enough to follow a crowd; long enough for the share of a balancer
  /// that forwards ten requests per second, whose rate then has a standard
  /// deviation of 13%.
  static constexpr Micros AveragingTime = std::chrono::seconds(3);

  /// Records a request that was forwarded at \p Now.
  void add(MonoTime Now, ServiceId Service);
  /// Returns the rates at \p Now, in the order of service numbers. Services
  /// with less than one request per minute are left out.
  std::vector<ServiceLoad> at(MonoTime Now) const;

private:
  /// Weighted number of requests at a time.
  struct Average {
    double Requests_ = 0;
    MonoTime At_{};

    double requestsAt(MonoTime Now) const;
  };

  std::unordered_map<std::uint32_t, Average> Averages_;
};

} // namespace thymewall

#endif

/// \file
/// Delay histograms per tenant (service) and class, by Boost.Histogram, and
/// their two renderings.
#ifndef THYMEWALL_METRICS_H
#define THYMEWALL_METRICS_H

#include "thymewall/core.h"

#include <memory>

namespace thymewall {

/// Histograms of delays from 10 us to 60 s, keyed by tenant and class.
class DelayMetrics {
public:
  DelayMetrics();
  DelayMetrics(DelayMetrics &&) noexcept;
  DelayMetrics &operator=(DelayMetrics &&) noexcept;
  ~DelayMetrics();

  void record(const std::string &Tenant, const std::string &Class,
              Micros Delay);
  std::uint64_t count(const std::string &Tenant,
                      const std::string &Class) const;
  /// The smallest bin edge with at least this share (0 to 1) below it; zero
  /// without data.
  Micros quantile(const std::string &Tenant, const std::string &Class,
                  double Fraction) const;
  /// {"TENANT": {"CLASS": {"count":N,"p50_us":..,"p99_us":..,"bins":[..]}}}
  std::string json() const;
  /// Prometheus text format 0.0.4, one histogram per tenant and class.
  std::string prometheus(const std::string &Name) const;

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace thymewall

#endif

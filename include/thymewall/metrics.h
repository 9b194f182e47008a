/// \file
/// Delay histograms per tenant (service) and request class, exported as JSON
/// and in the Prometheus text format.
#ifndef THYMEWALL_METRICS_H
#define THYMEWALL_METRICS_H

#include "thymewall/core.h"

#include <memory>

namespace thymewall {

/// Delay histograms with logarithmic bins from 10 us to 60 s, one per tenant
/// and class.
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
  /// Returns the upper edge of the first bin at which the cumulative count
  /// reaches \p Fraction (0 to 1) of all samples; zero without samples.
  Micros quantile(const std::string &Tenant, const std::string &Class,
                  double Fraction) const;
  /// Returns the histograms as JSON:
  /// {"TENANT": {"CLASS": {"count":N,"p50_us":..,"p99_us":..,"bins":[..]}}}
  std::string json() const;
  /// Returns the metric \p Name in the Prometheus text format 0.0.4, with one
  /// histogram per tenant and class.
  std::string prometheus(const std::string &Name) const;

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace thymewall

#endif

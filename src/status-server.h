/// \file
/// Status and metrics over HTTP: `/status` and `/histograms` as JSON, and
/// `/metrics` in Prometheus text format.
#ifndef THYMEWALL_SRC_STATUS_SERVER_H
#define THYMEWALL_SRC_STATUS_SERVER_H

#include "thymewall/balancer.h"
#include "thymewall/metrics.h"

#include <asio/io_context.hpp>
#include <functional>
#include <memory>

namespace thymewall::detail {

/// Everything that the pages show; made on the Asio context's thread.
struct StatusReport {
  std::string Name_;
  Status Status_;
  Counters Counters_;
  const DelayMetrics *Delays_ = nullptr;
  DeclarationPtr Declaration_;
  std::vector<std::pair<std::string, std::uint64_t>> Numbers_;
};

std::string statusJson(const StatusReport &R);
std::string metricsText(const StatusReport &R);

class StatusServer {
public:
  using Source = std::function<StatusReport()>;

  /// Throws `std::runtime_error` when the address can't be bound.
  StatusServer(asio::io_context &Context, const Endpoint &Where,
               Source Reporter);
  ~StatusServer();

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace thymewall::detail

#endif

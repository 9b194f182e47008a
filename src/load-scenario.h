/// \file
/// Load scenario: the callers' behaviour, read from a JSON document.
#ifndef THYMEWALL_SRC_LOAD_SCENARIO_H
#define THYMEWALL_SRC_LOAD_SCENARIO_H

#include "thymewall/declaration.h"
#include "thymewall/message.h"

namespace thymewall::detail {

/// Group of flows to one service that send the same kind of requests.
struct LoadClass {
  std::string Service_;
  Endpoint ServiceAddress_; ///< Where the fabric accepts the service's callers.
  std::uint32_t Flows_ = 0;
  std::uint32_t RequestsPerFlow_ = 0;
  /// Fraction of requests that must run at most once, 0 to 1.
  double AtMostOnceFraction_ = 0;
  std::uint16_t Parts_ = 1;
  Micros MeanThinkTime_{};  ///< Mean pause between a flow's requests.
  Micros RequestTimeout_{}; ///< From the first send of a request.
};

/// Load scenario of all callers.
struct Scenario {
  std::uint32_t Sockets_ = 0;
  std::uint32_t OpensPerSecond_ = 0;
  /// Minimum time from the last open to the first close.
  Micros MinHoldTime_{};
  std::uint64_t Seed_ = 0;
  /// Source address of the callers; the port is ignored.
  Endpoint LocalAddress_;
  std::vector<LoadClass> Classes_;
};

/// Parses a scenario; \p File is named in errors, which are `Problems`.
boost::leaf::result<Scenario> parseScenario(const std::string &Text,
                                            const std::string &File);

} // namespace thymewall::detail

#endif

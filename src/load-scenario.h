/// \file
/// A load scenario: what callers do, as a JSON document.
#ifndef THYMEWALL_SRC_LOAD_SCENARIO_H
#define THYMEWALL_SRC_LOAD_SCENARIO_H

#include "thymewall/declaration.h"
#include "thymewall/message.h"

namespace thymewall::detail {

/// Flows of one service and what they ask for.
struct LoadClass {
  std::string Service_;
  Endpoint ServiceAddress_; ///< Of the fabric.
  std::uint32_t Flows_ = 0;
  std::uint32_t RequestsPerFlow_ = 0;
  double AtMostOnceFraction_ =
      0; ///< Share of requests that may not be repeated.
  std::uint16_t Parts_ = 1;
  Micros MeanThinkTime_{}; ///< Mean pause between a flow's requests.
  Micros RequestTimeout_{};
};

struct Scenario {
  std::uint32_t Sockets_ = 0;
  std::uint32_t OpensPerSecond_ = 0;
  Micros MinHoldTime_{}; ///< Least time from the last open to the first close.
  std::uint64_t Seed_ = 0;
  Endpoint LocalAddress_; ///< Callers' address; the port is unused.
  std::vector<LoadClass> Classes_;
};

/// The error object is `Problems`.
boost::leaf::result<Scenario> parseScenario(const std::string &Text,
                                            const std::string &File);

} // namespace thymewall::detail

#endif

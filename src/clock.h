/// \file
/// Reads the system's clocks. Only process code uses it; the cores take the
/// time as an argument.
#ifndef THYMEWALL_SRC_CLOCK_H
#define THYMEWALL_SRC_CLOCK_H

#include "thymewall/core.h"

namespace thymewall::detail {

using SteadyTime = std::chrono::steady_clock::time_point;

inline MonoTime toMono(SteadyTime At) {
  return MonoTime(std::chrono::duration_cast<Micros>(At.time_since_epoch()));
}
/// Converts to the time type of Asio's timers.
inline SteadyTime toSteady(MonoTime At) {
  return SteadyTime(At.time_since_epoch());
}

inline MonoTime monoNow() { return toMono(std::chrono::steady_clock::now()); }

inline WallTime wallNow() {
  auto Wall = std::chrono::system_clock::now().time_since_epoch();
  return WallTime(std::chrono::duration_cast<Micros>(Wall));
}

} // namespace thymewall::detail

#endif

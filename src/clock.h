/// \file
/// The clocks of a process, as the cores take them. Only shells read them.
#ifndef THYMEWALL_SRC_CLOCK_H
#define THYMEWALL_SRC_CLOCK_H

#include "thymewall/core.h"

namespace thymewall::detail {

using SteadyTime = std::chrono::steady_clock::time_point;

inline MonoTime toMono(SteadyTime At) {
  return MonoTime(std::chrono::duration_cast<Micros>(At.time_since_epoch()));
}
/// For timers, which take the library's own time.
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

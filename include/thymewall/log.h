/// \file
/// Structured log lines on standard output, one JSON object each. Writing never
/// blocks: what the reader of the output does not take in time is dropped and
/// counted, and a line says how many.
///
///   logState("stopping", {});
///   logDecision("flow_opened", {{"caller", Caller}, {"candidates", 12}});
#ifndef THYMEWALL_LOG_H
#define THYMEWALL_LOG_H

#include "thymewall/core.h"

#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace thymewall {

/// Value of a field of a log line.
class LogValue {
public:
  LogValue(std::string Value) : Value_(std::move(Value)) {}
  LogValue(std::string_view Value) : Value_(std::string(Value)) {}
  LogValue(const char *Value) : Value_(std::string(Value)) {}
  LogValue(bool Value) : Value_(Value) {}
  template <typename T, typename = std::enable_if_t<std::is_integral_v<T>>>
  LogValue(T Value) : Value_(static_cast<std::int64_t>(Value)) {}

  const std::variant<std::string, std::int64_t, bool> &get() const {
    return Value_;
  }

private:
  std::variant<std::string, std::int64_t, bool> Value_;
};

/// Key and value of one field of a log line.
using LogField = std::pair<std::string_view, LogValue>;
using LogFields = std::vector<LogField>;

/// The text of a line without its end: time, process, event and fields.
std::string formatLogLine(WallTime When, std::string_view Process,
                          std::string_view Event, const LogFields &Fields);

/// Allows so many lines a second, with a short burst, and counts the others.
class LogRateLimiter {
public:
  /// Bounds the output of a process to about 25 KB a second: a decision's line
  /// has about 250 bytes, and an entry host of today opens 50 flows a second.
  static constexpr std::uint32_t LinesPerSecond = 100;
  static constexpr std::uint32_t Burst = 300;

  /// True when a line may be written at \p Now.
  bool allow(MonoTime Now);
  /// Lines refused since the last call.
  std::uint64_t takeDroppedCount();

private:
  MonoTime LastRefill_{};
  std::uint64_t Dropped_ = 0;
  double Tokens_ = Burst;
};

/// Starts the log of this process.
void startLog(const std::string &Process);

/// A change of the process's own state; written at once.
void logState(std::string_view Event, const LogFields &Fields);

/// A decision on a request or a changed belief, within the budget; written with
/// the next `flushLog`.
void logRateLimited(std::string_view Event, const LogFields &Fields);

/// Writes what is held back, and how many lines were dropped since the last
/// time. Call it a few times a second and at the end.
void flushLog();

/// Lines dropped since the start of the process.
std::uint64_t droppedLogLineCount();

} // namespace thymewall

#endif

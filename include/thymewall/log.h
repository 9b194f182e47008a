/// \file
/// Structured logging to standard output, one JSON object per line. Writing
/// never blocks: lines that do not fit into the output buffer are dropped, and
/// a later line reports how many.
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

/// Value of a log field: a string, an integer or a boolean.
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

/// Key and value of a log field.
using LogField = std::pair<std::string_view, LogValue>;
using LogFields = std::vector<LogField>;

/// Returns a log line without its newline: time, process, event and fields.
std::string formatLogLine(WallTime When, std::string_view Process,
                          std::string_view Event, const LogFields &Fields);

/// Token bucket that limits the rate of log lines and counts the dropped ones.
class LogRateLimiter {
public:
  /// Rate at which the bucket is refilled.
  static constexpr std::uint32_t LinesPerSecond = 100;
  /// Capacity of the bucket in lines.
  static constexpr std::uint32_t Burst = 300;

  /// Returns whether a line may be written at \p Now, and takes a token for it.
  bool allow(MonoTime Now);
  /// Returns the number of lines dropped since the last call.
  std::uint64_t takeDroppedCount();

private:
  MonoTime LastRefill_{};
  std::uint64_t Dropped_ = 0;
  double Tokens_ = Burst;
};

/// Sets up logging; \p Process becomes the "process" field of each line.
void startLog(const std::string &Process);

/// Logs a change of the process's own state and writes it immediately.
void logState(std::string_view Event, const LogFields &Fields);

/// Logs a frequent event, such as a decision on a request, subject to
/// `LogRateLimiter`. The line is written by the next `flushLog`.
void logRateLimited(std::string_view Event, const LogFields &Fields);

/// Writes buffered lines, and a line with the number of lines dropped since the
/// last call. Call it a few times per second and before the process exits.
void flushLog();

/// Returns the number of dropped lines reported since the process started.
std::uint64_t droppedLogLineCount();

} // namespace thymewall

#endif

#include "thymewall/log.h"

#include "clock.h"

#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/unlocked_frontend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/make_shared.hpp>
#include <cstdio>
#include <date/date.h>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <unistd.h>

namespace thymewall {

namespace {

namespace sinks = boost::log::sinks;

/// Bytes buffered while the reader of the output is slow.
constexpr std::size_t MaxBufferedBytes = 64 * 1024;
/// Write size that does not block once poll() reports a pipe as writable
/// (PIPE_BUF).
constexpr std::size_t MaxWriteBytes = 4096;

/// Buffers whole lines and writes them to standard output without blocking.
class OutputBuffer {
public:
  void append(const std::string &Line) {
    if (Buffer_.size() + Line.size() + 1 > MaxBufferedBytes) {
      ++Dropped_;
      return;
    }
    Buffer_ += Line;
    Buffer_ += '\n';
  }

  void flush() {
    while (!Buffer_.empty()) {
      pollfd Output{STDOUT_FILENO, POLLOUT, 0};
      if (poll(&Output, 1, 0) != 1 || (Output.revents & POLLOUT) == 0)
        return;
      ssize_t Written = ::write(STDOUT_FILENO, Buffer_.data(),
                                std::min(Buffer_.size(), MaxWriteBytes));
      if (Written <= 0)
        return;
      Buffer_.erase(0, static_cast<std::size_t>(Written));
    }
  }

  std::uint64_t dropped() const { return Dropped_; }

private:
  std::string Buffer_;
  std::uint64_t Dropped_ = 0;
};

/// Boost.Log sink backend that passes each line to the output buffer.
class LineBackend
    : public sinks::basic_formatted_sink_backend<char,
                                                 sinks::concurrent_feeding> {
public:
  explicit LineBackend(OutputBuffer &Output) : Output_(Output) {}
  void consume(const boost::log::record_view &, const string_type &Line) {
    Output_.append(Line);
  }

private:
  OutputBuffer &Output_;
};

/// State of the process-wide log. Used only from the event loop's thread.
struct ProcessLog {
  std::string Process_;
  OutputBuffer Output_;
  LogRateLimiter Limiter_;
  boost::log::sources::logger Logger_;
  std::uint64_t DroppedTotal_ = 0;
  std::uint64_t ReportedOutputDropped_ = 0;
};

ProcessLog &processLog() {
  static ProcessLog State;
  return State;
}

void writeLine(std::string_view Event, const LogFields &Fields) {
  ProcessLog &State = processLog();
  BOOST_LOG(State.Logger_) << formatLogLine(detail::wallNow(), State.Process_,
                                            Event, Fields);
}

} // namespace

std::string formatLogLine(WallTime When, std::string_view Process,
                          std::string_view Event, const LogFields &Fields) {
  std::chrono::time_point<std::chrono::system_clock, Micros> Wall(
      When.time_since_epoch());
  nlohmann::ordered_json Line = {{"time", date::format("%FT%TZ", Wall)},
                                 {"process", Process},
                                 {"event", Event}};
  for (const auto &[Key, Value] : Fields)
    std::visit(
        [&, Key = Key](const auto &Typed) { Line[std::string(Key)] = Typed; },
        Value.get());
  // Values may come from the network: invalid UTF-8 is replaced.
  return Line.dump(-1, ' ', false,
                   nlohmann::ordered_json::error_handler_t::replace);
}

bool LogRateLimiter::allow(MonoTime Now) {
  double Seconds = std::chrono::duration<double>(Now - LastRefill_).count();
  LastRefill_ = Now;
  Tokens_ = std::min<double>(Tokens_ + Seconds * LinesPerSecond, Burst);
  if (Tokens_ < 1) {
    ++Dropped_;
    return false;
  }
  Tokens_ -= 1;
  return true;
}

std::uint64_t LogRateLimiter::takeDroppedCount() {
  return std::exchange(Dropped_, std::uint64_t{0});
}

void startLog(const std::string &Process) {
  ProcessLog &State = processLog();
  State.Process_ = Process;
  auto Backend = boost::make_shared<LineBackend>(State.Output_);
  using Frontend = sinks::unlocked_sink<LineBackend>;
  auto Sink = boost::make_shared<Frontend>(Backend);
  Sink->set_formatter(boost::log::expressions::stream
                      << boost::log::expressions::smessage);
  boost::log::core::get()->add_sink(Sink);
}

void logState(std::string_view Event, const LogFields &Fields) {
  writeLine(Event, Fields);
  processLog().Output_.flush();
}

void logRateLimited(std::string_view Event, const LogFields &Fields) {
  if (processLog().Limiter_.allow(detail::monoNow()))
    writeLine(Event, Fields);
}

void flushLog() {
  ProcessLog &State = processLog();
  std::uint64_t OutputDropped =
      State.Output_.dropped() - State.ReportedOutputDropped_;
  std::uint64_t Dropped = State.Limiter_.takeDroppedCount() + OutputDropped;
  State.ReportedOutputDropped_ += OutputDropped;
  State.DroppedTotal_ += Dropped;
  if (Dropped > 0)
    writeLine("log_lines_dropped", {{"count", Dropped}});
  State.Output_.flush();
}

std::uint64_t droppedLogLineCount() { return processLog().DroppedTotal_; }

} // namespace thymewall

#include "thymewall/log.h"

#include "packet-log.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace thymewall;
using namespace std::chrono_literals;

TEST_CASE("a log line is one JSON object even with control characters and "
          "invalid UTF-8") {
  std::string Line =
      formatLogLine(WallTime(1'700'000'000'123'456us), "lb-1", "flow_opened",
                    {{"caller", "a \"quoted\"\nname\xff"},
                     {"candidates", 12},
                     {"quiet", true}});
  CHECK(Line.find('\n') == std::string::npos);
  auto Parsed = nlohmann::json::parse(Line);
  CHECK(Parsed["time"] == "2023-11-14T22:13:20.123456Z");
  CHECK(Parsed["process"] == "lb-1");
  CHECK(Parsed["event"] == "flow_opened");
  CHECK(Parsed["candidates"] == 12);
  CHECK(Parsed["quiet"] == true);
}

TEST_CASE(
    "the rate limiter allows a burst, then a fixed rate, and counts dropped "
    "lines") {
  LogRateLimiter Limiter;
  MonoTime Now(100s);
  std::uint32_t Allowed = 0;
  for (int I = 0; I < 1000; ++I)
    Allowed += Limiter.allow(Now) ? 1 : 0;
  CHECK(Allowed == LogRateLimiter::Burst);
  CHECK(Limiter.takeDroppedCount() == 1000 - LogRateLimiter::Burst);
  CHECK(Limiter.takeDroppedCount() == 0);
  Allowed = 0;
  for (int I = 0; I < 10'000; ++I)
    Allowed += Limiter.allow(Now + std::chrono::milliseconds(I)) ? 1 : 0;
  CHECK(Allowed >= 10 * LogRateLimiter::LinesPerSecond - 1);
  CHECK(Allowed <= 10 * LogRateLimiter::LinesPerSecond);
}

TEST_CASE(
    "the service log reports only state changes of the configuration service") {
  std::vector<std::string> Events;
  detail::ConfigServiceLog Log([&](std::string_view Event, const LogFields &) {
    Events.emplace_back(Event);
  });
  auto Answered = [&](std::chrono::seconds When, ConfigResponse::Outcome What) {
    ConfigResponse A;
    A.Outcome_ = What;
    Log.answered(MonoTime(When), A);
  };
  using Outcome = ConfigResponse::Outcome;
  using Lines = std::vector<std::string>;
  Answered(1s, Outcome::Done);
  Log.confirmed(MonoTime(1s));
  CHECK(Events.empty());
  Answered(2s, Outcome::Failed);
  Answered(3s, Outcome::Refused);
  Log.confirmed(MonoTime(1500ms)); // a peer read it before the calls failed
  CHECK(Events == Lines{"configuration_service_call_failed"});
  Answered(4s, Outcome::Done);
  Answered(5s, Outcome::Done);
  CHECK(Events == Lines{"configuration_service_call_failed",
                        "configuration_service_answers"});
  Events.clear();
  // A peer reads the service, so this process stops calling it.
  Answered(6s, Outcome::Failed);
  Log.confirmed(MonoTime(7s));
  Answered(18s, Outcome::Done);
  CHECK(Events == Lines{"configuration_service_call_failed",
                        "configuration_service_read_by_peer"});
}

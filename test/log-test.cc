#include "thymewall/log.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace thymewall;
using namespace std::chrono_literals;

TEST_CASE("a line is one JSON object whatever its values hold") {
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
    "a budget allows a burst, then so many lines a second, and counts the "
    "rest") {
  LogBudget Budget;
  MonoTime Now(100s);
  std::uint32_t Allowed = 0;
  for (int I = 0; I < 1000; ++I)
    Allowed += Budget.take(Now) ? 1 : 0;
  CHECK(Allowed == LogBudget::Burst);
  CHECK(Budget.takeDropped() == 1000 - LogBudget::Burst);
  CHECK(Budget.takeDropped() == 0);
  Allowed = 0;
  for (int I = 0; I < 10'000; ++I)
    Allowed += Budget.take(Now + std::chrono::milliseconds(I)) ? 1 : 0;
  CHECK(Allowed >= 10 * LogBudget::LinesPerSecond - 1);
  CHECK(Allowed <= 10 * LogBudget::LinesPerSecond);
}

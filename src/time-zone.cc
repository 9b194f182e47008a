#include "thymewall/time-zone.h"

#include <date/tz.h>

namespace thymewall {

TimeZoneClock timeZoneClock() {
  return
      [](const std::string &Zone, WallTime When) -> std::optional<LocalMinute> {
        try {
          const date::time_zone *TimeZone = date::locate_zone(Zone);
          date::sys_time<Micros> Utc{When.time_since_epoch()};
          auto Local = TimeZone->to_local(Utc);
          auto Day = date::floor<date::days>(Local);
          auto Minute = date::floor<std::chrono::minutes>(Local - Day);
          LocalMinute Result;
          Result.Weekday_ =
              static_cast<std::uint8_t>(date::weekday(Day).c_encoding());
          Result.Minute_ = static_cast<std::uint16_t>(Minute.count());
          return Result;
        } catch (const std::runtime_error &) {
          return std::nullopt;
        }
      };
}

} // namespace thymewall

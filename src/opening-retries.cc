#include "opening-retries.h"

#include "clock.h"

namespace thymewall::detail {

OpeningRetries::OpeningRetries(asio::io_context &Context, Handler OnExpired)
    : Timer_(Context), OnExpired_(std::move(OnExpired)) {}

void OpeningRetries::onOpeningSent(MonoTime Now, const std::uint8_t *Data,
                                   std::size_t Size) {
  bool TimerArmed = Openings_.nextDeadline() != MonoTime::max();
  Openings_.add(Now, Data, Size);
  if (!TimerArmed)
    scheduleTimer();
}

void OpeningRetries::scheduleTimer() {
  if (Openings_.nextDeadline() == MonoTime::max())
    return;
  Timer_.expires_at(toSteady(Openings_.nextDeadline()));
  Timer_.async_wait([this](const asio::error_code &Error) {
    if (!Error)
      onTimer();
  });
}

void OpeningRetries::onTimer() {
  MonoTime Now = monoNow();
  Openings_.takeExpired(Now, [&](const std::uint8_t *Data, std::size_t Size) {
    OnExpired_(Now, Data, Size);
  });
  scheduleTimer();
}

} // namespace thymewall::detail

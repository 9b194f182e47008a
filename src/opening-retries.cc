#include "opening-retries.h"

#include "clock.h"

namespace thymewall::detail {

OpeningRetries::OpeningRetries(asio::io_context &Context, Handler OnDue)
    : Timer_(Context), OnDue_(std::move(OnDue)) {}

void OpeningRetries::sent(MonoTime Now, const std::uint8_t *Data,
                          std::size_t Size) {
  bool Awaiting = Openings_.dueAt() != MonoTime::max();
  Openings_.add(Now, Data, Size);
  if (!Awaiting)
    await();
}

void OpeningRetries::await() {
  if (Openings_.dueAt() == MonoTime::max())
    return;
  Timer_.expires_at(toSteady(Openings_.dueAt()));
  Timer_.async_wait([this](const asio::error_code &Error) {
    if (!Error)
      review();
  });
}

void OpeningRetries::review() {
  MonoTime Now = monoNow();
  Openings_.takeDue(Now, [&](const std::uint8_t *Data, std::size_t Size) {
    OnDue_(Now, Data, Size);
  });
  await();
}

} // namespace thymewall::detail

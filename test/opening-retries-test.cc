// Checks that the timer reports each opening once. Asserts no durations.
#include "opening-retries.h"

#include "clock.h"

#include <asio/io_context.hpp>
#include <doctest/doctest.h>

using namespace thymewall;
using namespace thymewall::detail;

TEST_CASE("each opening is reported once and unchanged") {
  asio::io_context Context;
  std::vector<std::string> Expired;
  OpeningRetries Retries(
      Context, [&](MonoTime, const std::uint8_t *Data, std::size_t Size) {
        Expired.emplace_back(reinterpret_cast<const char *>(Data), Size);
      });
  for (std::string Text : {"first", "second"})
    Retries.onOpeningSent(monoNow(),
                          reinterpret_cast<const std::uint8_t *>(Text.data()),
                          Text.size());
  Context.run(); // returns when no timer is left
  bool BothReturned = Expired == std::vector<std::string>{"first", "second"};
  // Both are dropped if the machine stalls for 200 ms.
  CHECK((BothReturned || Expired.empty()));
}

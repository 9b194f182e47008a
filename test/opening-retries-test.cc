// The timer around unanswered openings; nothing is asserted about durations.
#include "opening-retries.h"

#include "clock.h"

#include <asio/io_context.hpp>
#include <doctest/doctest.h>

using namespace thymewall;
using namespace thymewall::detail;

TEST_CASE("each opening is given back once, as it was") {
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
  Context.run(); // ends once nothing waits any more
  bool BothReturned = Expired == std::vector<std::string>{"first", "second"};
  // A machine that stalls for 200 ms leaves them to the caller's own copies.
  CHECK((BothReturned || Expired.empty()));
}

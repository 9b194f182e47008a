// Guards against allocations in the request balancer's data path, by counting
// calls of operator new.
#include "balancer-harness.h"

#include <cstdlib>
#include <new>

using namespace thymewall;
using namespace thymewall::test;

namespace {

std::size_t Allocations = 0;

} // namespace

void *operator new(std::size_t Size) {
  ++Allocations;
  if (void *Memory = std::malloc(Size))
    return Memory;
  throw std::bad_alloc();
}
void operator delete(void *Memory) noexcept { std::free(Memory); }
void operator delete(void *Memory, std::size_t) noexcept { std::free(Memory); }

TEST_CASE("data path does not allocate in steady state") {
  BalancerHarness B;
  B.openFlow();
  auto Round = [&](std::uint32_t From, std::uint32_t To) {
    for (std::uint32_t I = From; I < To; ++I) {
      B.fromCaller(B.request(I, I % 2 == 0));
      B.reply(MessageKind::Answer);
      B.advance(Balancer::TickInterval);
    }
  };
  Round(1, 200);
  std::size_t Before = Allocations;
  Round(200, 1200);
  CHECK(Allocations == Before);
}

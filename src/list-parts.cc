#include "thymewall/list-parts.h"

namespace thymewall {

namespace {

/// Odd, so that all parts come in turn; far apart, so that balancers whose
/// first parts are neighbours share no other one.
constexpr std::uint8_t Step = 97;

} // namespace

void PartReadPlan::read(std::size_t Upstreams) {
  Parts_.set(Next_);
  Next_ = static_cast<std::uint8_t>(Next_ + Step);
  Upstreams_ += Upstreams;
}

bool PartReadPlan::listIsShort() const {
  return Upstreams_ < MinUpstreamsPerPart * Parts_.count();
}

bool PartReadPlan::enough() const { return Upstreams_ >= MinUpstreamsAtStart; }

} // namespace thymewall

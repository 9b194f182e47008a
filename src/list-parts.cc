#include "thymewall/list-parts.h"

namespace thymewall {

namespace {

/// Odd, so that all parts come in turn; large, so that balancers with adjacent
/// first parts share few others.
constexpr std::uint8_t PartStep = 97;

} // namespace

void PartReadPlan::addPart(std::size_t Upstreams) {
  Parts_.set(NextPart_);
  NextPart_ = static_cast<std::uint8_t>(NextPart_ + PartStep);
  Upstreams_ += Upstreams;
}

bool PartReadPlan::listIsShort() const {
  return Upstreams_ < MinUpstreamsPerPart * Parts_.count();
}

bool PartReadPlan::hasEnough() const {
  return Upstreams_ >= MinUpstreamsAtStart;
}

} // namespace thymewall

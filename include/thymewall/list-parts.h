/// \file
/// Parts of the published list of upstreams. When a whole fleet starts at once,
/// each balancer reads only a few parts and gets the others from its peers, so
/// that the full list isn't read once per balancer.
#ifndef THYMEWALL_LIST_PARTS_H
#define THYMEWALL_LIST_PARTS_H

#include <bitset>
#include <cstddef>
#include <cstdint>

namespace thymewall {

/// Number of parts of a list, about equal in size, whatever its length. An
/// upstream always belongs to the same part.
constexpr std::size_t ListPartCount = 256;
using ListParts = std::bitset<ListPartCount>;

inline ListParts allParts() { return ListParts{}.set(); }

/// Selects the parts that a balancer reads at its start: enough upstreams to
/// open flows, or the full list if it is short.
class PartReadPlan {
public:
  /// A list with fewer upstreams per part is short.
  static constexpr std::size_t MinUpstreamsPerPart = 4;
  /// Enough upstreams to spread the flows of one balancer.
  static constexpr std::size_t MinUpstreamsAtStart = 64;

  /// \p First is the first part to read; it should differ between balancers.
  explicit PartReadPlan(std::uint8_t First) : NextPart_(First) {}

  std::uint8_t nextPart() const { return NextPart_; }
  /// Records that the part `nextPart()` was read and has \p Upstreams entries.
  void addPart(std::size_t Upstreams);
  /// Whether the parts are so small that reading the full list costs less.
  bool listIsShort() const;
  bool hasEnough() const;
  const ListParts &parts() const { return Parts_; }

private:
  std::uint8_t NextPart_;
  ListParts Parts_;
  std::size_t Upstreams_ = 0;
};

} // namespace thymewall

#endif

/// \file
/// Parts of the published list of upstreams. A fleet that starts at once must
/// not read the whole list once for each balancer: each reads a few parts, and
/// peers exchange the others.
#ifndef THYMEWALL_LIST_PARTS_H
#define THYMEWALL_LIST_PARTS_H

#include <bitset>
#include <cstddef>
#include <cstdint>

namespace thymewall {

/// How many parts of about equal size a list has, whatever its length. An
/// upstream is always in the same part.
constexpr std::size_t ListPartCount = 256;
/// A set of parts.
using ListParts = std::bitset<ListPartCount>;

inline ListParts allParts() { return ListParts{}.set(); }

/// Which parts of a list a balancer that starts should read: enough of them to
/// open flows by, or the whole list where that is short.
class PartReadPlan {
public:
  /// A list whose parts have fewer upstreams is short: less than some 1,000.
  static constexpr std::size_t MinUpstreamsPerPart = 4;
  /// Upstreams enough to spread the flows of one balancer.
  static constexpr std::size_t MinUpstreamsAtStart = 64;

  /// \p First keeps balancers that start together at different parts.
  explicit PartReadPlan(std::uint8_t First) : NextPart_(First) {}

  std::uint8_t nextPart() const { return NextPart_; }
  /// The part `nextPart()` was read and has so many upstreams.
  void addPart(std::size_t Upstreams);
  /// The parts that were read are small: reading the whole list costs less.
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

/// \file
/// Basic value types of thymewall: times, addresses, identifiers and the closed
/// list of error kinds. Everything else in the library includes this header.
#ifndef THYMEWALL_CORE_H
#define THYMEWALL_CORE_H

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>

namespace thymewall {

using Micros = std::chrono::microseconds;

/// Monotonic time as the caller of the core measures it. The core never reads
/// a clock.
struct MonoClock {
  using duration = Micros;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<MonoClock>;
};

/// Wall time, microseconds since 1970-01-01T00:00:00Z.
struct WallClock {
  using duration = Micros;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<WallClock>;
};

using MonoTime = MonoClock::time_point;
using WallTime = WallClock::time_point;

/// Both clocks, read together by the harness when an event arrives.
struct Moment {
  MonoTime Mono_;
  WallTime Wall_;
};

/// An IP address and port; IPv4 is stored as an IPv4-mapped IPv6 address.
struct Endpoint {
  std::array<std::uint8_t, 16> Ip_{};
  std::uint16_t Port_ = 0;

  /// Makes an IPv4 endpoint from an address in host byte order.
  static constexpr Endpoint v4(std::uint32_t Address, std::uint16_t Port) {
    Endpoint E;
    E.Ip_[10] = 0xff;
    E.Ip_[11] = 0xff;
    for (std::size_t I = 0; I < 4; ++I)
      E.Ip_[12 + I] = static_cast<std::uint8_t>(Address >> (24 - 8 * I));
    E.Port_ = Port;
    return E;
  }
  bool empty() const { return Port_ == 0; }
};

inline bool operator==(const Endpoint &A, const Endpoint &B) {
  return A.Port_ == B.Port_ && A.Ip_ == B.Ip_;
}
inline bool operator!=(const Endpoint &A, const Endpoint &B) {
  return !(A == B);
}
inline bool operator<(const Endpoint &A, const Endpoint &B) {
  return std::tie(A.Ip_, A.Port_) < std::tie(B.Ip_, B.Port_);
}

/// Hash of the service's name; see `nameId`.
enum class ServiceId : std::uint32_t {};
/// Hash of the upstream's name; see `nameId`.
enum class UpstreamId : std::uint32_t {};
/// Hash of the balancer's name; see `nameId`.
enum class BalancerId : std::uint32_t {};
/// The caller's random 64-bit name of a flow.
enum class FlowId : std::uint64_t {};
/// A random number that a process draws at its start.
enum class Incarnation : std::uint64_t {};
/// The version number of a declaration; larger is newer, 0 is none.
using Version = std::uint64_t;
/// Counts the changes of everything that is published; larger is newer.
using Revision = std::uint64_t;

template <typename T> constexpr auto raw(T Value) {
  return static_cast<std::underlying_type_t<T>>(Value);
}

/// The 32-bit identifier of a name (XXH64, folded). Declarations in which two
/// names share an identifier are refused.
std::uint32_t nameId(std::string_view Name);

/// 64-bit hash of two numbers (XXH64), used for rendezvous hashing.
std::uint64_t hashPair(std::uint64_t A, std::uint64_t B);

/// Every reason for which the system refuses, drops or gives up.
enum class ErrorKind : std::uint8_t {
  None,
  Malformed,
  Oversized,
  ForgedRoute,
  UnknownService,
  NotReady,
  NoUpstream,
  Overloaded,
  UpstreamRefused,
  FlowUnknown,
  DeadlinePassed,
  DeadlineTooFar,
  NoAnswer,
  HomeUnreachable,
  NumberUsed,
  RouteRequired,
  LateAnswer,
  RepeatedPart,
  UnknownSender,
  BadTag,
  NotFromCaller,
  UnknownAddress,
  TableNotFresh,
  UnknownCookie,
  NoneLeft,
  UpstreamDead,
  AllEvacuated,
  AllCold,
  Count
};

/// What the caller is told for an error kind.
enum class ErrorResponse : std::uint8_t {
  Drop,           ///< Dropped and counted.
  NotRun,         ///< No upstream has run it, and none will.
  OutcomeUnknown, ///< It may have been run; a repeat is the caller's decision.
  Reset ///< The caller's transport is told at once that the flow is over.
};

/// One row of the table from kind to answer. `NotRun` is an upper bound: the
/// core lowers it to `OutcomeUnknown` wherever another process may have sent
/// the request on (docs/DESIGN.md, "Every point of giving up").
struct ErrorRow {
  ErrorKind Kind_;
  std::string_view Name_;
  ErrorResponse Response_;
  Micros RetryAfter_;
};

/// The row of a kind; an out-of-range kind gets the row of `Malformed`.
const ErrorRow &errorRow(ErrorKind Kind);

/// Parses "192.0.2.1:80" or "[2001:db8::1]:80"; an empty endpoint on failure.
Endpoint parseEndpoint(std::string_view Text);
/// The inverse of `parseEndpoint`.
std::string formatEndpoint(const Endpoint &Where);

} // namespace thymewall

#endif

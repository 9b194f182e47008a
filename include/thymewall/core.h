/// \file
/// Basic value types: times, addresses, identifiers and error kinds.
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

/// Monotonic time. The core reads no clock; its caller passes the time in.
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

/// Both clocks, read together when an event arrives.
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
/// Random 64-bit identifier of a flow, drawn by the caller.
enum class FlowId : std::uint64_t {};
/// Random number that a process draws at start; tells its restarts apart.
enum class Incarnation : std::uint64_t {};
/// Version number of a document; larger is newer, 0 is none.
using Version = std::uint64_t;
/// Number of changes to the published data so far; larger is newer.
using Revision = std::uint64_t;

/// Returns the underlying integer of an enumerator.
template <typename T> constexpr auto raw(T Value) {
  return static_cast<std::underlying_type_t<T>>(Value);
}

/// Returns the 32-bit identifier of a name (XXH64, folded). Declarations in
/// which two names share an identifier are rejected.
std::uint32_t nameId(std::string_view Name);

/// Returns the 64-bit XXH64 hash of two numbers, for rendezvous hashing.
std::uint64_t hashPair(std::uint64_t A, std::uint64_t B);

/// Reasons for which a message is refused or dropped, or a request abandoned.
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
  ServiceFull,
  Count
};

/// What the caller is sent for an error kind.
enum class ErrorResponse : std::uint8_t {
  Drop,           ///< Nothing; the message is only counted.
  NotRun,         ///< No upstream has run the request, and none will.
  OutcomeUnknown, ///< The request may have run; the caller decides on a retry.
  Reset           ///< A reset of the flow, such as a TCP RST.
};

/// Name and response of an error kind. The core sends `OutcomeUnknown` in place
/// of `NotRun` if the request, or a copy of it, may be run elsewhere.
struct ErrorRow {
  ErrorKind Kind_;
  std::string_view Name_;
  ErrorResponse Response_;
  Micros RetryAfter_;
};

/// Returns the row of a kind, or that of `Malformed` if it is out of range.
const ErrorRow &errorRow(ErrorKind Kind);

/// Parses "192.0.2.1:80" or "[2001:db8::1]:80"; returns an empty endpoint on
/// failure.
Endpoint parseEndpoint(std::string_view Text);
/// Formats an endpoint as `parseEndpoint` reads it.
std::string formatEndpoint(const Endpoint &Value);

} // namespace thymewall

#endif

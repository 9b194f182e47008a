/// \file
/// The one datagram header that callers, balancers and upstreams exchange, and
/// its CBOR codec (RFC 8949). Layout and meaning: docs/PROTOCOL.md.
#ifndef THYMEWALL_MESSAGE_H
#define THYMEWALL_MESSAGE_H

#include "thymewall/core.h"

namespace thymewall {

enum class MessageKind : std::uint8_t {
  Open = 1,
  Opened,
  Request,
  Answer,
  Push,
  Ping,
  Pong,
  Cancel,
  Close,
  Refused,
  Reset,
  Probe,
  ProbeReply,
  Moved, ///< To a caller: use this route for requests not yet sent.
  Last = Moved
};

constexpr std::uint16_t MaxParts = 64;

/// One bit for each of an answer's parts; 0 parts stand for one.
constexpr std::uint64_t allPartsMask(std::uint16_t Parts) {
  if (Parts >= MaxParts)
    return ~std::uint64_t{0};
  return (std::uint64_t{1} << (Parts == 0 ? 1 : Parts)) - 1;
}

/// Bits of `Message::Flags_`.
enum MessageFlag : std::uint8_t {
  FlagRepeatable = 1,    ///< The request may be run more than once.
  FlagNotRun = 2,        ///< On `Refused`: no upstream ran it.
  FlagOutcomeUnknown = 4 ///< On `Refused`: it may have run.
};

constexpr std::size_t MaxDatagramSize = 1400;
constexpr std::size_t MaxHeaderSize = 256;
constexpr std::size_t MaxRouteSize = 96;
constexpr std::uint64_t ProtocolVersion = 1;

/// Borrowed bytes; the owner outlives the call that is given them.
struct Bytes {
  const std::uint8_t *Data_ = nullptr;
  std::size_t Size_ = 0;
  bool empty() const { return Size_ == 0; }
};
bool operator==(const Bytes &A, const Bytes &B);

/// One datagram. Fields that a kind does not use are zero or empty, which costs
/// one byte each on the wire.
struct Message {
  MessageKind Kind_ = MessageKind::Open;
  ServiceId Service_{};       ///< Set from the socket on the caller's leg.
  FlowId Flow_{};             ///< The caller's random name of the flow.
  std::uint32_t Request_ = 0; ///< Request or push number; 0 on `Open`.
  std::uint16_t Part_ = 0;    ///< 0-based part of an answer.
  std::uint16_t Parts_ = 0;   ///< Number of parts, at most `MaxParts`.
  std::uint8_t Flags_ = 0;    ///< Bits of `MessageFlag`.
  WallTime Deadline_{};       ///< Absolute; zero takes the service's own.
  std::uint64_t Attempt_ = 0; ///< One hand-over to an upstream; echoed.
  std::uint64_t Epoch_ = 0;   ///< Home epoch of the request's identity.
  Incarnation Incarnation_{}; ///< The upstream's incarnation.
  ErrorKind Reason_ = ErrorKind::None; ///< On `Refused` and `Reset`.
  WallTime RetryAt_{};                 ///< On `Refused`: when to come back.
  std::uint32_t OpenFlows_ = 0; ///< The upstream's own count of open flows.
  Bytes Route_;                 ///< Sealed route, opaque to callers.
  Endpoint Caller_;             ///< Return path, opaque to upstreams.
  Bytes Payload_;

  bool repeatable() const { return (Flags_ & FlagRepeatable) != 0; }
};
bool operator==(const Message &A, const Message &B);

/// A message of another kind about the same flow and request, and nothing else.
Message makeReply(const Message &M, MessageKind K);

/// Writes \p M into \p Buffer and returns the length, or 0 when it does not
/// fit. Allocates nothing.
std::size_t encode(const Message &M, std::uint8_t *Buffer, std::size_t Size);

/// Reads a datagram into \p M, whose byte fields then point into \p Data.
/// Returns `None`, `Malformed` or `Oversized`. Allocates nothing.
ErrorKind decode(const std::uint8_t *Data, std::size_t Size, Message &M);

/// What one balancer tells another about a caller's datagram.
enum class PeerMessageKind : std::uint8_t {
  Forwarded = 1,   ///< The inner message belongs to a flow whose home you are.
  ForwardAccepted, ///< The passed request is in the home's hands.
  NotHome,         ///< I am not the home process that the route names.
  Delegated, ///< As `Forwarded`, from a stopping home that never ran it nor
             ///< will.
  Duplicate, ///< From a stopping home, a copy of what it passed or ran.
  Last = Duplicate
};

/// A datagram between balancers' data sockets, authenticated by a keyed tag.
struct PeerDatagram {
  PeerMessageKind Kind_ = PeerMessageKind::Forwarded;
  Message Inner_; ///< `Caller_` and `Service_` are set.
};

/// A 128-bit secret for SipHash tags.
using SecretKey = std::array<std::uint8_t, 16>;

/// Writes tag and datagram; returns the length or 0.
std::size_t encodePeer(const PeerDatagram &D, const SecretKey &Secret,
                       std::uint8_t *Buffer, std::size_t Size);

/// Reads a peer datagram; `BadTag` when no key of \p Keys made its tag.
ErrorKind decodePeer(const std::uint8_t *Data, std::size_t Size,
                     const std::array<SecretKey, 2> &Keys, PeerDatagram &D);

} // namespace thymewall

#endif

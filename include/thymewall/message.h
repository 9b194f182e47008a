/// \file
/// The datagram format shared by callers, balancers and upstreams, and its CBOR
/// codec (RFC 8949). See docs/PROTOCOL.md.
#ifndef THYMEWALL_MESSAGE_H
#define THYMEWALL_MESSAGE_H

#include "thymewall/core.h"

namespace thymewall {

/// The type of a message.
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
  Moved, ///< To a caller: send further requests with this route.
  Last = Moved
};

constexpr std::uint16_t MaxParts = 64;

/// Returns a mask with one bit per part of an answer; 0 parts count as 1.
constexpr std::uint64_t allPartsMask(std::uint16_t Parts) {
  if (Parts >= MaxParts)
    return ~std::uint64_t{0};
  return (std::uint64_t{1} << (Parts == 0 ? 1 : Parts)) - 1;
}

/// Bits of `Message::Flags_`.
enum MessageFlag : std::uint8_t {
  FlagRepeatable = 1,    ///< The request may be executed more than once.
  FlagNotRun = 2,        ///< On `Refused` and `Reset`: not executed.
  FlagOutcomeUnknown = 4 ///< On `Refused` and `Reset`: may have run.
};

/// Size limits in bytes of a payload, a message header and a signed route.
constexpr std::size_t MaxDatagramSize = 1400;
constexpr std::size_t MaxHeaderSize = 256;
constexpr std::size_t MaxRouteSize = 96;
constexpr std::uint64_t ProtocolVersion = 1;

/// A non-owning view of bytes.
struct Bytes {
  const std::uint8_t *Data_ = nullptr;
  std::size_t Size_ = 0;
  bool empty() const { return Size_ == 0; }
};
bool operator==(const Bytes &A, const Bytes &B);

/// A decoded datagram. Fields that its kind doesn't use are zero or empty and
/// take one byte each on the wire.
struct Message {
  MessageKind Kind_ = MessageKind::Open;
  ServiceId Service_{};       ///< From callers: that of the receiving socket.
  FlowId Flow_{};             ///< Random, drawn by the caller.
  std::uint32_t Request_ = 0; ///< Request or push number; 0 on `Open`.
  std::uint16_t Part_ = 0;    ///< 0-based part of an answer.
  std::uint16_t Parts_ = 0;   ///< Number of parts, at most `MaxParts`.
  std::uint8_t Flags_ = 0;    ///< Bits of `MessageFlag`.
  WallTime Deadline_{};       ///< Zero selects the service's default.
  std::uint64_t Attempt_ = 0; ///< Identifies one dispatch; echoed.
  std::uint64_t Epoch_ = 0;   ///< Identifies a request for deduplication.
  Incarnation Incarnation_{}; ///< The upstream's incarnation.
  ErrorKind Reason_ = ErrorKind::None; ///< On `Refused` and `Reset`.
  WallTime RetryAt_{};                 ///< On `Refused`: earliest retry.
  std::uint32_t OpenFlows_ = 0; ///< Flows that the upstream reports as open.
  Bytes Route_;                 ///< Signed route; opaque to callers.
  Endpoint Caller_;             ///< Return address; opaque to upstreams.
  Bytes Payload_;

  bool repeatable() const { return (Flags_ & FlagRepeatable) != 0; }
};
bool operator==(const Message &A, const Message &B);

/// Returns a message of kind \p K with the service, flow and request number of
/// \p M and no other field.
Message makeReply(const Message &M, MessageKind K);

/// Encodes \p M into \p Buffer. Returns the length, or 0 if it doesn't fit.
/// Doesn't allocate.
std::size_t encode(const Message &M, std::uint8_t *Buffer, std::size_t Size);

/// Decodes a datagram into \p M, whose byte fields then point into \p Data.
/// Returns `None`, `Malformed` or `Oversized`. Doesn't allocate.
ErrorKind decode(const std::uint8_t *Data, std::size_t Size, Message &M);

/// The type of a datagram between balancers.
enum class PeerMessageKind : std::uint8_t {
  Forwarded = 1,   ///< A message for a flow whose home is the receiver.
  ForwardAccepted, ///< The home has the forwarded request.
  NotHome,         ///< The sender is not the home that the route names.
  Delegated,       ///< From a stopping home that didn't and won't run it.
  Duplicate,       ///< From a stopping home that delegated or ran it before.
  Last = Duplicate
};

/// A datagram between balancers, authenticated by a SipHash tag.
struct PeerDatagram {
  PeerMessageKind Kind_ = PeerMessageKind::Forwarded;
  Message Inner_; ///< With `Caller_` and `Service_` set.
};

/// A 128-bit SipHash key.
using SecretKey = std::array<std::uint8_t, 16>;

/// Encodes a tagged datagram into \p Buffer. Returns the length, or 0 if it
/// doesn't fit.
std::size_t encodePeer(const PeerDatagram &D, const SecretKey &Secret,
                       std::uint8_t *Buffer, std::size_t Size);

/// Decodes a peer datagram. Returns `BadTag` if its tag matches no key of
/// \p Keys.
ErrorKind decodePeer(const std::uint8_t *Data, std::size_t Size,
                     const std::array<SecretKey, 2> &Keys, PeerDatagram &D);

} // namespace thymewall

#endif

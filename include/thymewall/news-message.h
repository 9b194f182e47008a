/// \file
/// What packet balancers tell each other: heartbeats, the published state to
/// those that are behind, and warnings of upstreams. Encoded as CBOR.
#ifndef THYMEWALL_NEWS_MESSAGE_H
#define THYMEWALL_NEWS_MESSAGE_H

#include "thymewall/evacuation.h"
#include "thymewall/routing.h"
#include "thymewall/upstream-list.h"
#include "thymewall/upstream-warning.h"

#include <variant>

namespace thymewall {

/// Another packet balancer, as it is found and linked to.
struct Member {
  std::string Name_;
  std::string DataHall_;
  Endpoint Control_;
  /// Since it was last known to be alive, when the message was sent.
  std::uint32_t AgeMs_ = 0;
};

/// Sent on every link when the sender's knowledge has become more recent, and
/// once a second anyway.
struct PeerHeartbeat {
  /// `StateAgeMs_` of a sender that has never heard of the configuration
  /// service.
  static constexpr std::uint32_t UnknownAgeMs = ~0U;

  Member Sender_;
  bool Leaving_ = false;
  Version Routing_ = 0;
  Revision Through_ = 0;
  /// What the sender holds was complete this long ago.
  std::uint32_t StateAgeMs_ = UnknownAgeMs;
  /// Place in the order of readers, and age of the last answer, of the first
  /// reader that the sender has heard of lately. `UnknownAgeMs` for none.
  std::uint64_t ReaderScore_ = 0;
  std::uint32_t ReaderAgeMs_ = UnknownAgeMs;
  /// The same of the first balancer that is known to live, and how long ago it
  /// said so.
  std::uint64_t FirstAliveScore_ = 0;
  std::uint32_t FirstAliveAgeMs_ = UnknownAgeMs;
  /// Counts the sender's heartbeats on this link, and the last count that it
  /// had from the receiver: shows how old the message can be.
  std::uint64_t Sequence_ = 0;
  std::uint64_t EchoedSequence_ = 0;
  /// Since the sender started, or last slept: it has just come when this is
  /// short.
  std::uint32_t UptimeMs_ = 0;
  /// Upstreams that it lists, and the parts of the list that it has while it
  /// doesn't know through which revision (`Through_` is 0).
  std::uint32_t UpstreamCount_ = 0;
  ListParts Parts_{};
  std::vector<Member> Members_;
};

/// Asks for what is newer than this.
struct StateRequest {
  Version Routing_ = 0;
  Revision Through_ = 0;
  /// Also for upstreams that have ended: the sender has just started.
  bool IncludeEnded_ = false;
  /// If any: nothing but these parts, as far as the receiver has them.
  ListParts Parts_{};
  /// What the sender has of each part, when it has all of them.
  std::optional<PartDigests> Digests_{};
};

/// The answer to `StateRequest`.
struct StateUpdate {
  RoutingTablePtr Routing_; ///< Null when the receiver has it.
  UpstreamBatch Upstreams_;
  EvacuationBatch Evacuations_; ///< Always whole.
  /// As in a heartbeat.
  std::uint32_t StateAgeMs_ = PeerHeartbeat::UnknownAgeMs;
  /// If any: the answer is nothing but these parts.
  ListParts Parts_{};
};

using GossipMessage =
    std::variant<PeerHeartbeat, StateRequest, StateUpdate, UpstreamWarning>;

/// Largest message: 67,000 upstreams at about 60 bytes.
constexpr std::size_t MaxGossipMessageBytes = 8 << 20;

/// Times of upstreams are sent as what is left of them at \p Now.
std::string encodeGossip(const GossipMessage &M, MonoTime Now);
/// `Malformed` or `Oversized` leave \p M as it was.
ErrorKind decodeGossip(const std::string &Bytes, MonoTime Now,
                       GossipMessage &M);

} // namespace thymewall

#endif

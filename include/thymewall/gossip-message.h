/// \file
/// Gossip messages between packet balancers: heartbeats, requests and updates
/// of the published state, and warnings about upstreams. Encoded as CBOR.
#ifndef THYMEWALL_GOSSIP_MESSAGE_H
#define THYMEWALL_GOSSIP_MESSAGE_H

#include "thymewall/evacuation.h"
#include "thymewall/fleet-load.h"
#include "thymewall/routing.h"
#include "thymewall/upstream-list.h"
#include "thymewall/upstream-warning.h"

#include <variant>

namespace thymewall {

/// Another packet balancer of the fleet.
struct Member {
  std::string Name_;
  std::string DataHall_;
  Endpoint Control_;
  /// Time since the member was last known to be alive, when the message was
  /// sent.
  std::uint32_t AgeMs_ = 0;
  /// Whether the member reported `Load_` and `Impairment_`; older releases
  /// don't.
  bool LoadTold_ = false;
  std::vector<ServiceLoad> Load_{}; ///< At most `MaxServiceLoads`.
  std::uint8_t Impairment_ = 0;     ///< From 0, healthy, to 255.

  /// Maximum number of services whose load is reported; those with the highest
  /// load are.
  static constexpr std::size_t MaxServiceLoads = 8;
};

/// Sent on every link once per `GossipNode::HeartbeatInterval`, and at once
/// when a newer confirmation of the sender's state arrives.
struct PeerHeartbeat {
  /// Age of the state of a sender that has never heard from the configuration
  /// service.
  static constexpr std::uint32_t UnknownAgeMs = ~0U;

  Member Sender_;
  bool Leaving_ = false;
  Version Routing_ = 0;
  Revision Through_ = 0;
  /// Time since the sender's state was last confirmed to be complete.
  std::uint32_t StateAgeMs_ = UnknownAgeMs;
  /// Reader with the lowest score that the sender has recently heard of, and
  /// the age of that reader's last answer; `UnknownAgeMs` if there is none.
  std::uint64_t ReaderScore_ = 0;
  std::uint32_t ReaderAgeMs_ = UnknownAgeMs;
  /// Live balancer with the lowest score that the sender knows, and the age of
  /// its last sign of life; `UnknownAgeMs` if there is none.
  std::uint64_t FirstAliveScore_ = 0;
  std::uint32_t FirstAliveAgeMs_ = UnknownAgeMs;
  /// Number of this heartbeat on the link, and the number of the last heartbeat
  /// received from the peer. The echo bounds the age of the message.
  std::uint64_t Sequence_ = 0;
  std::uint64_t EchoedSequence_ = 0;
  /// Time in milliseconds by the sender's clock, whose origin is arbitrary, at
  /// which it sent this heartbeat and received the echoed one. Older releases
  /// send neither.
  std::uint64_t SentAtMs_ = 0;
  std::uint64_t EchoReceivedAtMs_ = 0;
  /// Time since the latest failed call of the configuration service, by any
  /// balancer, that the sender knows; `UnknownAgeMs` if there is none.
  std::uint32_t FailureAgeMs_ = UnknownAgeMs;
  /// Time since the sender started or was last suspended.
  std::uint32_t UptimeMs_ = 0;
  /// Number of upstreams in the sender's list, and the parts it has while the
  /// list has no revision yet (`Through_` is 0).
  std::uint32_t UpstreamCount_ = 0;
  ListParts Parts_{};
  std::vector<Member> Members_;
};

/// Requests what is newer than the sender's state.
struct StateRequest {
  Version Routing_ = 0;
  Revision Through_ = 0;
  /// Whether to include ended upstreams; set by a balancer that has just
  /// started.
  bool IncludeEnded_ = false;
  /// If any are set, only these parts are requested, as far as the receiver has
  /// them.
  ListParts Parts_{};
  /// Digests of all parts, if the sender has all of them.
  std::optional<PartDigests> Digests_{};
};

/// Response to a `StateRequest`.
struct StateUpdate {
  RoutingTablePtr Routing_; ///< Null if the requester is up to date.
  UpstreamBatch Upstreams_;
  EvacuationBatch Evacuations_; ///< Always a full snapshot.
  /// See `PeerHeartbeat::StateAgeMs_`.
  std::uint32_t StateAgeMs_ = PeerHeartbeat::UnknownAgeMs;
  /// If any are set, the update holds only these parts.
  ListParts Parts_{};
};

using GossipMessage =
    std::variant<PeerHeartbeat, StateRequest, StateUpdate, UpstreamWarning>;

/// Fits a full list of tens of thousands of upstreams.
constexpr std::size_t MaxGossipMessageBytes = 8 << 20;

/// Encodes \p M. Deadlines of upstreams are sent as the time left at \p Now.
std::string encodeGossip(const GossipMessage &M, MonoTime Now);
/// Decodes \p Bytes into \p M. Returns `Malformed` or `Oversized` on error and
/// leaves \p M unchanged.
ErrorKind decodeGossip(const std::string &Bytes, MonoTime Now,
                       GossipMessage &M);

} // namespace thymewall

#endif

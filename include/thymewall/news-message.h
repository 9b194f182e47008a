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
  /// `KnownAgeMs_` of a sender that has never heard of the configuration
  /// service.
  static constexpr std::uint32_t NeverKnown = ~0U;

  Member Sender_;
  bool Leaving_ = false;
  Version Routing_ = 0;
  Revision Through_ = 0;
  /// What the sender holds was complete this long ago.
  std::uint32_t KnownAgeMs_ = NeverKnown;
  /// Place in the order of readers, and age of the last answer, of the first
  /// reader that the sender has heard of lately. `NeverKnown` for none.
  std::uint64_t Reader_ = 0;
  std::uint32_t ReaderAgeMs_ = NeverKnown;
  /// The same of the first balancer that is known to live, and how long ago it
  /// said so.
  std::uint64_t Living_ = 0;
  std::uint32_t LivingAgeMs_ = NeverKnown;
  /// Counts the sender's heartbeats on this link, and the last count that it
  /// had from the receiver: shows how old the message can be.
  std::uint64_t Sequence_ = 0;
  std::uint64_t Echo_ = 0;
  /// Since the sender started, or last slept: it has just come when this is
  /// short.
  std::uint32_t PresentMs_ = 0;
  /// Upstreams that it lists, and the parts of the list that it has while it
  /// doesn't know through which revision (`Through_` is 0).
  std::uint32_t Listed_ = 0;
  ListParts Parts_{};
  std::vector<Member> Members_;
};

/// Asks for what is newer than this.
struct NewsWanted {
  Version Routing_ = 0;
  Revision Through_ = 0;
  /// Also for upstreams that have ended: the sender has just started.
  bool Ended_ = false;
  /// If any: nothing but these parts, as far as the receiver has them.
  ListParts Parts_{};
  /// What the sender has of each part, when it has all of them.
  std::optional<PartDigests> Digests_{};
};

/// The answer to `NewsWanted`.
struct News {
  RoutingTablePtr Routing_; ///< Null when the receiver has it.
  UpstreamBatch Upstreams_;
  EvacuationBatch Evacuations_; ///< Always whole.
  /// As in a heartbeat.
  std::uint32_t KnownAgeMs_ = PeerHeartbeat::NeverKnown;
  /// If any: the answer is nothing but these parts.
  ListParts Parts_{};
};

using NewsMessage =
    std::variant<PeerHeartbeat, NewsWanted, News, UpstreamWarning>;

/// Largest message: 67,000 upstreams at about 60 bytes.
constexpr std::size_t MaxNewsMessage = 8 << 20;

/// Times of upstreams are sent as what is left of them at \p Now.
std::string encodeNews(const NewsMessage &M, MonoTime Now);
/// `Malformed` or `Oversized` leave \p M as it was.
ErrorKind decodeNews(const std::string &Bytes, MonoTime Now, NewsMessage &M);

} // namespace thymewall

#endif

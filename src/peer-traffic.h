/// \file
/// Messages and bytes between this balancer and its peers, by kind: what
/// control costs, apart from callers' packets.
#ifndef THYMEWALL_SRC_PEER_TRAFFIC_H
#define THYMEWALL_SRC_PEER_TRAFFIC_H

#include "thymewall/gossip-message.h"

#include <array>

namespace thymewall::detail {

class PeerTraffic {
public:
  struct Count {
    std::uint64_t Messages_ = 0;
    std::uint64_t Bytes_ = 0;
  };
  static constexpr std::size_t Kinds = std::variant_size_v<GossipMessage>;
  /// In the order of `GossipMessage`.
  static constexpr std::array<const char *, Kinds> Names = {
      "heartbeat", "question", "news", "warning"};

  void sent(const GossipMessage &M, std::size_t Bytes) {
    add(Sent_[M.index()], Bytes);
  }
  void received(const GossipMessage &M, std::size_t Bytes) {
    add(Received_[M.index()], Bytes);
  }
  const std::array<Count, Kinds> &allSent() const { return Sent_; }
  const std::array<Count, Kinds> &allReceived() const { return Received_; }

private:
  static void add(Count &To, std::size_t Bytes) {
    ++To.Messages_;
    To.Bytes_ += Bytes;
  }

  std::array<Count, Kinds> Sent_{};
  std::array<Count, Kinds> Received_{};
};

} // namespace thymewall::detail

#endif

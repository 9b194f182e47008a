/// \file
/// Counts messages and bytes exchanged with peers by kind of message. Callers'
/// packets are not included.
#ifndef THYMEWALL_SRC_PEER_TRAFFIC_H
#define THYMEWALL_SRC_PEER_TRAFFIC_H

#include "thymewall/gossip-message.h"

#include <array>

namespace thymewall::detail {

class PeerTraffic {
public:
  struct TrafficCount {
    std::uint64_t Messages_ = 0;
    std::uint64_t Bytes_ = 0;
  };
  static constexpr std::size_t KindCount = std::variant_size_v<GossipMessage>;
  /// In the order of `GossipMessage`.
  static constexpr std::array<const char *, KindCount> KindNames = {
      "heartbeat", "question", "news", "warning"};

  void sent(const GossipMessage &M, std::size_t Bytes) {
    add(Sent_[M.index()], Bytes);
  }
  void received(const GossipMessage &M, std::size_t Bytes) {
    add(Received_[M.index()], Bytes);
  }
  const std::array<TrafficCount, KindCount> &sentByKind() const {
    return Sent_;
  }
  const std::array<TrafficCount, KindCount> &receivedByKind() const {
    return Received_;
  }

private:
  static void add(TrafficCount &To, std::size_t Bytes) {
    ++To.Messages_;
    To.Bytes_ += Bytes;
  }

  std::array<TrafficCount, KindCount> Sent_{};
  std::array<TrafficCount, KindCount> Received_{};
};

} // namespace thymewall::detail

#endif

/// \file
/// Tables of requests and opens that await an upstream's final answer, and of
/// requests forwarded to another balancer that has not accepted them yet.
#ifndef THYMEWALL_REQUEST_TABLE_H
#define THYMEWALL_REQUEST_TABLE_H

#include "thymewall/flow-table.h"
#include "thymewall/message.h"

namespace thymewall {

/// Identifies a request of a flow; number 0 is the flow's open.
struct RequestKey {
  ServiceId Service_{};
  std::uint32_t Number_ = 0;
  FlowId Flow_{};
};
inline bool operator==(const RequestKey &A, const RequestKey &B) {
  return A.Flow_ == B.Flow_ && A.Number_ == B.Number_ &&
         A.Service_ == B.Service_;
}
inline std::uint64_t hashRequest(const RequestKey &K) {
  return hashPair(raw(K.Flow_),
                  std::uint64_t{raw(K.Service_)} << 32 | K.Number_);
}

/// A request dispatched to an upstream.
struct RequestRow {
  using Key = RequestKey;

  RequestKey Key_;
  std::uint64_t Attempt_ = 0;
  std::uint64_t ReceivedParts_ = 0; ///< One bit per part.
  WallTime Deadline_{};
  MonoTime SentAt_{};
  Endpoint Caller_;
  std::uint32_t Upstream_ = 0; ///< Index into the upstream table.
  std::uint16_t Parts_ = 0;
  std::uint8_t Tries_ = 0;
  bool AtMostOnce_ = false; ///< Not repeatable; this balancer is the home.
  bool SoleCopy_ = false;   ///< No other copy is ever dispatched.
  bool NewRoute_ = false;   ///< The answer carries a new route.
  bool Completed_ = false;  ///< Kept to drop duplicates after the answer.
  RowLinks Links_;

  Key key() const { return Key_; }
  static std::uint64_t hash(const Key &K) { return hashRequest(K); }
};
using RequestTable = TimedTable<RequestRow>;

/// A request forwarded to another balancer, kept for retransmission.
struct ForwardRow {
  using Key = RequestKey;

  RequestKey Key_;
  Message Message_; ///< Its byte fields may dangle; see `message`.
  Endpoint Destination_;
  PeerMessageKind Kind_ = PeerMessageKind::Forwarded;
  std::array<std::uint8_t, MaxRouteSize> Route_{};
  std::array<std::uint8_t, MaxDatagramSize> Payload_{};
  std::uint16_t RouteSize_ = 0;
  std::uint16_t PayloadSize_ = 0;
  std::uint8_t Tries_ = 0;
  RowLinks Links_;

  Key key() const { return Key_; }
  static std::uint64_t hash(const Key &K) { return hashRequest(K); }

  /// Copies \p M with its route and payload bytes.
  void store(const Message &M);
  /// Returns the stored message; its byte fields point into this row.
  Message message() const;
};
using ForwardTable = TimedTable<ForwardRow>;

} // namespace thymewall

#endif

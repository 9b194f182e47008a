/// \file
/// Requests and opens that this balancer has handed to an upstream and that
/// have no final answer yet, and requests passed to a home that has not
/// confirmed them.
#ifndef THYMEWALL_REQUEST_TABLE_H
#define THYMEWALL_REQUEST_TABLE_H

#include "thymewall/flow-table.h"
#include "thymewall/message.h"

namespace thymewall {

/// A request of a flow; number 0 is the flow's open.
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

/// A request in progress at an upstream.
struct RequestRow {
  using Key = RequestKey;

  RequestKey Key_;
  std::uint64_t Attempt_ = 0;
  std::uint64_t ReceivedParts_ = 0; ///< Bit per part.
  WallTime Deadline_{};
  MonoTime SentAt_{};
  Endpoint Caller_;
  std::uint32_t Upstream_ = 0; ///< Index into the upstream table.
  std::uint16_t Parts_ = 0;
  std::uint8_t Tries_ = 0;
  bool AtMostOnce_ = false; ///< Not repeatable; this balancer is the home.
  bool SoleCopy_ = false;   ///< No other copy was or will be handed on.
  bool NewRoute_ = false;   ///< The answer brings the caller a new route.
  bool Completed_ = false;  ///< Kept to swallow copies of an answered request.
  RowLinks Links_;

  Key key() const { return Key_; }
  static std::uint64_t hash(const Key &K) { return hashRequest(K); }
};
using RequestTable = TimedTable<RequestRow>;

/// A request on its way to its flow's home, kept whole to be sent again.
struct ForwardRow {
  using Key = RequestKey;

  RequestKey Key_;
  Message Message_; ///< Byte fields are set by `message`.
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

  /// Copies a message and the bytes that it borrows.
  void store(const Message &M);
  /// The stored message, borrowing from this row.
  Message message() const;
};
using ForwardTable = TimedTable<ForwardRow>;

} // namespace thymewall

#endif

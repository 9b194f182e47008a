/// \file
/// Header fields of a caller's packet that the packet balancer uses. The
/// payload stays in the original datagram, which is forwarded unchanged.
#ifndef THYMEWALL_PACKET_H
#define THYMEWALL_PACKET_H

#include "thymewall/core.h"

namespace thymewall {

/// A 32-bit value that both ends of a flow echo in every packet. Balancers set
/// it to the identifier of the flow's upstream; 0 means none.
using Cookie = std::uint32_t;

struct Packet {
  Endpoint Caller_;
  Endpoint Service_; ///< Destination address and port.
  Cookie Cookie_ = 0;
  std::uint32_t Sequence_ = 0;
  /// Acknowledgement number. In an opening packet: the number of times that the
  /// caller has retransmitted it.
  std::uint32_t Acknowledged_ = 0;
  std::uint16_t DataSize_ = 0;
  bool Opens_ = false;        ///< SYN.
  bool Acknowledges_ = false; ///< ACK.
  bool Finishes_ = false;     ///< FIN.
  bool Resets_ = false;       ///< RST.
};

inline bool operator==(const Packet &A, const Packet &B) {
  auto Fields = [](const Packet &P) {
    return std::tie(P.Caller_, P.Service_, P.Cookie_, P.Sequence_,
                    P.Acknowledged_, P.DataSize_, P.Opens_, P.Acknowledges_,
                    P.Finishes_, P.Resets_);
  };
  return Fields(A) == Fields(B);
}

/// Returns the 64-bit hash of the caller and service addresses, which
/// identifies the flow at every balancer.
FlowId flowOf(const Packet &P);

} // namespace thymewall

#endif

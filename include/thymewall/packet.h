/// \file
/// A caller's packet as the packet balancer sees it: who sent it, to which
/// service address, and the few transport fields that decisions need. Data and
/// everything else stay in the datagram, which is sent on as it came.
#ifndef THYMEWALL_PACKET_H
#define THYMEWALL_PACKET_H

#include "thymewall/core.h"

namespace thymewall {

/// The 32 bits that a flow's two ends return with every packet. A balancer sets
/// it to the identifier of the flow's upstream; 0 is none.
using Cookie = std::uint32_t;

struct Packet {
  Endpoint Caller_;
  Endpoint Service_; ///< The address and port that the caller wants.
  Cookie Cookie_ = 0;
  std::uint32_t Sequence_ = 0;
  /// The last byte of the answer that the caller has, or, when opening, which
  /// copy of the opening packet this is (0 is the first).
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

/// 64-bit hash of the caller and the service address: the flow's name at every
/// balancer.
FlowId flowOf(const Packet &P);

} // namespace thymewall

#endif

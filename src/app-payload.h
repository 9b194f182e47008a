/// \file
/// The request payload of the load tool and the test upstreams, by which they
/// check that requests reach the right service. Opaque to balancers.
#ifndef THYMEWALL_SRC_APP_PAYLOAD_H
#define THYMEWALL_SRC_APP_PAYLOAD_H

#include "thymewall/message.h"

#include <cstring>

namespace thymewall::detail {

/// Contents of a request payload.
struct AppPayload {
  std::uint64_t Id_ = 0;      ///< Unique to the request.
  std::uint32_t Service_ = 0; ///< The service that the caller addresses.
  std::uint16_t Parts_ = 1;   ///< Number of parts of the answer.
};

/// Encoded size in bytes.
constexpr std::size_t AppPayloadSize = 14;

/// Writes `AppPayloadSize` bytes to \p Into.
inline void writeAppPayload(const AppPayload &P, std::uint8_t *Into) {
  std::memcpy(Into, &P.Id_, 8);
  std::memcpy(Into + 8, &P.Service_, 4);
  std::memcpy(Into + 12, &P.Parts_, 2);
}

/// Decodes a payload; one that is too short gives the default values.
inline AppPayload readAppPayload(Bytes From) {
  AppPayload P;
  if (From.Size_ < AppPayloadSize)
    return P;
  std::memcpy(&P.Id_, From.Data_, 8);
  std::memcpy(&P.Service_, From.Data_ + 8, 4);
  std::memcpy(&P.Parts_, From.Data_ + 12, 2);
  return P;
}

} // namespace thymewall::detail

#endif

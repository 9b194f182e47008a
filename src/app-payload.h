/// \file
/// What the load tool and the upstream stand-in write into payloads, so that
/// both can judge by themselves what reached whom. Balancers never look at it.
#ifndef THYMEWALL_SRC_APP_PAYLOAD_H
#define THYMEWALL_SRC_APP_PAYLOAD_H

#include "thymewall/message.h"

#include <cstring>

namespace thymewall::detail {

struct AppPayload {
  std::uint64_t Id_ = 0;      ///< Unique to the request.
  std::uint32_t Service_ = 0; ///< The service that the caller means.
  std::uint16_t Parts_ = 1;   ///< Parts of the answer that it wants.
};

constexpr std::size_t AppPayloadSize = 14;

inline void writeAppPayload(const AppPayload &P, std::uint8_t *Into) {
  std::memcpy(Into, &P.Id_, 8);
  std::memcpy(Into + 8, &P.Service_, 4);
  std::memcpy(Into + 12, &P.Parts_, 2);
}

/// All zero when the bytes are too few.
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

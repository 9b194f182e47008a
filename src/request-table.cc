#include "thymewall/request-table.h"

#include <algorithm>

namespace thymewall {

void ForwardRow::store(const Message &M) {
  Message_ = M;
  RouteSize_ =
      static_cast<std::uint16_t>(std::min(M.Route_.Size_, MaxRouteSize));
  PayloadSize_ =
      static_cast<std::uint16_t>(std::min(M.Payload_.Size_, MaxDatagramSize));
  std::copy_n(M.Route_.Data_, RouteSize_, Route_.begin());
  std::copy_n(M.Payload_.Data_, PayloadSize_, Payload_.begin());
}

Message ForwardRow::message() const {
  Message M = Message_;
  M.Route_ = {Route_.data(), RouteSize_};
  M.Payload_ = {Payload_.data(), PayloadSize_};
  return M;
}

} // namespace thymewall

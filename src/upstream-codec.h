/// \file
/// Changes of upstreams inside messages between balancers. A list of all
/// upstreams is most of what a start moves, so that names of data halls stand
/// once in it and IPv4 addresses are numbers.
#ifndef THYMEWALL_SRC_UPSTREAM_CODEC_H
#define THYMEWALL_SRC_UPSTREAM_CODEC_H

#include "thymewall/upstream-list.h"

#include <nlohmann/json.hpp>

namespace thymewall::detail {

/// Times are sent as what is left of them at \p Now.
nlohmann::json encodeChanges(const std::vector<UpstreamChange> &Changes,
                             MonoTime Now);
/// Throws what the library throws, or `std::invalid_argument`.
std::vector<UpstreamChange> decodeChanges(const nlohmann::json &J,
                                          MonoTime Now);

/// An address as text. Throws `std::invalid_argument` for another text.
Endpoint decodeEndpoint(const nlohmann::json &J);

} // namespace thymewall::detail

#endif

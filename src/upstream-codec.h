/// \file
/// Encoding of upstream changes in messages between balancers. To keep full
/// lists small, names of data halls are stored once in a message and IPv4
/// addresses as numbers.
#ifndef THYMEWALL_SRC_UPSTREAM_CODEC_H
#define THYMEWALL_SRC_UPSTREAM_CODEC_H

#include "thymewall/upstream-list.h"

#include <nlohmann/json.hpp>

namespace thymewall::detail {

/// Encodes times relative to \p Now.
nlohmann::json encodeChanges(const std::vector<UpstreamChange> &Changes,
                             MonoTime Now);
/// Throws `nlohmann::json::exception`, `std::out_of_range` or
/// `std::invalid_argument` if \p J is malformed.
std::vector<UpstreamChange> decodeChanges(const nlohmann::json &J,
                                          MonoTime Now);

/// Parses an address and port. Throws `std::invalid_argument` if the text is
/// not one.
Endpoint decodeEndpoint(const nlohmann::json &J);

} // namespace thymewall::detail

#endif

/// \file
/// Output of `thymewall-ctl` for packet balancers, from their status pages.
#ifndef THYMEWALL_SRC_CTL_PACKET_H
#define THYMEWALL_SRC_CTL_PACKET_H

#include <nlohmann/json.hpp>

namespace thymewall::detail {

/// Returns whether \p Page is the status page of a packet balancer.
bool isPacketStatus(const nlohmann::json &Page);

/// Prints the routing version, the age of the state, each upstream that accepts
/// no new flows with the reason, load and limits of services, and the peers
/// with their loads.
void printPacketStatus(const nlohmann::json &Page, std::ostream &Out);

/// Prints the objective of \p Address, where callers connect, the services
/// routed from it, and their upstreams. Returns false if the balancer does not
/// route this address.
bool printRoute(const nlohmann::json &Page, const std::string &Address,
                std::ostream &Out);

} // namespace thymewall::detail

#endif

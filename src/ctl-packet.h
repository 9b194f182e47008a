/// \file
/// What `thymewall-ctl` prints of packet balancers, from their status pages.
#ifndef THYMEWALL_SRC_CTL_PACKET_H
#define THYMEWALL_SRC_CTL_PACKET_H

#include <nlohmann/json.hpp>

namespace thymewall::detail {

/// True for a status page of a packet balancer.
bool isPacketStatus(const nlohmann::json &Page);

/// Version, age of knowledge, reader, peers, and each upstream that takes no
/// new flows with the reason.
void printPacketStatus(const nlohmann::json &Page, std::ostream &Out);

/// The services behind a callers' address and every upstream of theirs. False
/// when this balancer knows no such address.
bool printRoute(const nlohmann::json &Page, const std::string &Address,
                std::ostream &Out);

} // namespace thymewall::detail

#endif

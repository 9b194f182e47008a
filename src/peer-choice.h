/// \file
/// Selection of the peers that a balancer links to, and the order in which
/// balancers read the configuration service.
#ifndef THYMEWALL_SRC_PEER_CHOICE_H
#define THYMEWALL_SRC_PEER_CHOICE_H

#include "thymewall/gossip-message.h"

namespace thymewall::detail {

/// Returns at most \p Limit of \p All by rendezvous hashing for \p Self: up to
/// \p RemoteLimit of them in other data halls, so that gossip crosses halls,
/// and more if its own hall has too few.
std::vector<Member> choosePeers(std::vector<Member> All, const Member &Self,
                                std::size_t Limit, std::size_t RemoteLimit);

/// Returns the score by which balancers take over reading the configuration
/// service, lowest first.
std::uint64_t readerScore(const std::string &Name);

/// Returns the hash that orders the balancers of a data hall when they step
/// back.
std::uint64_t stepBackHash(const std::string &Name);

} // namespace thymewall::detail

#endif

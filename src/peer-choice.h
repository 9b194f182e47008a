/// \file
/// Which peers a balancer links to, and the order in which balancers read the
/// configuration service.
#ifndef THYMEWALL_SRC_PEER_CHOICE_H
#define THYMEWALL_SRC_PEER_CHOICE_H

#include "thymewall/news-message.h"

namespace thymewall::detail {

/// At most \p Limit of \p All, by rendezvous hashing for \p Self: up to
/// \p RemoteLimit of them in other data halls, so that news crosses halls, and
/// more where its own has too few.
std::vector<Member> choosePeers(std::vector<Member> All, const Member &Self,
                                std::size_t Limit, std::size_t RemoteLimit);

/// Balancers read the configuration service in the order of this number.
std::uint64_t readerScore(const std::string &Name);

} // namespace thymewall::detail

#endif

/// \file
/// Settings of a balancer process, read from a JSON object.
#ifndef THYMEWALL_SETTINGS_H
#define THYMEWALL_SETTINGS_H

#include "thymewall/route.h"

#include "thymewall/declaration.h"

namespace thymewall {

struct Settings {
  std::string Name_;
  std::string DataHall_;
  Endpoint Callers_;  ///< Address of the service sockets; the port is unused.
  Endpoint Data_;     ///< Datagrams between balancers.
  Endpoint Upstream_; ///< Datagrams to and from upstreams.
  Endpoint Control_;  ///< Control links.
  Endpoint Status_;   ///< HTTP status and metrics.
  Endpoint Platform_;
  std::vector<Endpoint> Seeds_; ///< Peers to link to without a host list.
  KeyPair Keys_{};
  std::uint32_t WatchersPerHall_ = 2; ///< Balancers that watch the platform.
  std::uint32_t PeerLinks_ = 8;       ///< Links that this balancer opens.
};

/// Parses settings. On failure the error object is `Problems`.
boost::leaf::result<Settings> parseSettings(const std::string &Text,
                                            const std::string &File);

/// Parses the settings of `thymewall-ctl`, {"balancers": [ADDRESS, ...]}, and
/// returns the status addresses. On failure the error object is `Problems`.
boost::leaf::result<std::vector<std::string>>
parseCtlSettings(const std::string &Text, const std::string &File);

} // namespace thymewall

#endif

/// \file
/// Settings of a balancer process: one JSON object, every key checked.
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
  Endpoint Upstream_; ///< Socket towards upstreams.
  Endpoint Control_;  ///< Control links.
  Endpoint Status_;   ///< HTTP status and metrics.
  Endpoint Platform_;
  std::vector<Endpoint> Seeds_; ///< Peers to ask when the platform is down.
  KeyPair Keys_{};
  std::uint32_t WatchersPerHall_ = 2;
  std::uint32_t PeerLinks_ = 8;
};

/// Parses settings; the error object is `Problems`.
boost::leaf::result<Settings> parseSettings(const std::string &Text,
                                            const std::string &File);

/// Parses the operators' command's settings, {"balancers": [ADDRESS, ...]},
/// into the status addresses; the error object is `Problems`.
boost::leaf::result<std::vector<std::string>>
parseCtlSettings(const std::string &Text, const std::string &File);

} // namespace thymewall

#endif

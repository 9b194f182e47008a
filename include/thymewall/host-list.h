/// \file
/// The platform's list of live and leaving hosts (docs/PROTOCOL.md, "Host
/// list"). It may lag behind the real state of the hosts.
#ifndef THYMEWALL_HOST_LIST_H
#define THYMEWALL_HOST_LIST_H

#include "thymewall/declaration.h"

namespace thymewall {

struct Host {
  enum class Role { Balancer, Upstream };
  std::string Name_;
  Role Role_ = Role::Balancer;
  bool Leaving_ = false;
  std::string DataHall_;
  Endpoint Data_;    ///< Datagrams between balancers; balancers only.
  Endpoint Control_; ///< Control links; balancers only.
};

struct HostList {
  Version Version_ = 0;
  std::vector<Host> Hosts_;
};
using HostListPtr = std::shared_ptr<const HostList>;

/// Parses a host list. On failure the error object is `Problems`.
boost::leaf::result<HostListPtr> parseHostList(const std::string &Text,
                                               const std::string &File);

} // namespace thymewall

#endif

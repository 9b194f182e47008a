/// \file
/// The platform's list of live and leaving hosts (docs/PROTOCOL.md, "Host
/// list"). It lags, and is used accordingly.
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
  Endpoint Data_;    ///< Balancers only: datagrams between balancers.
  Endpoint Control_; ///< Balancers only: control links.
};

struct HostList {
  Version Version_ = 0;
  std::vector<Host> Hosts_;
};
using HostListPtr = std::shared_ptr<const HostList>;

/// Parses a host list; the error object is `Problems`.
boost::leaf::result<HostListPtr> parseHostList(const std::string &Text,
                                               const std::string &File);

} // namespace thymewall

#endif

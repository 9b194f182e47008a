/// \file
/// Links between balancers: websocketpp connections that carry heartbeats,
/// documents and successions. What to link to and to send is decided by
/// `thymewall/control.h`.
#ifndef THYMEWALL_SRC_CONTROL_PLANE_H
#define THYMEWALL_SRC_CONTROL_PLANE_H

#include "thymewall/control.h"
#include "thymewall/settings.h"

#include <asio/io_context.hpp>
#include <functional>
#include <memory>

namespace thymewall::detail {

/// What the control plane tells its process.
struct ControlHooks {
  std::function<void(const Heartbeat &)> OnHeartbeat_;
  std::function<void(DocumentKind, const std::string &Text)> OnDocument_;
  std::function<void(const Succession &)> OnSuccession_;
  /// A peer showed, after it was asked, that it has nothing newer than we have.
  std::function<void(std::uint64_t RefreshId)> OnConfirmed_;
};

/// Totals since the start; bytes are those of messages, without framing.
struct ControlCounters {
  std::uint64_t BytesSent_ = 0;
  std::uint64_t BytesReceived_ = 0;
  std::uint64_t MessagesSent_ = 0;
  std::uint64_t MessagesRefused_ = 0;
  std::size_t Links_ = 0;
};

class ControlPlane {
public:
  ControlPlane(asio::io_context &Context, const Settings &Configured,
               Incarnation Self, ControlHooks Hooks);
  ~ControlPlane();

  void setHosts(HostListPtr Hosts);
  /// Records a document that is in force here and tells every link.
  void setDocument(DocumentKind Kind, const DocumentVersion &Which,
                   std::string Text);
  void setLeaving();
  /// Asks every peer for what it has now; `OnConfirmed_` tells who agrees.
  void requestHeartbeats(std::uint64_t RefreshId);
  /// Sends a succession to every link, and on every link that opens later.
  void broadcast(const Succession &S);
  /// Notes that the platform has answered this balancer.
  void recordPlatformAnswer();
  /// Listed balancers of our data hall that are not known to have had an answer
  /// of the platform of late.
  std::vector<std::string> staleWatchers() const;
  ControlCounters counters() const;

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace thymewall::detail

#endif

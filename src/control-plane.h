/// \file
/// Exchange of heartbeats, documents and successions over WebSocket links
/// between balancers. `thymewall/control.h` selects the peers and encodes the
/// messages.
#ifndef THYMEWALL_SRC_CONTROL_PLANE_H
#define THYMEWALL_SRC_CONTROL_PLANE_H

#include "thymewall/control.h"
#include "thymewall/settings.h"

#include <asio/io_context.hpp>
#include <functional>
#include <memory>

namespace thymewall::detail {

/// Callbacks for received messages.
struct ControlHooks {
  std::function<void(const Heartbeat &)> OnHeartbeat_;
  std::function<void(DocumentKind, const std::string &Text)> OnDocument_;
  std::function<void(const Succession &)> OnSuccession_;
  /// A peer answered `requestHeartbeats` and has no newer document.
  std::function<void(std::uint64_t RefreshId)> OnConfirmed_;
};

/// Totals since the start. Bytes are those of messages, without framing.
struct ControlCounters {
  std::uint64_t BytesSent_ = 0;
  std::uint64_t BytesReceived_ = 0;
  std::uint64_t MessagesSent_ = 0;
  std::uint64_t MessagesRefused_ = 0;
  std::size_t Links_ = 0; ///< Links open now.
};

class ControlPlane {
public:
  ControlPlane(asio::io_context &Context, const Settings &Configured,
               Incarnation Self, ControlHooks Hooks);
  ~ControlPlane();

  void setHosts(HostListPtr Hosts);
  /// Sets the document that peers may fetch and announces its version.
  void setDocument(DocumentKind Kind, const DocumentVersion &NewVersion,
                   std::string Text);
  /// Announces that this balancer is stopping.
  void setLeaving();
  /// Asks every peer for a heartbeat; `OnConfirmed_` follows for each peer that
  /// has no newer document.
  void requestHeartbeats(std::uint64_t RefreshId);
  /// Sends a succession on every link, including those that open later.
  void broadcast(const Succession &S);
  /// Records that the platform answered this balancer now.
  void recordPlatformAnswer();
  /// Returns the listed balancers of the own data hall that are not known to
  /// have had a recent answer from the platform.
  std::vector<std::string> staleWatchers() const;
  ControlCounters counters() const;

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace thymewall::detail

#endif

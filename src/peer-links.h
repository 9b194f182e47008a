/// \file
/// WebSocket connections between balancers, in both directions, with binary
/// messages. The caller decides whom to connect to and what to send.
#ifndef THYMEWALL_SRC_PEER_LINKS_H
#define THYMEWALL_SRC_PEER_LINKS_H

#include "thymewall/gossip.h"

#include <asio/io_context.hpp>

namespace thymewall::detail {

struct PeerLinkHooks {
  /// A connection was established. \p Target is empty if the peer opened it.
  std::function<void(LinkId, const std::string &Target)> OnOpen_;
  std::function<void(LinkId, const std::string &Bytes)> OnMessage_;
  std::function<void(LinkId)> OnClose_;
  /// A connection to \p Target could not be established.
  std::function<void(const std::string &Target)> OnConnectFailed_;
  /// A peer answered a ping on the link. \p Bytes is the payload of the ping.
  std::function<void(LinkId, const std::string &Bytes)> OnPong_;
};

class PeerLinks {
public:
  /// Throws `std::system_error` if the address can't be bound.
  PeerLinks(asio::io_context &Context, const Endpoint &Listen,
            std::size_t MaxMessageBytes, PeerLinkHooks Hooks);
  ~PeerLinks();

  /// Opens a connection to \p Target, in the form "ADDRESS:PORT".
  void connect(const std::string &Target);
  void send(LinkId Link, const std::string &Bytes);
  /// Pings the peer of a link with a payload of at most 125 bytes.
  void ping(LinkId Link, const std::string &Bytes);
  /// Pings every peer with a payload of at most 125 bytes.
  void pingAll(const std::string &Bytes);
  /// Starts to close a link; `OnClose_` follows after the closing handshake or
  /// its timeout.
  void close(LinkId Link);

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace thymewall::detail

#endif

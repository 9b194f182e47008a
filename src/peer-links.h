/// \file
/// Connections between balancers: websocketpp in both directions, whole binary
/// messages. What is linked to and said is decided elsewhere.
#ifndef THYMEWALL_SRC_PEER_LINKS_H
#define THYMEWALL_SRC_PEER_LINKS_H

#include "thymewall/news.h"

#include <asio/io_context.hpp>

namespace thymewall::detail {

struct PeerLinkHooks {
  /// \p Target is empty for a connection that a peer opened.
  std::function<void(LinkId, const std::string &Target)> OnOpen_;
  std::function<void(LinkId, const std::string &Bytes)> OnMessage_;
  std::function<void(LinkId)> OnClose_;
  std::function<void(const std::string &Target)> OnConnectFailed_;
  /// A peer has answered a ping with its bytes.
  std::function<void(const std::string &Bytes)> OnPong_;
};

class PeerLinks {
public:
  /// Throws `std::system_error` when the address can't be bound.
  PeerLinks(asio::io_context &Context, const Endpoint &Listen,
            std::size_t MaxMessageBytes, PeerLinkHooks Hooks);
  ~PeerLinks();

  /// \p Target is "ADDRESS:PORT".
  void connect(const std::string &Target);
  void send(LinkId Link, const std::string &Bytes);
  /// Asks every peer for these bytes back, at most 125.
  void pingAll(const std::string &Bytes);
  /// `OnClose_` follows, at the latest when the connection's close times out.
  void close(LinkId Link);

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace thymewall::detail

#endif

/// \file
/// Non-blocking UDP socket on an Asio context.
#ifndef THYMEWALL_SRC_UDP_SOCKET_H
#define THYMEWALL_SRC_UDP_SOCKET_H

#include "thymewall/core.h"

#include <asio/io_context.hpp>
#include <asio/ip/udp.hpp>
#include <functional>

namespace thymewall::detail {

/// Converts an IPv4-mapped address to a plain IPv4 endpoint.
asio::ip::udp::endpoint toAsio(const Endpoint &Address);
Endpoint fromAsio(const asio::ip::udp::endpoint &Address);

class UdpSocket {
public:
  using ReceiveHandler = std::function<void(
      const Endpoint &From, const std::uint8_t *Data, std::size_t Size)>;

  /// Binds to \p Local; port 0 selects a free port. Throws `std::system_error`
  /// if binding fails.
  UdpSocket(asio::io_context &Context, const Endpoint &Local,
            ReceiveHandler OnReceive);

  /// Sends without blocking; errors are ignored and the datagram is dropped.
  void send(const Endpoint &To, const std::uint8_t *Data, std::size_t Size);
  Endpoint localEndpoint() const;
  void close();

private:
  static constexpr int SocketBufferBytes = 4 << 20;
  static constexpr int MaxDatagramsPerWakeup = 64;
  static constexpr std::size_t MaxDatagramBytes = 4096;

  void waitReadable();
  void receiveBurst();

  asio::ip::udp::socket Socket_;
  ReceiveHandler OnReceive_;
};

} // namespace thymewall::detail

#endif

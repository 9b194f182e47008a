/// \file
/// A non-blocking UDP socket on an Asio context, for all programs.
#ifndef THYMEWALL_SRC_UDP_SOCKET_H
#define THYMEWALL_SRC_UDP_SOCKET_H

#include "thymewall/core.h"

#include <asio/io_context.hpp>
#include <asio/ip/udp.hpp>
#include <functional>

namespace thymewall::detail {

asio::ip::udp::endpoint toAsio(const Endpoint &Address);
Endpoint fromAsio(const asio::ip::udp::endpoint &Address);

class UdpSocket {
public:
  using ReceiveHandler = std::function<void(
      const Endpoint &From, const std::uint8_t *Data, std::size_t Size)>;

  /// Binds to \p Local; port 0 takes any. Throws `std::system_error`.
  UdpSocket(asio::io_context &Context, const Endpoint &Local,
            ReceiveHandler OnReceive);

  /// Sends at once or drops: datagrams may be lost anyway.
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

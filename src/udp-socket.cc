#include "udp-socket.h"

#include <algorithm>
#include <asio/buffer.hpp>

namespace thymewall::detail {

namespace {

bool isV4(const Endpoint &Address) {
  return Address.Ip_[10] == 0xff && Address.Ip_[11] == 0xff &&
         std::all_of(Address.Ip_.begin(), Address.Ip_.begin() + 10,
                     [](std::uint8_t Byte) { return Byte == 0; });
}

} // namespace

asio::ip::udp::endpoint toAsio(const Endpoint &Address) {
  if (!isV4(Address))
    return {asio::ip::address_v6(Address.Ip_), Address.Port_};
  asio::ip::address_v4::bytes_type V4Bytes;
  std::copy_n(Address.Ip_.begin() + 12, 4, V4Bytes.begin());
  return {asio::ip::address_v4(V4Bytes), Address.Port_};
}

Endpoint fromAsio(const asio::ip::udp::endpoint &Address) {
  if (Address.address().is_v4())
    return Endpoint::v4(Address.address().to_v4().to_uint(), Address.port());
  Endpoint Result;
  Result.Ip_ = Address.address().to_v6().to_bytes();
  Result.Port_ = Address.port();
  return Result;
}

UdpSocket::UdpSocket(asio::io_context &Context, const Endpoint &Local,
                     ReceiveHandler OnReceive)
    : Socket_(Context, toAsio(Local)), OnReceive_(std::move(OnReceive)) {
  asio::error_code Ignored;
  Socket_.set_option(asio::socket_base::receive_buffer_size(SocketBufferBytes),
                     Ignored);
  Socket_.set_option(asio::socket_base::send_buffer_size(SocketBufferBytes),
                     Ignored);
  Socket_.non_blocking(true);
  waitReadable();
}

void UdpSocket::waitReadable() {
  Socket_.async_wait(asio::ip::udp::socket::wait_read,
                     [this](const asio::error_code &Error) {
                       if (Error)
                         return;
                       receiveBurst();
                       if (Socket_.is_open())
                         waitReadable();
                     });
}

void UdpSocket::receiveBurst() {
  std::uint8_t Buffer[MaxDatagramBytes];
  for (int I = 0; I < MaxDatagramsPerWakeup && Socket_.is_open(); ++I) {
    asio::ip::udp::endpoint From;
    asio::error_code Error;
    std::size_t Size =
        Socket_.receive_from(asio::buffer(Buffer), From, 0, Error);
    if (Error == asio::error::would_block)
      return;
    if (!Error) // e.g. a pending ICMP "port unreachable" error
      OnReceive_(fromAsio(From), Buffer, Size);
  }
}

void UdpSocket::send(const Endpoint &To, const std::uint8_t *Data,
                     std::size_t Size) {
  asio::error_code Ignored;
  Socket_.send_to(asio::buffer(Data, Size), toAsio(To), 0, Ignored);
}

Endpoint UdpSocket::localEndpoint() const {
  return fromAsio(Socket_.local_endpoint());
}

void UdpSocket::close() {
  asio::error_code Ignored;
  Socket_.close(Ignored);
}

} // namespace thymewall::detail

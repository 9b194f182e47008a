#include "udp-socket.h"

#include <algorithm>
#include <asio/buffer.hpp>

namespace thymewall::detail {

namespace {

bool isV4(const Endpoint &Where) {
  return Where.Address_[10] == 0xff && Where.Address_[11] == 0xff &&
         std::all_of(Where.Address_.begin(), Where.Address_.begin() + 10,
                     [](std::uint8_t Byte) { return Byte == 0; });
}

} // namespace

asio::ip::udp::endpoint toAsio(const Endpoint &Where) {
  if (!isV4(Where))
    return {asio::ip::address_v6(Where.Address_), Where.Port_};
  asio::ip::address_v4::bytes_type Four;
  std::copy_n(Where.Address_.begin() + 12, 4, Four.begin());
  return {asio::ip::address_v4(Four), Where.Port_};
}

Endpoint fromAsio(const asio::ip::udp::endpoint &Where) {
  if (Where.address().is_v4())
    return Endpoint::v4(Where.address().to_v4().to_uint(), Where.port());
  Endpoint Result;
  Result.Address_ = Where.address().to_v6().to_bytes();
  Result.Port_ = Where.port();
  return Result;
}

UdpSocket::UdpSocket(asio::io_context &Context, const Endpoint &Local,
                     ReceiveHandler OnReceive)
    : Socket_(Context, toAsio(Local)), OnReceive_(std::move(OnReceive)) {
  asio::error_code Ignored;
  Socket_.set_option(asio::socket_base::receive_buffer_size(BufferBytes),
                     Ignored);
  Socket_.set_option(asio::socket_base::send_buffer_size(BufferBytes), Ignored);
  Socket_.non_blocking(true);
  wait();
}

void UdpSocket::wait() {
  Socket_.async_wait(asio::ip::udp::socket::wait_read,
                     [this](const asio::error_code &Error) {
                       if (Error)
                         return;
                       receiveBurst();
                       if (Socket_.is_open())
                         wait();
                     });
}

void UdpSocket::receiveBurst() {
  std::uint8_t Buffer[MaxSize];
  for (int I = 0; I < MaxBurst && Socket_.is_open(); ++I) {
    asio::ip::udp::endpoint From;
    asio::error_code Error;
    std::size_t Size =
        Socket_.receive_from(asio::buffer(Buffer), From, 0, Error);
    if (Error == asio::error::would_block)
      return;
    if (!Error) // others are late reports of a peer's closed port
      OnReceive_(fromAsio(From), Buffer, Size);
  }
}

void UdpSocket::send(const Endpoint &To, const std::uint8_t *Data,
                     std::size_t Size) {
  asio::error_code Ignored;
  Socket_.send_to(asio::buffer(Data, Size), toAsio(To), 0, Ignored);
}

Endpoint UdpSocket::local() const { return fromAsio(Socket_.local_endpoint()); }

void UdpSocket::close() {
  asio::error_code Ignored;
  Socket_.close(Ignored);
}

} // namespace thymewall::detail

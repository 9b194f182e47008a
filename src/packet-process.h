/// \file
/// Process of a packet balancer: sockets, timers and HTTP servers around a
/// `PacketBalancer`. Hooks adapt it to a platform.
#ifndef THYMEWALL_SRC_PACKET_PROCESS_H
#define THYMEWALL_SRC_PACKET_PROCESS_H

#include "thymewall/config-reader.h"
#include "thymewall/packet-balancer.h"
#include "thymewall/packet-settings.h"

#include <asio/io_context.hpp>

namespace thymewall::detail {

/// Size of the buffers for datagrams, larger than any datagram of a platform.
constexpr std::size_t MaxPacketBytes = 2048;

/// Calls the configuration service. `Done` is called exactly once.
using ConfigClient =
    std::function<void(const ConfigRequest &Request,
                       std::function<void(const ConfigResponse &)> Done)>;

/// Functions of the platform adapter. Encoders write to a buffer of
/// `MaxPacketBytes` bytes and return the size.
struct PlatformHooks {
  /// Returns false if the bytes are not a packet.
  std::function<bool(const std::uint8_t *Data, std::size_t Size, Packet &P)>
      Decode_;
  std::function<std::size_t(const Forward &F, const std::uint8_t *Data,
                            std::size_t Size, std::uint8_t *Buffer)>
      EncodeForward_;
  std::function<std::size_t(const ResetFlow &R, std::uint8_t *Buffer)>
      EncodeReset_;
  std::function<ConfigClient(asio::io_context &Context, const Endpoint &Server)>
      MakeConfigClient_;
  std::string ReadinessPath_;
};

class PacketProcess {
public:
  /// Throws `std::system_error` if an address can't be bound. The settings file
  /// at \p SettingsPath is reloaded on SIGHUP and when its text changes.
  PacketProcess(asio::io_context &Context, const PacketSettings &Configured,
                std::string SettingsPath, PlatformHooks Hooks);
  ~PacketProcess();

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace thymewall::detail

#endif

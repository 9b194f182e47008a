/// \file
/// Sockets, timers and HTTP around a `PacketBalancer`. What speaks to a
/// platform comes in as hooks.
#ifndef THYMEWALL_SRC_PACKET_PROCESS_H
#define THYMEWALL_SRC_PACKET_PROCESS_H

#include "thymewall/intent-reader.h"
#include "thymewall/packet-balancer.h"
#include "thymewall/packet-settings.h"

#include <asio/io_context.hpp>

namespace thymewall::detail {

/// Buffers for datagrams: larger than any that a platform sends.
constexpr std::size_t MaxPacketBytes = 2048;

/// Makes a call of the configuration service and gives its answer once.
using ConfigClient =
    std::function<void(const ConfigRequest &Request,
                       std::function<void(const ConfigResponse &)> Done)>;

/// What an adapter provides. Encoders fill a buffer of `MaxPacketBytes` bytes
/// and give the size.
struct PlatformHooks {
  /// False when the bytes are no packet.
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
  /// Throws `std::system_error` when an address can't be bound.
  /// \p SettingsPath is read again on SIGHUP and when it changes.
  PacketProcess(asio::io_context &Context, const PacketSettings &Configured,
                std::string SettingsPath, PlatformHooks Hooks);
  ~PacketProcess();

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace thymewall::detail

#endif

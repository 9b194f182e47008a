/// \file
/// Child process that runs a balancer in a soak test, and a TCP forwarder in
/// front of its control address that can pause or reset connections.
#ifndef THYMEWALL_SOAK_PROCESS_H
#define THYMEWALL_SOAK_PROCESS_H

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <list>
#include <memory>
#include <string>
#include <sys/types.h>

namespace thymewall::soak {

/// Balancer that runs as a child process.
class BalancerChild {
public:
  /// The settings and the log of the process are files in \p Folder.
  BalancerChild(std::string Program, std::string Folder, std::size_t Index,
                std::size_t Count);
  ~BalancerChild(); ///< Kills the process if it runs.

  void start();
  void signal(int Signal);
  /// Sends SIGKILL and waits for the process to exit.
  void kill();
  /// Returns whether the process has exited, and sets \p Status to the status
  /// from `waitpid`.
  bool hasExited(int &Status);
  /// Returns whether a line of the log contains \p Text.
  bool logContains(const std::string &Text) const;
  bool running() const { return Pid_ > 0; }
  /// Writes the settings file; malformed JSON if \p Valid is false.
  void writeSettings(bool Valid, int FlowLimitMs = 60'000);

private:
  std::string Program_;
  std::string Folder_;
  std::size_t Index_;
  std::size_t Count_;
  pid_t Pid_ = 0;
};

/// Forwards TCP connections to a balancer's control address.
class Forwarder {
public:
  Forwarder(asio::io_context &Context, const std::string &Listen,
            const std::string &Target, std::uint16_t Port);

  /// Pauses or resumes forwarding in each direction.
  void setPaused(bool ToBalancer, bool FromBalancer) {
    PausedToBalancer_ = ToBalancer;
    PausedFromBalancer_ = FromBalancer;
  }
  /// Closes all connections by RST.
  void resetAll();

private:
  struct Connection;
  void accept();
  void forward(const std::shared_ptr<Connection> &C, bool ToBalancer);

  asio::io_context &Context_;
  asio::ip::tcp::acceptor Acceptor_;
  asio::ip::tcp::endpoint Target_;
  std::list<std::weak_ptr<Connection>> Connections_;
  bool PausedToBalancer_ = false;
  bool PausedFromBalancer_ = false;
};

} // namespace thymewall::soak

#endif

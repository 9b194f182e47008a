/// \file
/// A balancer's process in a soak, and a TCP forwarder in front of its control
/// address that can hold connections up, or reset them.
#ifndef THYMEWALL_SOAK_PROCESS_H
#define THYMEWALL_SOAK_PROCESS_H

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <list>
#include <memory>
#include <string>
#include <sys/types.h>

namespace thymewall::soak {

class BalancerChild {
public:
  /// \p Folder takes the settings and the log of each process.
  BalancerChild(std::string Program, std::string Folder, std::size_t Index,
                std::size_t Count);
  ~BalancerChild(); ///< Ends the process, by its id.

  void start();
  void signal(int Signal);
  /// SIGKILL, and waits for the end.
  void kill();
  /// True when the process has ended; \p Status is that of `waitpid`.
  bool hasExited(int &Status);
  /// True when a line of its log holds the text.
  bool logContains(const std::string &Text) const;
  bool running() const { return Pid_ > 0; }
  /// Writes the settings; broken ones for `Good` false.
  void writeSettings(bool Valid, int FlowLimitMs = 60'000);

private:
  std::string Program_;
  std::string Folder_;
  std::size_t Index_;
  std::size_t Count_;
  pid_t Pid_ = 0;
};

class Forwarder {
public:
  Forwarder(asio::io_context &Context, const std::string &Listen,
            const std::string &Target, std::uint16_t Port);

  /// Bytes towards the balancer, or from it, wait while this is set.
  void setPaused(bool ToBalancer, bool FromBalancer) {
    PausedToBalancer_ = ToBalancer;
    PausedFromBalancer_ = FromBalancer;
  }
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

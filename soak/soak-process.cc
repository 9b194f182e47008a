#include "soak-process.h"

#include "soak-world.h"

#include <asio/write.hpp>
#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <nlohmann/json.hpp>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace thymewall::soak {

namespace {

constexpr auto PausedPollInterval = 20ms;

std::string hostAndPort(const std::string &Host, std::uint16_t Port) {
  return Host + ":" + std::to_string(Port);
}

std::string advertisedControl(std::size_t Index) {
  return hostAndPort("127.0.4." + std::to_string(10 + Index), ControlPort);
}

} // namespace

BalancerChild::BalancerChild(std::string Program, std::string Folder,
                             std::size_t Index, std::size_t Count)
    : Program_(std::move(Program)), Folder_(std::move(Folder)), Index_(Index),
      Count_(Count) {
  writeSettings(true);
}

BalancerChild::~BalancerChild() {
  if (running())
    kill();
}

void BalancerChild::writeSettings(bool Valid, int FlowLimitMs) {
  std::string Host = Environment::balancerHost(Index_);
  nlohmann::json Settings = {
      {"name", "lb-" + std::to_string(Index_)},
      {"data_hall", "hall-" + std::to_string(Index_ % 3)},
      {"packets", hostAndPort(Host, PacketPort)},
      {"readiness", hostAndPort(Host, ReadinessPort)},
      {"control", hostAndPort(Host, ControlPort)},
      {"advertised_control", advertisedControl(Index_)},
      {"configuration",
       formatEndpoint(ConfigurationService::endpointFor(Index_))},
      {"metrics_port", MetricsPort},
      {"seeds", nlohmann::json::array()},
      {"routing_within_ms", 3000},
      {"stop_within_ms", 6000},
      {"flow_limit_ms", FlowLimitMs},
      {"step_back", true}};
  for (std::size_t Seed = 0; Seed < std::min<std::size_t>(3, Count_); ++Seed)
    Settings["seeds"].push_back(advertisedControl(Seed));
  std::ofstream Out(Folder_ + "/lb-" + std::to_string(Index_) + ".json");
  Out << (Valid ? Settings.dump() : "{\"name\": 3");
}

void BalancerChild::start() {
  std::string Name = Folder_ + "/lb-" + std::to_string(Index_);
  std::string Settings = Name + ".json";
  std::string Log = Name + ".log";
  posix_spawn_file_actions_t Actions;
  posix_spawn_file_actions_init(&Actions);
  posix_spawn_file_actions_addopen(&Actions, STDOUT_FILENO, Log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&Actions, STDOUT_FILENO, STDERR_FILENO);
  // An inherited listening socket would stay open for the child's lifetime.
  posix_spawn_file_actions_addclosefrom_np(&Actions, STDERR_FILENO + 1);
  std::string Option = "--config";
  char *Arguments[] = {Program_.data(), Option.data(), Settings.data(),
                       nullptr};
  if (posix_spawn(&Pid_, Program_.c_str(), &Actions, nullptr, Arguments,
                  environ) != 0)
    Pid_ = 0;
  posix_spawn_file_actions_destroy(&Actions);
}

void BalancerChild::signal(int Signal) {
  if (running())
    ::kill(Pid_, Signal);
}

void BalancerChild::kill() {
  if (!running())
    return;
  ::kill(Pid_, SIGKILL);
  waitpid(Pid_, nullptr, 0);
  Pid_ = 0;
}

bool BalancerChild::hasExited(int &Status) {
  if (!running() || waitpid(Pid_, &Status, WNOHANG) != Pid_)
    return false;
  Pid_ = 0;
  return true;
}

bool BalancerChild::logContains(const std::string &Text) const {
  std::ifstream Log(Folder_ + "/lb-" + std::to_string(Index_) + ".log");
  std::string Line;
  while (std::getline(Log, Line))
    if (Line.find(Text) != std::string::npos)
      return true;
  return false;
}

struct Forwarder::Connection {
  explicit Connection(asio::io_context &Context)
      : Peer_(Context),
        Balancer_(Context), Timers_{asio::steady_timer(Context),
                                    asio::steady_timer(Context)} {}
  asio::ip::tcp::socket Peer_;     ///< Accepted connection.
  asio::ip::tcp::socket Balancer_; ///< Connection to the balancer.
  asio::steady_timer Timers_[2];
  std::array<char, 4096> Buffers_[2]{};

  void close() {
    asio::error_code Ignored;
    Peer_.close(Ignored);
    Balancer_.close(Ignored);
  }
};

Forwarder::Forwarder(asio::io_context &Context, const std::string &Listen,
                     const std::string &Target, std::uint16_t Port)
    : Context_(Context),
      Acceptor_(Context, {asio::ip::make_address(Listen), Port}),
      Target_(asio::ip::make_address(Target), Port) {
  accept();
}

void Forwarder::accept() {
  auto C = std::make_shared<Connection>(Context_);
  Acceptor_.async_accept(C->Peer_, [this, C](const asio::error_code &Error) {
    accept();
    if (Error)
      return;
    Connections_.remove_if([](const auto &Old) { return Old.expired(); });
    Connections_.push_back(C);
    C->Balancer_.async_connect(Target_,
                               [this, C](const asio::error_code &Failed) {
                                 if (Failed)
                                   return C->close();
                                 forward(C, true);
                                 forward(C, false);
                               });
  });
}

void Forwarder::forward(const std::shared_ptr<Connection> &C, bool ToBalancer) {
  if (ToBalancer ? PausedToBalancer_ : PausedFromBalancer_) {
    C->Timers_[ToBalancer].expires_after(PausedPollInterval);
    return C->Timers_[ToBalancer].async_wait(
        [this, C, ToBalancer](const asio::error_code &Error) {
          if (!Error)
            forward(C, ToBalancer);
        });
  }
  auto &Source = ToBalancer ? C->Peer_ : C->Balancer_;
  Source.async_read_some(
      asio::buffer(C->Buffers_[ToBalancer]),
      [this, C, ToBalancer](const asio::error_code &Error, std::size_t Size) {
        if (Error)
          return C->close();
        auto &Destination = ToBalancer ? C->Balancer_ : C->Peer_;
        asio::async_write(
            Destination, asio::buffer(C->Buffers_[ToBalancer].data(), Size),
            [this, C, ToBalancer](const asio::error_code &Failed, std::size_t) {
              if (Failed)
                C->close();
              else
                forward(C, ToBalancer);
            });
      });
}

void Forwarder::resetAll() {
  for (const auto &Weak : Connections_)
    if (auto C = Weak.lock()) {
      asio::error_code Ignored;
      C->Peer_.set_option(asio::socket_base::linger(true, 0), Ignored);
      C->close();
    }
}

} // namespace thymewall::soak

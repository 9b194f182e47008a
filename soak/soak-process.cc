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

constexpr auto HeldLook = 20ms;

std::string at(const std::string &Host, std::uint16_t Port) {
  return Host + ":" + std::to_string(Port);
}

std::string advertised(std::size_t Index) {
  return at("127.0.4." + std::to_string(10 + Index), ControlPort);
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

void BalancerChild::writeSettings(bool Good, int FlowLimitMs) {
  std::string Host = World::hostOf(Index_);
  nlohmann::json Settings = {
      {"name", "lb-" + std::to_string(Index_)},
      {"data_hall", "hall-" + std::to_string(Index_ % 3)},
      {"packets", at(Host, PacketPort)},
      {"readiness", at(Host, ReadinessPort)},
      {"control", at(Host, ControlPort)},
      {"advertised_control", advertised(Index_)},
      {"configuration", formatEndpoint(ConfigurationService::at(Index_))},
      {"metrics_port", MetricsPort},
      {"seeds", nlohmann::json::array()},
      {"routing_within_ms", 3000},
      {"stop_within_ms", 6000},
      {"flow_limit_ms", FlowLimitMs}};
  for (std::size_t Seed = 0; Seed < std::min<std::size_t>(3, Count_); ++Seed)
    Settings["seeds"].push_back(advertised(Seed));
  std::ofstream Out(Folder_ + "/lb-" + std::to_string(Index_) + ".json");
  Out << (Good ? Settings.dump() : "{\"name\": 3");
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
  // A child that held one of our listening sockets would keep it open.
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

bool BalancerChild::ended(int &Status) {
  if (!running() || waitpid(Pid_, &Status, WNOHANG) != Pid_)
    return false;
  Pid_ = 0;
  return true;
}

bool BalancerChild::logHolds(const std::string &Text) const {
  std::ifstream Log(Folder_ + "/lb-" + std::to_string(Index_) + ".log");
  std::string Line;
  while (std::getline(Log, Line))
    if (Line.find(Text) != std::string::npos)
      return true;
  return false;
}

struct Forwarder::Pair {
  explicit Pair(asio::io_context &Context)
      : Near_(Context), Far_(Context), Timers_{asio::steady_timer(Context),
                                               asio::steady_timer(Context)} {}
  asio::ip::tcp::socket Near_; ///< The peer that connected.
  asio::ip::tcp::socket Far_;  ///< The balancer.
  asio::steady_timer Timers_[2];
  std::array<char, 4096> Buffers_[2]{};

  void close() {
    asio::error_code Ignored;
    Near_.close(Ignored);
    Far_.close(Ignored);
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
  auto P = std::make_shared<Pair>(Context_);
  Acceptor_.async_accept(P->Near_, [this, P](const asio::error_code &Error) {
    accept();
    if (Error)
      return;
    Pairs_.remove_if([](const auto &Old) { return Old.expired(); });
    Pairs_.push_back(P);
    P->Far_.async_connect(Target_, [this, P](const asio::error_code &Failed) {
      if (Failed)
        return P->close();
      pump(P, true);
      pump(P, false);
    });
  });
}

void Forwarder::pump(const std::shared_ptr<Pair> &P, bool Towards) {
  if (Towards ? HoldTowards_ : HoldFrom_) {
    P->Timers_[Towards].expires_after(HeldLook);
    return P->Timers_[Towards].async_wait(
        [this, P, Towards](const asio::error_code &Error) {
          if (!Error)
            pump(P, Towards);
        });
  }
  auto &From = Towards ? P->Near_ : P->Far_;
  From.async_read_some(
      asio::buffer(P->Buffers_[Towards]),
      [this, P, Towards](const asio::error_code &Error, std::size_t Size) {
        if (Error)
          return P->close();
        auto &To = Towards ? P->Far_ : P->Near_;
        asio::async_write(
            To, asio::buffer(P->Buffers_[Towards].data(), Size),
            [this, P, Towards](const asio::error_code &Failed, std::size_t) {
              if (Failed)
                P->close();
              else
                pump(P, Towards);
            });
      });
}

void Forwarder::resetAll() {
  for (const auto &Weak : Pairs_)
    if (auto P = Weak.lock()) {
      asio::error_code Ignored;
      P->Near_.set_option(asio::socket_base::linger(true, 0), Ignored);
      P->close();
    }
}

} // namespace thymewall::soak

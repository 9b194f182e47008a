// Stand-in for the network fabric: sends each datagram of a caller to a random
// balancer, and may drop, duplicate or delay it. Each caller has a socket of
// its own towards the balancers, which therefore see one address per caller.
#include "standin-options.h"
#include "udp-socket.h"

#include <asio/steady_timer.hpp>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>
#include <random>

using namespace thymewall;
using namespace thymewall::detail;

namespace {

constexpr auto HostListPollInterval = std::chrono::milliseconds(200);

struct Faults {
  double LossRate_ = 0;
  double DuplicateRate_ = 0;
  double DelayedShare_ =
      0; ///< Share of delayed and thereby reordered datagrams.
  std::chrono::milliseconds DelayTime_{20};
};

class Fabric {
public:
  Fabric(asio::io_context &Context, std::string HostListPath, Endpoint Listen,
         const std::vector<std::uint16_t> &Ports, Faults F, unsigned Seed)
      : Context_(Context), HostListPath_(std::move(HostListPath)), Faults_(F),
        Random_(Seed), Timer_(Context) {
    pollHostList();
    for (std::uint16_t Port : Ports) {
      Endpoint Local = Listen;
      Local.Port_ = Port;
      ServiceSockets_[Port] = std::make_unique<UdpSocket>(
          Context, Local,
          [this, Port](const Endpoint &From, const std::uint8_t *Data,
                       std::size_t Size) {
            forwardPacket(Port, From, Data, Size);
          });
    }
  }

private:
  double randomFraction() {
    return std::generate_canonical<double, 32>(Random_);
  }

  /// Reads the live balancers from the host list file periodically.
  void pollHostList() {
    std::optional<std::string> Text = readFile(HostListPath_);
    auto Root = nlohmann::json::parse(Text.value_or(""), nullptr, false);
    if (Root.is_object()) {
      Balancers_.clear();
      for (const auto &H : Root["hosts"])
        if (H["role"] == "balancer" && H["state"] == "live")
          Balancers_.push_back(parseEndpoint(H["data"].get<std::string>()));
    }
    Timer_.expires_after(HostListPollInterval);
    Timer_.async_wait([this](const asio::error_code &) { pollHostList(); });
  }

  /// Returns the caller's socket towards the balancers; creates it if needed.
  UdpSocket &callerSocket(std::uint16_t Port, const Endpoint &Caller) {
    auto &Socket = CallerSockets_[{Port, Caller}];
    if (!Socket) {
      Endpoint Local = Caller;
      Local.Port_ = 0;
      Socket = std::make_unique<UdpSocket>(
          Context_, Local,
          [this, Port, Caller](const Endpoint &, const std::uint8_t *Data,
                               std::size_t Size) {
            if (randomFraction() >= Faults_.LossRate_)
              ServiceSockets_[Port]->send(Caller, Data, Size);
          });
    }
    return *Socket;
  }

  void forwardPacket(std::uint16_t Port, const Endpoint &Caller,
                     const std::uint8_t *Data, std::size_t Size) {
    if (randomFraction() >= Faults_.LossRate_)
      sendToRandomBalancer(Port, Caller, Data, Size);
    if (randomFraction() < Faults_.DuplicateRate_)
      sendToRandomBalancer(Port, Caller, Data, Size);
  }

  void sendToRandomBalancer(std::uint16_t Port, const Endpoint &Caller,
                            const std::uint8_t *Data, std::size_t Size) {
    if (Balancers_.empty())
      return;
    Endpoint To = Balancers_[Random_() % Balancers_.size()];
    To.Port_ = Port;
    UdpSocket &From = callerSocket(Port, Caller);
    if (randomFraction() >= Faults_.DelayedShare_)
      return From.send(To, Data, Size);
    auto Timer = std::make_shared<asio::steady_timer>(Context_);
    std::vector<std::uint8_t> Copy(Data, Data + Size);
    Timer->expires_after(Faults_.DelayTime_);
    Timer->async_wait([&From, To, Copy, Timer](const asio::error_code &) {
      From.send(To, Copy.data(), Copy.size());
    });
  }

  asio::io_context &Context_;
  std::string HostListPath_;
  Faults Faults_;
  std::mt19937 Random_;
  asio::steady_timer Timer_;
  std::vector<Endpoint> Balancers_;
  std::map<std::uint16_t, std::unique_ptr<UdpSocket>> ServiceSockets_;
  std::map<std::pair<std::uint16_t, Endpoint>, std::unique_ptr<UdpSocket>>
      CallerSockets_;
};

int run(int Count, char **Values) {
  cxxopts::Options Options("standin-fabric",
                           "Forwards datagrams to random balancers.");
  Options.add_options()("hosts", "path of the host list",
                        cxxopts::value<std::string>())(
      "listen", "IP:PORT to listen on; the port is ignored",
      cxxopts::value<std::string>())(
      "ports", "service ports to listen on",
      cxxopts::value<std::vector<std::uint16_t>>())(
      "loss", "share of dropped datagrams, in each direction",
      cxxopts::value<double>()->default_value("0"))(
      "repeat", "share of duplicated datagrams",
      cxxopts::value<double>()->default_value("0"))(
      "delay", "share of datagrams delayed by 20 ms",
      cxxopts::value<double>()->default_value("0"))(
      "seed", "seed of the random choices",
      cxxopts::value<unsigned>()->default_value("1"));
  auto Arguments = parseStandinOptions(Options, Count, Values);
  Faults F;
  F.LossRate_ = Arguments["loss"].as<double>();
  F.DuplicateRate_ = Arguments["repeat"].as<double>();
  F.DelayedShare_ = Arguments["delay"].as<double>();
  asio::io_context Context(1);
  Fabric Network(Context, Arguments["hosts"].as<std::string>(),
                 parseEndpoint(Arguments["listen"].as<std::string>()),
                 Arguments["ports"].as<std::vector<std::uint16_t>>(), F,
                 Arguments["seed"].as<unsigned>());
  Context.run();
  return ExitSuccess;
}

} // namespace

int main(int Count, char **Values) {
  return runProgram([&] { return run(Count, Values); });
}

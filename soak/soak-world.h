/// \file
/// What surrounds the balancers in a soak, all in one process on loopback: the
/// configuration service, the fabric, upstreams and callers. It checks the
/// promises from what callers and upstreams see.
#ifndef THYMEWALL_SOAK_WORLD_H
#define THYMEWALL_SOAK_WORLD_H

#include "http-client.h"
#include "http-server.h"
#include "packet-codec.h"
#include "udp-socket.h"

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <map>
#include <optional>
#include <random>
#include <set>

namespace thymewall::soak {

using SteadyTime = std::chrono::steady_clock::time_point;
using namespace std::chrono_literals;

inline SteadyTime now() { return std::chrono::steady_clock::now(); }

/// After the end of a fault this long, its victim must keep every bound.
constexpr auto InTouchAfter = 4s;
/// A leaving upstream, or a dropped address, gets nothing new after this.
constexpr auto InForceWithin = 3s;

/// Ports that all parties use on their own loopback addresses.
enum Port : std::uint16_t {
  PacketPort = 17440,
  ReadinessPort,
  ControlPort,
  MetricsPort,
  UpstreamPort,
  ServicePort
};

/// Something that faults strike; undisturbed once the last one is long over.
struct Disturbed {
  SteadyTime Until_{};
  void during(std::chrono::milliseconds Span) {
    Until_ = std::max(Until_, now() + Span);
  }
  bool inTouch() const { return now() > Until_ + InTouchAfter; }
};

/// Faults of the configuration service towards one balancer.
struct ServiceFault {
  bool Refuses_ = false;
  bool Silent_ = false;
  bool Slow_ = false;
};

/// The configuration service: one address a balancer, so that faults can strike
/// one alone.
class ConfigurationService {
public:
  ConfigurationService(asio::io_context &Context, std::size_t Balancers);

  void put(const std::string &Key, const std::string &Json);
  void remove(const std::string &Key);
  void forgetHistory() { KnownAfter_ = Revision_; }
  ServiceFault &fault(std::size_t Balancer) { return Faults_[Balancer]; }
  static Endpoint at(std::size_t Balancer);

private:
  struct Item {
    std::string Json_; ///< Empty when it is gone.
    Revision At_ = 0;
  };
  struct Waiting {
    std::size_t Balancer_;
    Revision After_;
    SteadyTime Until_;
    detail::HttpServer::Reply Answer_;
  };
  void serve(std::size_t Balancer, const std::string &Target,
             const detail::HttpServer::Reply &Answer);
  std::string events(Revision After) const;
  std::string items() const;
  void look();

  asio::steady_timer Timer_;
  std::vector<ServiceFault> Faults_;
  std::vector<std::unique_ptr<detail::HttpServer>> Servers_;
  std::map<std::string, Item> Items_;
  std::vector<Waiting> Waiting_;
  Revision Revision_ = 1;
  Revision KnownAfter_ = 0;
};

/// One start of an upstream.
struct SoakUpstream {
  std::uint64_t Id_ = 0;
  std::string Service_;
  std::size_t Place_ = 0; ///< Its address.
  std::set<std::uint16_t> Flows_;
  std::optional<SteadyTime> LeavingSince_;
  Disturbed Disturbed_;
  bool Alive_ = true;
};

/// A caller's flow.
struct SoakFlow {
  std::size_t Address_ = 0; ///< Which of the service addresses.
  Cookie Cookie_ = 0;
  std::uint32_t Sequence_ = 1;
  std::uint32_t Acknowledged_ = 0;
  int RequestsLeft_ = 0;
  int Copies_ = 0;
  int WrongUpstream_ = 0;
  bool Open_ = false;
  bool Waiting_ = false; ///< For an answer.
  SteadyTime Started_{}; ///< Of the opening or the request.
  SteadyTime SendAt_{};  ///< When the next packet, or copy, is due.
  std::chrono::milliseconds Pause_{200};
};

/// One address that callers use.
struct SoakAddress {
  std::string Service_;
  std::optional<SteadyTime> RemovedSince_;
  SteadyTime ChangedAt_{};
  std::string Before_{}; ///< The service that it led to before `ChangedAt_`.
};

struct SoakCounts {
  std::uint64_t Requests_ = 0;
  std::uint64_t Answered_ = 0;
  std::uint64_t Late_ = 0; ///< Answered after over a second.
  std::uint64_t Failed_ = 0;
  std::uint64_t Resets_ = 0; ///< By balancers.
};

class World {
public:
  World(asio::io_context &Context, std::size_t Balancers, std::uint32_t Seed);

  ConfigurationService &service() { return Service_; }
  Disturbed &balancer(std::size_t Which) { return Balancers_[Which]; }
  Disturbed &core() { return Core_; }
  double &loss(std::size_t Which) { return Loss_[Which]; }
  /// Lets callers begin, or stop opening flows.
  void setTraffic(bool On) { Traffic_ = On; }
  void upstreamDies(std::mt19937 &Random);
  void upstreamDrains(std::mt19937 &Random);
  void changeRouting();
  void moveAddress();
  bool ready(std::size_t Which) const { return In_[Which]; }
  const SoakCounts &counts() const { return Counts_; }
  /// Promises that were seen broken.
  const std::vector<std::string> &broken() const { return Broken_; }

  static std::string hostOf(std::size_t Balancer);

private:
  void addUpstream(const std::string &Service, std::size_t Place);
  void endUpstream(std::uint64_t Id);
  void publish(const SoakUpstream &U);
  void publishRouting();
  SoakUpstream *upstream(std::uint64_t Id);
  SoakUpstream *pick(std::mt19937 &Random);
  void onUpstream(std::size_t Place, const Endpoint &From,
                  const std::uint8_t *Data, std::size_t Size);
  void onOpening(SoakUpstream &U, const Packet &P, std::size_t Balancer);
  void onCaller(const std::uint8_t *Data, std::size_t Size);
  void callers();
  void stepFlow(std::uint16_t Caller, SoakFlow &F);
  void startFlow();
  void send(std::uint16_t Caller, const SoakFlow &F, std::uint8_t Flags,
            std::uint32_t Ack, std::uint16_t Data);
  void answer(const Packet &P, const SoakUpstream &U, std::uint8_t Flags,
              std::uint16_t Data);
  void probe(std::size_t Balancer);
  std::size_t route(std::uint16_t Caller) const;
  void breaks(const std::string &What);
  void after(std::chrono::milliseconds Delay, std::function<void()> Do);

  asio::io_context &Context_;
  std::mt19937 Random_;
  ConfigurationService Service_;
  std::vector<Disturbed> Balancers_;
  Disturbed Core_;
  std::vector<double> Loss_;
  std::vector<char> In_;
  std::vector<int> Misses_;
  std::vector<std::unique_ptr<detail::HttpClient>> Probes_;
  detail::UdpSocket Callers_;
  std::vector<std::unique_ptr<detail::UdpSocket>> Places_;
  std::vector<std::unique_ptr<asio::ip::tcp::acceptor>> Doors_;
  std::map<std::uint64_t, SoakUpstream> Upstreams_;
  std::vector<SoakAddress> Addresses_;
  std::map<std::uint16_t, SoakFlow> Flows_;
  SoakCounts Counts_;
  std::vector<std::string> Broken_;
  asio::steady_timer Timer_;
  Version Version_ = 1;
  std::uint64_t LastId_ = 0x1000;
  std::uint16_t LastCaller_ = 1024;
  bool Traffic_ = false;
};

} // namespace thymewall::soak

#endif

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
constexpr auto FaultRecoveryTime = 4s;
/// A leaving upstream, or a dropped address, gets nothing new after this.
constexpr auto RoutingChangeDeadline = 3s;

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
struct FaultWindow {
  SteadyTime End_{};
  void extend(std::chrono::milliseconds Duration) {
    End_ = std::max(End_, now() + Duration);
  }
  bool recovered() const { return now() > End_ + FaultRecoveryTime; }
};

/// Faults of the configuration service towards one balancer.
struct ConfigurationFault {
  bool Unavailable_ = false;
  bool Unresponsive_ = false;
  bool Slow_ = false;
};

/// The configuration service: one address a balancer, so that faults can strike
/// one alone.
class ConfigurationService {
public:
  ConfigurationService(asio::io_context &Context, std::size_t Balancers);

  void put(const std::string &Key, const std::string &Json);
  void remove(const std::string &Key);
  void compactHistory() { CompactedRevision_ = Revision_; }
  ConfigurationFault &fault(std::size_t Balancer) { return Faults_[Balancer]; }
  static Endpoint endpointFor(std::size_t Balancer);

private:
  struct Item {
    std::string Json_; ///< Empty when it is gone.
    Revision ModRevision_ = 0;
  };
  struct PendingRequest {
    std::size_t Balancer_;
    Revision AfterRevision_;
    SteadyTime Deadline_;
    detail::HttpServer::Reply SendReply_;
  };
  void handleRequest(std::size_t Balancer, const std::string &Target,
                     const detail::HttpServer::Reply &SendReply);
  std::string eventsJson(Revision After) const;
  std::string itemsJson() const;
  void completeRequests();

  asio::steady_timer Timer_;
  std::vector<ConfigurationFault> Faults_;
  std::vector<std::unique_ptr<detail::HttpServer>> Servers_;
  std::map<std::string, Item> Items_;
  std::vector<PendingRequest> PendingRequests_;
  Revision Revision_ = 1;
  Revision CompactedRevision_ = 0;
};

/// One start of an upstream.
struct SoakUpstream {
  std::uint64_t Id_ = 0;
  std::string Service_;
  std::size_t HostIndex_ = 0; ///< Its address.
  std::set<std::uint16_t> Flows_;
  std::optional<SteadyTime> DrainingSince_;
  FaultWindow Faults_;
  bool Alive_ = true;
};

/// A caller's flow.
struct SoakFlow {
  std::size_t AddressIndex_ = 0; ///< Which of the service addresses.
  Cookie Cookie_ = 0;
  std::uint32_t Sequence_ = 1;
  std::uint32_t Acknowledged_ = 0;
  int RequestsLeft_ = 0;
  int OpenPacketsSent_ = 0;
  int MisroutedPackets_ = 0;
  bool Open_ = false;
  bool AwaitingAnswer_ = false; ///< For an answer.
  SteadyTime StartedAt_{};      ///< Of the opening or the request.
  SteadyTime NextSendAt_{};     ///< When the next packet, or copy, is due.
  std::chrono::milliseconds RetryDelay_{200};
};

/// One address that callers use.
struct SoakAddress {
  std::string Service_;
  std::optional<SteadyTime> RemovedAt_;
  SteadyTime ChangedAt_{};
  std::string
      PreviousService_{}; ///< The service that it led to before `ChangedAt_`.
};

struct SoakCounts {
  std::uint64_t Requests_ = 0;
  std::uint64_t Answered_ = 0;
  std::uint64_t Late_ = 0; ///< Answered after over a second.
  std::uint64_t Failed_ = 0;
  std::uint64_t Resets_ = 0; ///< By balancers.
};

class Environment {
public:
  Environment(asio::io_context &Context, std::size_t Balancers,
              std::uint32_t Seed);

  ConfigurationService &configuration() { return Configuration_; }
  FaultWindow &balancerFaults(std::size_t Index) {
    return BalancerFaults_[Index];
  }
  FaultWindow &configurationFaults() { return ConfigurationFaults_; }
  double &lossRate(std::size_t Index) { return LossRates_[Index]; }
  /// Lets callers begin, or stop opening flows.
  void setTraffic(bool On) { Traffic_ = On; }
  void killUpstream(std::mt19937 &Random);
  void drainUpstream(std::mt19937 &Random);
  void toggleRoute();
  void reassignAddress();
  bool inRotation(std::size_t Index) const { return InRotation_[Index]; }
  const SoakCounts &counts() const { return Counts_; }
  /// Promises that were seen broken.
  const std::vector<std::string> &violations() const { return Violations_; }

  static std::string balancerHost(std::size_t Balancer);

private:
  void addUpstream(const std::string &Service, std::size_t HostIndex);
  void stopUpstream(std::uint64_t Id);
  void publishUpstream(const SoakUpstream &U);
  void publishRouting();
  SoakUpstream *findUpstream(std::uint64_t Id);
  SoakUpstream *pickUpstream(std::mt19937 &Random);
  void onUpstreamPacket(std::size_t HostIndex, const Endpoint &From,
                        const std::uint8_t *Data, std::size_t Size);
  void onOpen(SoakUpstream &U, const Packet &P, std::size_t Balancer);
  void onCallerPacket(const std::uint8_t *Data, std::size_t Size);
  void stepFlows();
  void stepFlow(std::uint16_t CallerPort, SoakFlow &F);
  void startFlow();
  void sendToBalancer(std::uint16_t CallerPort, const SoakFlow &F,
                      std::uint8_t Flags, std::uint32_t Acknowledged,
                      std::uint16_t Data);
  void sendToCaller(const Packet &P, const SoakUpstream &U, std::uint8_t Flags,
                    std::uint16_t Data);
  void probeReadiness(std::size_t Balancer);
  std::size_t selectBalancer(std::uint16_t CallerPort) const;
  void reportViolation(const std::string &What);
  void runAfter(std::chrono::milliseconds Delay,
                std::function<void()> Callback);

  asio::io_context &Context_;
  std::mt19937 Random_;
  ConfigurationService Configuration_;
  std::vector<FaultWindow> BalancerFaults_;
  FaultWindow ConfigurationFaults_;
  std::vector<double> LossRates_;
  std::vector<char> InRotation_;
  std::vector<int> ProbeFailures_;
  std::vector<std::unique_ptr<detail::HttpClient>> ReadinessClients_;
  detail::UdpSocket CallerSocket_;
  std::vector<std::unique_ptr<detail::UdpSocket>> UpstreamSockets_;
  std::vector<std::unique_ptr<asio::ip::tcp::acceptor>> UpstreamListeners_;
  std::map<std::uint64_t, SoakUpstream> Upstreams_;
  std::vector<SoakAddress> Addresses_;
  std::map<std::uint16_t, SoakFlow> Flows_;
  SoakCounts Counts_;
  std::vector<std::string> Violations_;
  asio::steady_timer Timer_;
  Version ConfigVersion_ = 1;
  std::uint64_t LastId_ = 0x1000;
  std::uint16_t LastCallerPort_ = 1024;
  bool Traffic_ = false;
};

} // namespace thymewall::soak

#endif

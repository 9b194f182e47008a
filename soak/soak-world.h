/// \file
/// Simulated environment of the balancers in a soak test: the configuration
/// service, the network fabric, upstreams and callers, all in one process on
/// loopback. Checks the balancers' guarantees from the packets that callers and
/// upstreams receive.
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

/// Time after the end of a fault until the affected party must meet every
/// deadline again.
constexpr auto FaultRecoveryTime = 4s;
/// Time until a draining upstream, or a removed or reassigned address, must
/// receive no new flows by its earlier state.
constexpr auto RoutingChangeDeadline = 3s;

/// Ports that every party listens on, each at its own loopback address.
enum Port : std::uint16_t {
  PacketPort = 17440,
  ReadinessPort,
  ControlPort,
  MetricsPort,
  UpstreamPort,
  ServicePort
};

/// Time window in which a component may be affected by injected faults.
struct FaultWindow {
  SteadyTime End_{};
  void extend(std::chrono::milliseconds Duration) {
    End_ = std::max(End_, now() + Duration);
  }
  bool recovered() const { return now() > End_ + FaultRecoveryTime; }
};

/// Faults that the configuration service shows to one balancer.
struct ConfigurationFault {
  bool Unavailable_ = false;  ///< Responds with status 503.
  bool Unresponsive_ = false; ///< Keeps connections open without a response.
  bool Slow_ = false;         ///< Delays each response.
};

/// Configuration service with a separate address for each balancer, so that
/// faults can be injected for one balancer alone.
class ConfigurationService {
public:
  ConfigurationService(asio::io_context &Context, std::size_t Balancers);

  void put(const std::string &Key, const std::string &Json);
  void remove(const std::string &Key);
  /// Drops past events: a watch from an earlier revision gets status 410.
  void compactHistory() { CompactedRevision_ = Revision_; }
  ConfigurationFault &fault(std::size_t Balancer) { return Faults_[Balancer]; }
  static Endpoint endpointFor(std::size_t Balancer);

private:
  struct Item {
    std::string Json_; ///< Empty for a removed item.
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
  /// Returns the items that changed after revision \p After.
  std::string eventsJson(Revision After) const;
  /// Returns all items that exist.
  std::string itemsJson() const;
  /// Responds to the pending requests that are due.
  void completeRequests();

  asio::steady_timer Timer_;
  std::vector<ConfigurationFault> Faults_;
  std::vector<std::unique_ptr<detail::HttpServer>> Servers_;
  std::map<std::string, Item> Items_;
  std::vector<PendingRequest> PendingRequests_;
  Revision Revision_ = 1;
  Revision CompactedRevision_ = 0;
};

/// Instance of an upstream, from its start to its end.
struct SoakUpstream {
  std::uint64_t Id_ = 0;
  std::string Service_;
  std::size_t HostIndex_ = 0; ///< Index of its address.
  std::set<std::uint16_t> Flows_;
  std::optional<SteadyTime> DrainingSince_;
  FaultWindow Faults_;
  bool Alive_ = true;
};

/// Flow of a caller.
struct SoakFlow {
  std::size_t AddressIndex_ = 0; ///< Index of the service address.
  Cookie Cookie_ = 0;
  std::uint32_t Sequence_ = 1;
  std::uint32_t Acknowledged_ = 0;
  int RequestsLeft_ = 0;
  int OpenPacketsSent_ = 0;
  int MisroutedPackets_ = 0;
  bool Open_ = false;
  bool AwaitingAnswer_ = false;
  SteadyTime StartedAt_{};  ///< Start of the open or of the current request.
  SteadyTime NextSendAt_{}; ///< Time of the next packet or retransmission.
  std::chrono::milliseconds RetryDelay_{200};
};

/// Service address that callers send to.
struct SoakAddress {
  std::string Service_;
  std::optional<SteadyTime> RemovedAt_;
  SteadyTime ChangedAt_{};
  std::string PreviousService_{}; ///< Service before `ChangedAt_`.
};

struct SoakCounts {
  std::uint64_t Requests_ = 0;
  std::uint64_t Answered_ = 0;
  std::uint64_t Late_ = 0; ///< Answered after more than 1 s.
  std::uint64_t Failed_ = 0;
  std::uint64_t Resets_ = 0; ///< Flows that balancers reset.
};

/// Runs the configuration service, upstreams and callers, and records
/// violations of the balancers' guarantees.
class Environment {
public:
  Environment(asio::io_context &Context, std::size_t Balancers,
              std::uint32_t Seed);

  ConfigurationService &configuration() { return Configuration_; }
  FaultWindow &balancerFaults(std::size_t Index) {
    return BalancerFaults_[Index];
  }
  FaultWindow &configurationFaults() { return ConfigurationFaults_; }
  /// Share of the packets to a balancer that are dropped.
  double &lossRate(std::size_t Index) { return LossRates_[Index]; }
  /// Sets whether callers open new flows.
  void setTraffic(bool On) { Traffic_ = On; }
  /// Stops an upstream without notice and starts another one at its address.
  void killUpstream(std::mt19937 &Random);
  /// Drains an upstream, stops it and starts another one at its address.
  void drainUpstream(std::mt19937 &Random);
  /// Removes the route of the third address, or restores it.
  void toggleRoute();
  /// Routes the first address to the other service.
  void reassignAddress();
  /// Returns whether the readiness probes keep a balancer in rotation.
  bool inRotation(std::size_t Index) const { return InRotation_[Index]; }
  const SoakCounts &counts() const { return Counts_; }
  /// Descriptions of the violated guarantees.
  const std::vector<std::string> &violations() const { return Violations_; }

  static std::string balancerHost(std::size_t Balancer);

private:
  void addUpstream(const std::string &Service, std::size_t HostIndex);
  void stopUpstream(std::uint64_t Id);
  void publishUpstream(const SoakUpstream &U);
  void publishRouting();
  SoakUpstream *findUpstream(std::uint64_t Id);
  /// Returns a running upstream of a service that has others, or null.
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
  /// Selects a balancer by rendezvous hashing over those in rotation.
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

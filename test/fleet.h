/// \file
/// A simulation of several balancers under virtual time, with fake callers,
/// upstreams and platform, and a network that loses, duplicates and delays
/// datagrams.
#ifndef THYMEWALL_TEST_FLEET_H
#define THYMEWALL_TEST_FLEET_H

#include "app-payload.h"
#include "thymewall/balancer.h"

#include <map>
#include <queue>
#include <random>
#include <set>

namespace thymewall::test {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// The type of an injected fault.
enum class FaultKind {
  KillBalancer,
  RestartBalancer,
  StopBalancer, ///< Planned.
  JoinBalancer,
  SuspendBalancer,
  PartitionOneWay,
  PartitionBothWays,
  ClockStep,
  PlatformDown,
  PlatformStale,
  Relabel, ///< Planned: half of the upstreams change service.
  Drain,   ///< Planned: one upstream is deselected.
  UpstreamRestart,
  UpstreamReplaced, ///< Its address now serves the other service.
  UpstreamRefuses,
  UpstreamSlow,
  Count
};

struct Fault {
  FaultKind Kind_ = FaultKind::KillBalancer;
  Micros At_{};            ///< Since the start of the run.
  unsigned Parameter_ = 0; ///< Selects the target and the extent.
};

struct FleetOptions {
  std::uint64_t Seed_ = 1;
  std::size_t Balancers_ = 4;
  std::size_t Upstreams_ = 6;
  std::size_t Flows_ = 40;
  Micros Duration_ = seconds(10);
  double AtMostOnceShare_ = 0.5;
  double LossRate_ = 0;
  double DuplicateRate_ = 0;
  double DelayedShare_ = 0; ///< Share of datagrams delayed up to 100 ms.
  bool UpstreamsRemember_ = false;
  bool ForgeRoutes_ = false; ///< Callers also send other flows' routes.
  Micros MaxPause_ = milliseconds(300); ///< Between a flow's requests.
};

/// Counts made by the fake callers and upstreams.
struct FleetResults {
  std::uint64_t Events_ = 0; ///< Handled by cores.
  std::uint64_t Requests_ = 0;
  std::uint64_t Answered_ = 0;
  std::uint64_t NotRun_ = 0;
  std::uint64_t OutcomeUnknown_ = 0;
  std::uint64_t NoFinalAnswer_ = 0;
  std::uint64_t BrokenFlows_ = 0;
  std::uint64_t Opened_ = 0;
  std::uint64_t RanTwice_ = 0;
  std::uint64_t FalseNotRun_ = 0;
  std::uint64_t AnsweredWithoutRun_ = 0;
  std::uint64_t WrongService_ = 0;
  std::uint64_t MixedAnswers_ = 0;
  std::uint64_t VersionRollbacks_ = 0;
  std::uint64_t LateOpens_ = 0; ///< Opens 3 s after an upstream was deselected.
  std::uint64_t Adopted_ = 0;
  std::uint64_t Rehomed_ = 0;
  std::map<std::string, std::uint64_t>
      OutcomeUnknownReasons_; ///< Counts by reason.
  bool Converged_ = false;    ///< All cores have the newest declaration.
};

class Fleet {
public:
  Fleet(const FleetOptions &Options, const std::vector<Fault> &Faults);
  FleetResults run();

private:
  using Time = Micros; ///< Since the start of the run.
  using Datagram = std::vector<std::uint8_t>;
  using Task = std::function<void()>;
  struct TimedTask {
    Time At_{};
    std::uint64_t Sequence_ = 0;
    Task Task_;
    bool operator<(const TimedTask &B) const {
      return std::tie(At_, Sequence_) > std::tie(B.At_, B.Sequence_);
    }
  };
  struct Node {
    std::optional<Balancer> Core_;
    Endpoint Data_;
    Incarnation Incarnation_{};
    Micros ClockOffset_{};
    Time SuspendedUntil_{};
    bool Leaving_ = false;
    DeclarationPtr AppliedDeclaration_;
    std::vector<Task> Inbox_; ///< Deliveries while suspended.
  };
  struct FakeUpstream {
    Endpoint At_;
    UpstreamId Id_{};
    Incarnation Incarnation_{};
    std::map<std::uint64_t, ServiceId> Flows_;
    std::map<std::uint64_t, std::uint64_t>
        RunByEpoch_;                       ///< Run of each request.
    std::optional<ServiceId> OnlyService_; ///< If set, the only service.
    Time RefusesUntil_{};
    Time SlowUntil_{};
    std::map<ServiceId, Time> DrainedAt_;
  };
  struct FakeCaller {
    FlowId Flow_{};
    ServiceId Service_{};
    Endpoint At_;
    SignedRoute Route_;
    bool Open_ = false;
    bool RequestPending_ = false;
    std::uint32_t RequestNumber_ = 0;
    std::uint64_t PayloadId_ = 0;
    bool AtMostOnce_ = false;
    SignedRoute SentRoute_;
    Time Deadline_{};
    /// Run number of each part by attempt; attempts may arrive interleaved.
    std::map<std::uint64_t, std::map<std::uint16_t, std::uint64_t>> Parts_;
    std::uint64_t TimerGeneration_ = 0; ///< Invalidates earlier timers.
  };

  /// Wall and monotonic time at the start.
  static constexpr Micros StartTime = seconds(1'000'000);

  static Datagram serialize(const Message &M);
  void schedule(Time When, Task Do);
  double randomFraction() {
    return std::generate_canonical<double, 32>(Random_);
  }
  Moment moment(const Node &N) const;
  void startNode(std::size_t I);
  void handleEvent(std::size_t I, const Event &What);
  void perform(std::size_t I, const Action &A);
  void tick(std::size_t I, Incarnation Expected);
  void refresh(std::size_t I, std::uint64_t RefreshId);
  void heartbeat();
  void inject(const Fault &F);
  void publish(const std::function<void(std::size_t, std::string &)> &Label);
  bool isPartitioned(std::size_t From, std::size_t To) const;
  Time arrivalTime();
  void sendToNode(std::size_t I, const Task &Deliver);
  std::size_t randomNode();

  void upstreamReceives(std::size_t H, const Endpoint &From,
                        const Datagram &Bytes);
  void upstreamSends(std::size_t H, const Endpoint &To, Message M);
  void runRequest(std::size_t H, const Endpoint &From, const Message &M);

  void openFlow(std::size_t C);
  void nextRequest(std::size_t C);
  void resend(std::size_t C, std::uint64_t Generation);
  void ping(std::size_t C, FlowId Expected);
  void send(std::size_t C, Message M);
  void callerReceives(std::size_t C, const Datagram &Bytes);
  void finishRequest(std::size_t C, std::uint64_t &Counter);
  void collectResults();

  FleetOptions Options_;
  std::mt19937_64 Random_;
  std::priority_queue<TimedTask> Queue_;
  std::uint64_t Sequence_ = 0;
  Time Now_{};
  std::vector<Node> Nodes_;
  std::vector<FakeUpstream> FakeUpstreams_;
  std::vector<FakeCaller> Callers_;
  std::map<std::uint64_t, std::size_t> CallerByFlow_;
  std::vector<std::string> Roles_; ///< Label of each upstream.
  std::vector<DeclarationPtr> Published_;
  std::set<std::pair<std::size_t, std::size_t>> Partitions_;
  Time PlatformDownUntil_{};
  Time PlatformStaleUntil_{};
  std::uint64_t NextIncarnation_ = 100;
  std::uint64_t LastRun_ = 0;
  std::map<std::uint64_t, int> RunCounts_;
  std::set<std::uint64_t> RunPayloads_;
  std::set<std::uint64_t> ReportedNotRun_;
  std::set<std::uint64_t> AnsweredAtMostOnce_;
  FleetResults Results_;
};

} // namespace thymewall::test

#endif

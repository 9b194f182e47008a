/// \file
/// Several cores with small fakes between them, under virtual time: callers,
/// upstreams, a platform, and a network that loses, repeats and delays.
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

/// What a run injects.
enum class FaultKind {
  KillBalancer,
  RestartBalancer,
  StopBalancer, ///< Planned.
  JoinBalancer,
  FreezeBalancer,
  CutOneWay,
  CutBothWays,
  ClockStep,
  PlatformDown,
  PlatformStale,
  Relabel, ///< Planned: half of the upstreams change service.
  Drain,   ///< Planned: one upstream is selected no more.
  UpstreamRestart,
  UpstreamReplaced, ///< Its address comes back as the other service's.
  UpstreamRefuses,
  UpstreamSlow,
  Count
};

struct Fault {
  FaultKind Kind_ = FaultKind::KillBalancer;
  Micros At_{}; ///< From the start of the run.
  unsigned Which_ = 0;
};

struct FleetOptions {
  std::uint64_t Seed_ = 1;
  std::size_t Balancers_ = 4;
  std::size_t Upstreams_ = 6;
  std::size_t Flows_ = 40;
  Micros Length_ = seconds(10);
  double OnceShare_ = 0.5;
  double Loss_ = 0;
  double Repeat_ = 0;
  double Delay_ = 0; ///< Share that takes up to 100 ms longer.
  bool Remember_ = false;
  bool Forge_ = false; ///< Callers also send routes of other flows.
  Micros PauseUpTo_ = milliseconds(300); ///< Between a flow's requests.
};

/// What callers and upstreams saw by themselves.
struct Seen {
  std::uint64_t Events_ = 0; ///< Handled by cores.
  std::uint64_t Requests_ = 0;
  std::uint64_t Answered_ = 0;
  std::uint64_t NotRun_ = 0;
  std::uint64_t OutcomeUnknown_ = 0;
  std::uint64_t NoFinalAnswer_ = 0;
  std::uint64_t BrokenFlows_ = 0;
  std::uint64_t Opened_ = 0;
  std::uint64_t Doubled_ = 0;
  std::uint64_t FalseNotRun_ = 0;
  std::uint64_t AnsweredUnrun_ = 0;
  std::uint64_t WrongService_ = 0;
  std::uint64_t MixedAnswers_ = 0;
  std::uint64_t VersionsBack_ = 0;
  std::uint64_t LateNewWork_ = 0; ///< Opens 3 s after an upstream left.
  std::uint64_t Adopted_ = 0;
  std::uint64_t Rehomed_ = 0;
  std::map<std::string, std::uint64_t> Reasons_; ///< Of unknown outcomes.
  bool AllInForce_ = false; ///< The newest version, at the end.
};

class Fleet {
public:
  Fleet(const FleetOptions &Options, const std::vector<Fault> &Faults);
  Seen run();

private:
  using Time = Micros; ///< Since the start of the run.
  using Wire = std::vector<std::uint8_t>;
  using Work = std::function<void()>;
  struct Timed {
    Time At_{};
    std::uint64_t Order_ = 0;
    Work Work_;
    bool operator<(const Timed &B) const {
      return std::tie(At_, Order_) > std::tie(B.At_, B.Order_);
    }
  };
  struct Node {
    std::optional<Balancer> Core_;
    Endpoint Data_;
    Incarnation Incarnation_{};
    Micros Skew_{};
    Time FrozenUntil_{};
    bool Leaving_ = false;
    DeclarationPtr InForce_;
    std::vector<Work> Inbox_; ///< While frozen.
  };
  struct Host {
    Endpoint At_;
    UpstreamId Id_{};
    Incarnation Incarnation_{};
    std::map<std::uint64_t, ServiceId> Flows_;
    std::map<std::uint64_t, std::uint64_t> Done_; ///< Epoch to run number.
    std::optional<ServiceId> Only_;               ///< Serves just this, if set.
    Time RefusesUntil_{};
    Time SlowUntil_{};
    std::map<ServiceId, Time> LeftAt_;
  };
  struct Caller {
    FlowId Flow_{};
    ServiceId Service_{};
    Endpoint At_;
    SignedRoute Route_;
    bool Open_ = false;
    bool Requesting_ = false;
    std::uint32_t Number_ = 0;
    std::uint64_t Uid_ = 0;
    bool Once_ = false;
    SignedRoute SentRoute_;
    Time Deadline_{};
    /// By attempt, each part's run number. Attempts may arrive interleaved.
    std::map<std::uint64_t, std::map<std::uint16_t, std::uint64_t>> Parts_;
    std::uint64_t Turn_ = 0; ///< Cancels timers of earlier steps.
  };

  /// Wall and monotonic time at the start of a run.
  static constexpr Micros Epoch = seconds(1'000'000);

  static Wire wireOf(const Message &M);
  void at(Time When, Work Do);
  double draw() { return std::generate_canonical<double, 32>(Random_); }
  Moment moment(const Node &N) const;
  void startNode(std::size_t I);
  void give(std::size_t I, const Event &What);
  void act(std::size_t I, const Action &A);
  void tick(std::size_t I, Incarnation Of);
  void reread(std::size_t I, std::uint64_t Asked);
  void heartbeat();
  void inject(const Fault &F);
  void publish(const std::function<void(std::size_t, std::string &)> &Label);
  bool cut(std::size_t From, std::size_t To) const;
  Time flight();
  void toNode(std::size_t I, const Work &Deliver);
  std::size_t anyNode();

  void hostReceives(std::size_t H, const Endpoint &From, const Wire &Bytes);
  void hostSends(std::size_t H, const Endpoint &To, Message M);
  void runRequest(std::size_t H, const Endpoint &From, const Message &M);

  void openFlow(std::size_t C);
  void nextRequest(std::size_t C);
  void resend(std::size_t C, std::uint64_t Turn);
  void ping(std::size_t C, FlowId Of);
  void send(std::size_t C, Message M);
  void callerReceives(std::size_t C, const Wire &Bytes);
  void finished(std::size_t C, std::uint64_t &Total);
  void settle();

  FleetOptions Options_;
  std::mt19937_64 Random_;
  std::priority_queue<Timed> Queue_;
  std::uint64_t Order_ = 0;
  Time Now_{};
  std::vector<Node> Nodes_;
  std::vector<Host> Hosts_;
  std::vector<Caller> Callers_;
  std::map<std::uint64_t, std::size_t> CallerOf_;
  std::vector<std::string> Roles_; ///< Label of each upstream.
  std::vector<DeclarationPtr> Published_;
  std::set<std::pair<std::size_t, std::size_t>> Cuts_;
  Time PlatformDownUntil_{};
  Time PlatformStaleUntil_{};
  std::uint64_t NextIncarnation_ = 100;
  std::uint64_t Runs_ = 0;
  std::map<std::uint64_t, int> RunsOf_;
  std::set<std::uint64_t> Ran_;
  std::set<std::uint64_t> NotRunTold_;
  std::set<std::uint64_t> AnsweredOnce_;
  Seen Seen_;
};

} // namespace thymewall::test

#endif

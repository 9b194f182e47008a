// thymewall-soak: runs balancer processes on one machine and injects faults.
#include "program.h"
#include "soak-process.h"
#include "soak-world.h"

#include <csignal>
#include <filesystem>
#include <iostream>
#include <sys/wait.h>

using namespace thymewall;
using namespace thymewall::soak;
using namespace thymewall::detail;

namespace {

using Millis = std::chrono::milliseconds;

/// Time without faults at the end of the test.
constexpr Millis QuietPeriod = 8000ms;
/// Last part of `QuietPeriod`, in which requests must be answered; the time
/// before it is for recovery.
constexpr Millis MeasuredPeriod = 3000ms;
constexpr double MinAnsweredShare = 0.98;

class Soak {
public:
  Soak(std::uint32_t Seed, std::size_t Balancers, const std::string &Program,
       const std::string &Folder)
      : Random_(Seed), Environment_(Context_, Balancers, Seed + 1),
        Timer_(Context_) {
    for (std::size_t I = 0; I < Balancers; ++I) {
      Forwarders_.push_back(std::make_unique<Forwarder>(
          Context_, "127.0.4." + std::to_string(10 + I),
          Environment::balancerHost(I), ControlPort));
      Children_.push_back(
          std::make_unique<BalancerChild>(Program, Folder, I, Balancers));
      Children_[I]->start();
      Environment_.balancerFaults(I).extend(1s);
    }
  }

  /// Runs the test and prints its results. Returns whether every check passed.
  bool run(Millis FaultTime, bool PlannedOnly) {
    PlannedOnly_ = PlannedOnly;
    schedule(2s, [this] { Environment_.setTraffic(true); });
    if (PlannedOnly)
      scheduleRollingRestarts(FaultTime);
    else
      for (Millis At = 4s; At < FaultTime; At += Millis(300 + Random_() % 1200))
        schedule(At, [this] { injectFault(); });
    schedule(FaultTime + QuietPeriod - MeasuredPeriod,
             [this] { CountsBefore_ = Environment_.counts(); });
    schedule(FaultTime + QuietPeriod, [this] { stopAll(); });
    schedule(FaultTime + QuietPeriod + 7s, [this] { Context_.stop(); });
    watchChildren();
    Context_.run();
    return report();
  }

private:
  void schedule(Millis Delay, std::function<void()> Callback) {
    auto Timer = std::make_shared<asio::steady_timer>(Context_, Delay);
    Timer->async_wait(
        [Timer, Callback = std::move(Callback)](const asio::error_code &E) {
          if (!E)
            Callback();
        });
  }

  /// Schedules a rolling restart of all balancers. An address is reassigned to
  /// the other service at the start and in the middle of each round.
  void scheduleRollingRestarts(Millis FaultTime) {
    std::size_t Next = 0;
    for (Millis At = 4s; At < FaultTime; At += Millis(700 + Random_() % 800)) {
      std::size_t I = Next++ % Children_.size();
      bool Reassigns = I == 0 || I == Children_.size() / 2;
      schedule(At, [this, I, Reassigns] {
        if (Reassigns)
          Environment_.reassignAddress();
        stop(I);
      });
    }
  }

  /// Injects a random fault; faults may overlap.
  void injectFault() {
    std::size_t I = Random_() % Children_.size();
    Millis Duration(300 + Random_() % 3500);
    switch (Random_() % 15) {
    case 0:
      return restart(I, Duration);
    case 1:
      return pause(I, Duration);
    case 2:
      return stop(I);
    case 3:
      return reload(I);
    case 4:
      return failConfiguration(I, Duration, [](ConfigurationFault &F, bool On) {
        F.Unavailable_ = On;
      });
    case 5:
      return failConfiguration(I, Duration, [](ConfigurationFault &F, bool On) {
        F.Unresponsive_ = On;
      });
    case 6:
      return failConfiguration(
          I, Duration, [](ConfigurationFault &F, bool On) { F.Slow_ = On; });
    case 7:
      return failAllConfiguration(Duration);
    case 8:
      return compactHistory();
    case 9:
      return pauseForwarder(I, Duration);
    case 10:
      return Forwarders_[I]->resetAll();
    case 11:
      return Environment_.killUpstream(Random_);
    case 12:
      return Environment_.drainUpstream(Random_);
    case 13:
      return Environment_.toggleRoute();
    case 14:
      return losePackets(I, Duration);
    }
  }

  void restart(std::size_t I, Millis Duration) {
    Environment_.balancerFaults(I).extend(Duration + 1s);
    Children_[I]->kill();
    schedule(Duration, [this, I] { restartExited(I); });
  }

  void restartExited(std::size_t I) {
    if (!Children_[I]->running() && !Stopping_)
      Children_[I]->start();
  }

  void pause(std::size_t I, Millis Duration) {
    Environment_.balancerFaults(I).extend(Duration + 500ms);
    Children_[I]->signal(SIGSTOP);
    schedule(Duration, [this, I] { Children_[I]->signal(SIGCONT); });
  }

  /// Stops a balancer by SIGTERM; `watchChildren()` restarts it.
  void stop(std::size_t I) {
    Environment_.balancerFaults(I).extend(8s);
    Children_[I]->signal(SIGTERM);
  }

  void reload(std::size_t I) {
    Children_[I]->writeSettings(Random_() % 3 != 0,
                                50'000 + static_cast<int>(Random_() % 9999));
    if (Random_() % 2 == 0)
      Children_[I]->signal(SIGHUP);
    schedule(3s, [this, I] { Children_[I]->writeSettings(true); });
  }

  void failConfiguration(
      std::size_t I, Millis Duration,
      const std::function<void(ConfigurationFault &, bool)> &SetFault) {
    Environment_.configurationFaults().extend(Duration);
    SetFault(Environment_.configuration().fault(I), true);
    schedule(Duration, [this, I, SetFault] {
      SetFault(Environment_.configuration().fault(I), false);
    });
  }

  void failAllConfiguration(Millis Duration) {
    bool Unresponsive = Random_() % 2 == 0;
    for (std::size_t I = 0; I < Children_.size(); ++I)
      failConfiguration(
          I, Duration, [Unresponsive](ConfigurationFault &F, bool On) {
            (Unresponsive ? F.Unresponsive_ : F.Unavailable_) = On;
          });
  }

  void compactHistory() {
    Environment_.configurationFaults().extend(1s);
    Environment_.configuration().compactHistory();
  }

  void pauseForwarder(std::size_t I, Millis Duration) {
    Environment_.balancerFaults(I).extend(Duration);
    unsigned Directions = 1 + Random_() % 3; // one way, the other, or both
    Forwarders_[I]->setPaused((Directions & 1) != 0, (Directions & 2) != 0);
    schedule(Duration, [this, I] { Forwarders_[I]->setPaused(false, false); });
  }

  void losePackets(std::size_t I, Millis Duration) {
    Environment_.balancerFaults(I).extend(Duration);
    Environment_.lossRate(I) = 0.1 + 0.1 * static_cast<double>(Random_() % 5);
    schedule(Duration, [this, I] { Environment_.lossRate(I) = 0; });
  }

  /// Restarts processes that have exited and records unexpected exit statuses.
  void watchChildren() {
    for (std::size_t I = 0; I < Children_.size(); ++I) {
      int Status = 0;
      if (!Children_[I]->hasExited(Status))
        continue;
      if (!WIFEXITED(Status) || WEXITSTATUS(Status) != 0)
        UnexpectedExits_.push_back("lb-" + std::to_string(I) +
                                   " exited with wait status " +
                                   std::to_string(Status));
      restartExited(I);
    }
    schedule(100ms, [this] { watchChildren(); });
  }

  void stopAll() {
    CountsAfter_ = Environment_.counts();
    for (std::size_t I = 0; I < Children_.size(); ++I)
      NotReady_ += Environment_.inRotation(I) ? 0 : 1;
    Stopping_ = true;
    for (auto &Child : Children_)
      Child->signal(SIGTERM);
  }

  /// Returns whether no balancer refused a message of a peer: balancers of the
  /// same version must accept each other's messages.
  bool peersAcceptedAllMessages() const {
    bool Clean = true;
    for (const auto &Child : Children_)
      if (Child->logContains("peer_message_refused")) {
        std::cout << "broken: a balancer refused a message of a peer\n";
        Clean = false;
      }
    return Clean;
  }

  bool report() const {
    const SoakCounts &Total = Environment_.counts();
    auto Sent =
        static_cast<double>(CountsAfter_.Requests_ - CountsBefore_.Requests_);
    auto Answered =
        static_cast<double>(CountsAfter_.Answered_ - CountsBefore_.Answered_);
    bool Recovered = Sent > 0 && Answered >= MinAnsweredShare * Sent;
    for (const std::string &What : Environment_.violations())
      std::cout << "broken: " << What << "\n";
    for (const std::string &What : UnexpectedExits_)
      std::cout << "broken: " << What << "\n";
    if (!Recovered)
      std::cout << "broken: " << Answered << " of " << Sent
                << " requests answered after the last fault\n";
    if (NotReady_ != 0)
      std::cout << "broken: " << NotReady_ << " balancers not ready\n";
    std::size_t Running = 0;
    for (const auto &Child : Children_)
      Running += Child->running() ? 1 : 0;
    if (Running != 0)
      std::cout << "broken: " << Running << " processes did not stop in time\n";
    bool LostRequests = PlannedOnly_ && Total.Failed_ != 0;
    if (LostRequests)
      std::cout << "broken: " << Total.Failed_
                << " requests failed during rolling restarts\n";
    std::cout << "requests " << Total.Requests_ << ", answered "
              << Total.Answered_ << ", late " << Total.Late_ << ", failed "
              << Total.Failed_ << ", resets by balancers " << Total.Resets_
              << "\n";
    return !LostRequests && peersAcceptedAllMessages() &&
           Environment_.violations().empty() && UnexpectedExits_.empty() &&
           Recovered && NotReady_ == 0 && Running == 0;
  }

  asio::io_context Context_{1};
  std::mt19937 Random_;
  Environment Environment_;
  asio::steady_timer Timer_;
  std::vector<std::unique_ptr<Forwarder>> Forwarders_;
  std::vector<std::unique_ptr<BalancerChild>> Children_;
  std::vector<std::string> UnexpectedExits_;
  SoakCounts CountsBefore_;
  SoakCounts CountsAfter_;
  std::size_t NotReady_ = 0;
  bool Stopping_ = false;
  bool PlannedOnly_ = false;
};

} // namespace

int main(int Count, char **Values) {
  return runProgram([&] {
    cxxopts::Options Options(
        "thymewall-soak",
        "Injects faults into balancer processes and checks their guarantees.");
    Options.add_options()("seed", "seed of the random faults",
                          cxxopts::value<std::uint32_t>()->default_value("1"))(
        "seconds", "time in which faults are injected",
        cxxopts::value<int>()->default_value("20"))(
        "balancers", "number of balancers, at most 200",
        cxxopts::value<std::size_t>()->default_value("6"))(
        "planned", "no faults, only rolling restarts and route changes")(
        "program", "thymewall-packet-balancer",
        cxxopts::value<std::string>())("folder", "folder for settings and logs",
                                       cxxopts::value<std::string>());
    auto Arguments = parseArguments(Options, Count, Values);
    if (Arguments.count("program") == 0 || Arguments.count("folder") == 0)
      throw std::runtime_error(
          "--program FILE and --folder FOLDER are required");
    auto Folder = Arguments["folder"].as<std::string>();
    std::filesystem::create_directories(Folder);
    auto Seed = Arguments["seed"].as<std::uint32_t>();
    auto Balancers =
        std::min<std::size_t>(Arguments["balancers"].as<std::size_t>(), 200);
    Soak Test(Seed, Balancers, Arguments["program"].as<std::string>(), Folder);
    bool Passed = Test.run(std::chrono::seconds(Arguments["seconds"].as<int>()),
                           Arguments.count("planned") != 0);
    std::cout << "seed " << Seed << ": " << (Passed ? "kept" : "BROKEN")
              << "\n";
    return Passed ? ExitSuccess : ExitFailure;
  });
}

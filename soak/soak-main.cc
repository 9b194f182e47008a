// thymewall-soak: real balancers under faults from outside, on one machine.
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

using Span = std::chrono::milliseconds;

/// Between the last fault and the judgement of what is served.
constexpr Span Quiet = 8000ms;
/// Of the quiet time, its last part counts: recovery may take the rest.
constexpr Span Judged = 3000ms;
constexpr double MustAnswer = 0.98;

class Soak {
public:
  Soak(std::uint32_t Seed, std::size_t Balancers, const std::string &Program,
       const std::string &Folder)
      : Random_(Seed), World_(Context_, Balancers, Seed + 1), Timer_(Context_) {
    for (std::size_t I = 0; I < Balancers; ++I) {
      Forwarders_.push_back(std::make_unique<Forwarder>(
          Context_, "127.0.4." + std::to_string(10 + I), World::hostOf(I),
          ControlPort));
      Children_.push_back(
          std::make_unique<BalancerChild>(Program, Folder, I, Balancers));
      Children_[I]->start();
      World_.balancer(I).during(1s);
    }
  }

  /// Runs, and prints what was seen; true when no promise was broken.
  bool run(Span Length, bool PlannedOnly) {
    PlannedOnly_ = PlannedOnly;
    later(2s, [this] { World_.setTraffic(true); });
    if (PlannedOnly)
      plan(Length);
    else
      for (Span At = 4s; At < Length; At += Span(300 + Random_() % 1200))
        later(At, [this] { strike(); });
    later(Length + Quiet - Judged, [this] { Before_ = World_.counts(); });
    later(Length + Quiet, [this] { stopAll(); });
    later(Length + Quiet + 7s, [this] { Context_.stop(); });
    watchChildren();
    Context_.run();
    return report();
  }

private:
  void later(Span Delay, std::function<void()> Do) {
    auto Timer = std::make_shared<asio::steady_timer>(Context_, Delay);
    Timer->async_wait([Timer, Do = std::move(Do)](const asio::error_code &E) {
      if (!E)
        Do();
    });
  }

  /// Rolling stops of all balancers, an address moved to the other service
  /// before and in the middle of each round.
  void plan(Span Length) {
    std::size_t Next = 0;
    for (Span At = 4s; At < Length; At += Span(700 + Random_() % 800)) {
      std::size_t I = Next++ % Children_.size();
      bool Moves = I == 0 || I == Children_.size() / 2;
      later(At, [this, I, Moves] {
        if (Moves)
          World_.moveAddress();
        stop(I);
      });
    }
  }

  /// One fault, drawn at random; they overlap.
  void strike() {
    std::size_t I = Random_() % Children_.size();
    Span For(300 + Random_() % 3500);
    switch (Random_() % 15) {
    case 0:
      return restart(I, For);
    case 1:
      return pause(I, For);
    case 2:
      return stop(I);
    case 3:
      return reload(I);
    case 4:
      return service(I, For, [](ServiceFault &F, bool On) { F.Refuses_ = On; });
    case 5:
      return service(I, For, [](ServiceFault &F, bool On) { F.Silent_ = On; });
    case 6:
      return service(I, For, [](ServiceFault &F, bool On) { F.Slow_ = On; });
    case 7:
      return outage(For);
    case 8:
      return forget();
    case 9:
      return hold(I, For);
    case 10:
      return Forwarders_[I]->resetAll();
    case 11:
      return World_.upstreamDies(Random_);
    case 12:
      return World_.upstreamDrains(Random_);
    case 13:
      return World_.changeRouting();
    case 14:
      return lose(I, For);
    }
  }

  void restart(std::size_t I, Span For) {
    World_.balancer(I).during(For + 1s);
    Children_[I]->kill();
    later(For, [this, I] { startAgain(I); });
  }

  void startAgain(std::size_t I) {
    if (!Children_[I]->running() && !Stopping_)
      Children_[I]->start();
  }

  void pause(std::size_t I, Span For) {
    World_.balancer(I).during(For + 500ms);
    Children_[I]->signal(SIGSTOP);
    later(For, [this, I] { Children_[I]->signal(SIGCONT); });
  }

  /// A planned stop; the process is started again when it has ended.
  void stop(std::size_t I) {
    World_.balancer(I).during(8s);
    Children_[I]->signal(SIGTERM);
  }

  void reload(std::size_t I) {
    Children_[I]->writeSettings(Random_() % 3 != 0,
                                50'000 + static_cast<int>(Random_() % 9999));
    if (Random_() % 2 == 0)
      Children_[I]->signal(SIGHUP);
    later(3s, [this, I] { Children_[I]->writeSettings(true); });
  }

  void service(std::size_t I, Span For,
               const std::function<void(ServiceFault &, bool)> &Set) {
    World_.core().during(For);
    Set(World_.service().fault(I), true);
    later(For, [this, I, Set] { Set(World_.service().fault(I), false); });
  }

  void outage(Span For) {
    bool Silent = Random_() % 2 == 0;
    for (std::size_t I = 0; I < Children_.size(); ++I)
      service(I, For, [Silent](ServiceFault &F, bool On) {
        (Silent ? F.Silent_ : F.Refuses_) = On;
      });
  }

  void forget() {
    World_.core().during(1s);
    World_.service().forgetHistory();
  }

  void hold(std::size_t I, Span For) {
    World_.balancer(I).during(For);
    unsigned How = 1 + Random_() % 3; // one way, the other, or both
    Forwarders_[I]->hold((How & 1) != 0, (How & 2) != 0);
    later(For, [this, I] { Forwarders_[I]->hold(false, false); });
  }

  void lose(std::size_t I, Span For) {
    World_.balancer(I).during(For);
    World_.loss(I) = 0.1 + 0.1 * static_cast<double>(Random_() % 5);
    later(For, [this, I] { World_.loss(I) = 0; });
  }

  /// Starts processes that ended as asked, and notes those that did not.
  void watchChildren() {
    for (std::size_t I = 0; I < Children_.size(); ++I) {
      int Status = 0;
      if (!Children_[I]->ended(Status))
        continue;
      if (!WIFEXITED(Status) || WEXITSTATUS(Status) != 0)
        Ends_.push_back("lb-" + std::to_string(I) + " ended with status " +
                        std::to_string(Status));
      startAgain(I);
    }
    later(100ms, [this] { watchChildren(); });
  }

  void stopAll() {
    After_ = World_.counts();
    for (std::size_t I = 0; I < Children_.size(); ++I)
      NotReady_ += World_.ready(I) ? 0 : 1;
    Stopping_ = true;
    for (auto &Child : Children_)
      Child->signal(SIGTERM);
  }

  /// Balancers of one version must understand each other.
  bool logsAreClean() const {
    bool Clean = true;
    for (const auto &Child : Children_)
      if (Child->logHolds("peer_message_refused")) {
        std::cout << "broken: a balancer refused a peer's message\n";
        Clean = false;
      }
    return Clean;
  }

  bool report() const {
    const SoakCounts &All = World_.counts();
    auto Asked = static_cast<double>(After_.Requests_ - Before_.Requests_);
    auto Answered = static_cast<double>(After_.Answered_ - Before_.Answered_);
    bool Recovered = Asked > 0 && Answered >= MustAnswer * Asked;
    for (const std::string &What : World_.broken())
      std::cout << "broken: " << What << "\n";
    for (const std::string &What : Ends_)
      std::cout << "broken: " << What << "\n";
    if (!Recovered)
      std::cout << "broken: " << Answered << " of " << Asked
                << " requests answered after the last fault\n";
    if (NotReady_ != 0)
      std::cout << "broken: " << NotReady_ << " balancers not ready\n";
    std::size_t Left = 0;
    for (const auto &Child : Children_)
      Left += Child->running() ? 1 : 0;
    if (Left != 0)
      std::cout << "broken: " << Left << " processes did not stop in time\n";
    bool Lost = PlannedOnly_ && All.Failed_ != 0;
    if (Lost)
      std::cout << "broken: " << All.Failed_
                << " requests of open flows failed under planned work\n";
    std::cout << "requests " << All.Requests_ << ", answered " << All.Answered_
              << ", late " << All.Late_ << ", failed " << All.Failed_
              << ", resets by balancers " << All.Resets_ << "\n";
    return !Lost && logsAreClean() && World_.broken().empty() &&
           Ends_.empty() && Recovered && NotReady_ == 0 && Left == 0;
  }

  asio::io_context Context_{1};
  std::mt19937 Random_;
  World World_;
  asio::steady_timer Timer_;
  std::vector<std::unique_ptr<Forwarder>> Forwarders_;
  std::vector<std::unique_ptr<BalancerChild>> Children_;
  std::vector<std::string> Ends_;
  SoakCounts Before_;
  SoakCounts After_;
  std::size_t NotReady_ = 0;
  bool Stopping_ = false;
  bool PlannedOnly_ = false;
};

} // namespace

int main(int Count, char **Values) {
  return runProgram([&] {
    cxxopts::Options Options("thymewall-soak",
                             "Strikes real balancers with faults.");
    Options.add_options()("seed", "draws the faults",
                          cxxopts::value<std::uint32_t>()->default_value("1"))(
        "seconds", "time of faults",
        cxxopts::value<int>()->default_value("20"))(
        "balancers", "processes, at most 200",
        cxxopts::value<std::size_t>()->default_value("6"))(
        "planned", "no faults: rolling stops beside changes of routes")(
        "program", "thymewall-packet-balancer", cxxopts::value<std::string>())(
        "folder", "for settings and logs", cxxopts::value<std::string>());
    auto Arguments = parseArguments(Options, Count, Values);
    if (Arguments.count("program") == 0 || Arguments.count("folder") == 0)
      throw std::runtime_error("--program FILE and --folder FOLDER are needed");
    auto Folder = Arguments["folder"].as<std::string>();
    std::filesystem::create_directories(Folder);
    auto Seed = Arguments["seed"].as<std::uint32_t>();
    auto Balancers =
        std::min<std::size_t>(Arguments["balancers"].as<std::size_t>(), 200);
    Soak Run(Seed, Balancers, Arguments["program"].as<std::string>(), Folder);
    bool Good = Run.run(std::chrono::seconds(Arguments["seconds"].as<int>()),
                        Arguments.count("planned") != 0);
    std::cout << "seed " << Seed << ": " << (Good ? "kept" : "BROKEN") << "\n";
    return Good ? ExitSuccess : ExitFailure;
  });
}

// thymewall-ctl: command-line tool for operators.
#include "clock.h"
#include "ctl-packet.h"
#include "program.h"
#include "thymewall/host-list.h"
#include "thymewall/settings.h"
#include "thymewall/time-zone.h"

#include <date/date.h>
#include <httplib.h>
#include <iostream>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>
#include <thread>

using namespace thymewall;
using namespace thymewall::detail;

namespace {

using Json = nlohmann::json;

struct UsageError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// Parses "2026-12-02T18:30Z".
WallTime parseUtcTime(const std::string &Text) {
  std::istringstream In(Text);
  date::sys_time<std::chrono::minutes> When;
  In >> date::parse("%FT%RZ", When);
  if (In.fail())
    throw UsageError("--at needs a time such as 2026-12-02T18:30Z");
  return WallTime(When.time_since_epoch());
}

DeclarationPtr loadDeclaration(const std::string &Path) {
  return loadConfig(Path, [](std::string Text, const std::string &File) {
    return parseDeclaration(std::move(Text), File, timeZoneClock());
  });
}

/// Checks settings, host lists and declarations; the keys show which one a file
/// contains.
int check(const std::vector<std::string> &Files, WallTime From) {
  if (Files.empty())
    throw UsageError("check needs at least one FILE");
  Problems AllProblems;
  auto AddProblems = [&](const Problems &Found) {
    AllProblems.insert(AllProblems.end(), Found.begin(), Found.end());
  };
  for (const std::string &File : Files) {
    std::optional<std::string> Text = readFile(File);
    if (!Text) {
      AddProblems({{File, "(file)", "can't be read"}});
      continue;
    }
    Json Root = Json::parse(*Text, nullptr, false);
    bool IsSettings = Root.is_object() && Root.contains("keys");
    bool IsHosts = Root.is_object() && Root.contains("hosts");
    boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<void> {
          if (IsSettings) {
            BOOST_LEAF_CHECK((parseSettings(*Text, File)));
          } else if (IsHosts) {
            BOOST_LEAF_CHECK((parseHostList(*Text, File)));
          } else {
            BOOST_LEAF_AUTO(Read,
                            parseDeclaration(*Text, File, timeZoneClock()));
            AddProblems(checkWeek(*Read, File, timeZoneClock(), From));
          }
          return {};
        },
        AddProblems, [] {});
  }
  printProblems(AllProblems);
  std::cout << Files.size() << " checked, " << AllProblems.size()
            << " problems\n";
  return AllProblems.empty() ? ExitSuccess : ExitFailure;
}

int explainService(const std::vector<std::string> &Operands, WallTime When) {
  if (Operands.size() != 2)
    throw UsageError("explain needs SERVICE and FILE");
  DeclarationPtr D = loadDeclaration(Operands[1]);
  const Service *S = D->service(static_cast<ServiceId>(nameId(Operands[0])));
  if (!S) {
    std::cerr << Operands[1] << ": services: \"" << Operands[0]
              << "\" is not declared\n";
    return ExitFailure;
  }
  for (const Upstream &U : D->Upstreams_) {
    std::string Reason = explain(*D, *S, U, timeZoneClock(), When);
    std::cout << U.Name_ << ": " << (Reason.empty() ? "yes" : "no, " + Reason)
              << "\n";
  }
  return ExitSuccess;
}

std::set<std::string> eligibleNames(const Declaration &D, const Service &S,
                                    WallTime When) {
  std::set<std::string> Names;
  for (std::size_t Index : selectedUpstreams(D, S, timeZoneClock(), When))
    Names.insert(D.Upstreams_[Index].Name_);
  return Names;
}

/// Prints the upstreams that each service would lose or gain. Succeeds if the
/// version increases.
int diff(const std::vector<std::string> &Operands, WallTime When) {
  if (Operands.size() != 2)
    throw UsageError("diff needs OLD and NEW");
  DeclarationPtr Old = loadDeclaration(Operands[0]);
  DeclarationPtr New = loadDeclaration(Operands[1]);
  std::cout << "version " << Old->Version_ << " -> " << New->Version_ << "\n";
  std::set<std::string> Services;
  for (const DeclarationPtr &D : {Old, New})
    for (const Service &S : D->Services_)
      Services.insert(S.Name_);
  for (const std::string &Name : Services) {
    auto Id = static_cast<ServiceId>(nameId(Name));
    std::set<std::string> Before;
    std::set<std::string> After;
    if (const Service *S = Old->service(Id))
      Before = eligibleNames(*Old, *S, When);
    if (const Service *S = New->service(Id))
      After = eligibleNames(*New, *S, When);
    for (const std::string &U : Before)
      if (After.count(U) == 0)
        std::cout << Name << ": - " << U
                  << " (drains; its flows run to completion)\n";
    for (const std::string &U : After)
      if (Before.count(U) == 0)
        std::cout << Name << ": + " << U << "\n";
  }
  return New->Version_ > Old->Version_ ? ExitSuccess : ExitFailure;
}

std::optional<Json> fetchStatus(const std::string &Address) {
  httplib::Client Client("http://" + Address);
  Client.set_connection_timeout(std::chrono::seconds(1));
  Client.set_read_timeout(std::chrono::seconds(3));
  auto Result = Client.Get("/status");
  if (!Result || Result->status != 200)
    return std::nullopt;
  return Json::parse(Result->body);
}

/// Prints an upstream that is draining or ejected; omits others.
void printUpstream(const Json &U) {
  bool Draining = !U.at("declared").get<bool>() || U.at("leaving").get<bool>();
  bool Ejected = U.at("ejected").get<bool>();
  if (!Draining && !Ejected)
    return;
  std::cout << "  " << U.at("name").get<std::string>()
            << (Draining ? ": draining" : "") << (Ejected ? ": ejected" : "")
            << ", own flows " << U.at("own_flows") << "\n";
}

int status(const std::vector<std::string> &Addresses) {
  bool AllAnswered = true;
  for (const std::string &Address : Addresses) {
    std::optional<Json> Page = fetchStatus(Address);
    if (!Page) {
      std::cout << Address << ": no answer\n";
      AllAnswered = false;
      continue;
    }
    if (isPacketStatus(*Page)) {
      printPacketStatus(*Page, std::cout);
      continue;
    }
    const Json &C = Page->at("counters");
    std::cout << Page->at("name").get<std::string>() << ": version "
              << Page->at("version")
              << (Page->at("ready").get<bool>() ? "" : ", not ready")
              << (Page->at("stopping").get<bool>() ? ", stopping" : "")
              << ", flows " << C.at("flows") << ", requests "
              << C.at("requests_in_progress") << ", not run "
              << C.at("refused_not_run") << ", outcome unknown "
              << C.at("outcome_unknown") << "\n";
    for (const Json &U : Page->at("upstreams"))
      printUpstream(U);
  }
  return AllAnswered ? ExitSuccess : ExitFailure;
}

/// Prints where each packet balancer sends new flows to \p ServiceAddress.
int route(const std::string &ServiceAddress,
          const std::vector<std::string> &Addresses) {
  bool AllFound = true;
  for (const std::string &Address : Addresses) {
    std::optional<Json> Page = fetchStatus(Address);
    if (!Page)
      std::cout << Address << ": no answer\n";
    bool Found = Page && isPacketStatus(*Page) &&
                 printRoute(*Page, ServiceAddress, std::cout);
    AllFound = AllFound && Found;
  }
  return AllFound ? ExitSuccess : ExitFailure;
}

/// Waits until every balancer has applied \p Wanted or a later version, and
/// prints the elapsed seconds.
int waitForVersion(const std::vector<std::string> &Addresses, Version Wanted,
                   int TimeoutSeconds) {
  constexpr auto PollInterval = std::chrono::milliseconds(20);
  auto Start = std::chrono::steady_clock::now();
  auto Deadline = Start + std::chrono::seconds(TimeoutSeconds);
  std::set<std::string> Remaining(Addresses.begin(), Addresses.end());
  while (!Remaining.empty() && std::chrono::steady_clock::now() < Deadline) {
    for (auto It = Remaining.begin(); It != Remaining.end();) {
      std::optional<Json> Page = fetchStatus(*It);
      bool InForce = Page && Page->at("version").get<Version>() >= Wanted;
      It = InForce ? Remaining.erase(It) : std::next(It);
    }
    std::this_thread::sleep_for(PollInterval);
  }
  std::chrono::duration<double> Elapsed =
      std::chrono::steady_clock::now() - Start;
  std::cout << Elapsed.count() << "\n";
  for (const std::string &Address : Remaining)
    std::cerr << Address << ": version " << Wanted << " is not in force\n";
  return Remaining.empty() ? ExitSuccess : ExitFailure;
}

/// Returns the balancers' status addresses: \p Given, or those from --config.
std::vector<std::string> addresses(const std::vector<std::string> &Given,
                                   const cxxopts::ParseResult &Arguments) {
  if (!Given.empty())
    return Given;
  if (Arguments.count("config") == 0)
    throw UsageError("needs the status ADDRESS of each balancer, or --config");
  return loadConfig(Arguments["config"].as<std::string>(), parseCtlSettings);
}

int run(int Count, char **Values) {
  cxxopts::Options Options(
      "thymewall-ctl",
      "Checks declarations and queries balancers.\n"
      "  check FILE...         validate declarations, host lists and settings\n"
      "  explain SERVICE FILE  which upstreams serve it, and why others don't\n"
      "  diff OLD NEW          upstreams that each service would lose or gain\n"
      "  status ADDRESS...     state of the balancers\n"
      "  route SERVICE-ADDRESS ADDRESS...  upstreams for new flows to an "
      "address\n"
      "  wait ADDRESS...       wait for version --is to be in force");
  Options.add_options()("at", "time, such as 2026-12-02T18:30Z (default: now)",
                        cxxopts::value<std::string>())(
      "is", "version to wait for",
      cxxopts::value<Version>()->default_value("1"))(
      "timeout", "seconds to wait", cxxopts::value<int>()->default_value("10"))(
      "config", "settings in JSON: {\"balancers\": [ADDRESS, ...]}",
      cxxopts::value<std::string>())(
      "words", "", cxxopts::value<std::vector<std::string>>());
  Options.parse_positional("words");
  Options.positional_help("COMMAND [ARGUMENT...]");
  auto Arguments = parseArguments(Options, Count, Values);
  std::vector<std::string> Operands;
  if (Arguments.count("words") != 0)
    Operands = Arguments["words"].as<std::vector<std::string>>();
  if (Operands.empty())
    throw UsageError("a command is required; see --help");
  std::string Command = Operands.front();
  Operands.erase(Operands.begin());
  WallTime When = Arguments.count("at") != 0
                      ? parseUtcTime(Arguments["at"].as<std::string>())
                      : wallNow();
  if (Command == "check")
    return check(Operands, When);
  if (Command == "explain")
    return explainService(Operands, When);
  if (Command == "diff")
    return diff(Operands, When);
  if (Command == "status")
    return status(addresses(Operands, Arguments));
  if (Command == "route" && !Operands.empty())
    return route(Operands.front(),
                 addresses({Operands.begin() + 1, Operands.end()}, Arguments));
  if (Command == "wait")
    return waitForVersion(addresses(Operands, Arguments),
                          Arguments["is"].as<Version>(),
                          Arguments["timeout"].as<int>());
  throw UsageError("\"" + Command + "\" is not a command; see --help");
}

} // namespace

int main(int Count, char **Values) {
  return runProgram([&] { return run(Count, Values); });
}

// thymewall-load: generates load and audits the records of a run.
#include "load-audit.h"
#include "load-run.h"
#include "program.h"

#include <fstream>
#include <iostream>

using namespace thymewall;
using namespace thymewall::detail;

namespace {

std::string readRequiredFile(const std::string &Path) {
  std::optional<std::string> Text = readFile(Path);
  if (!Text)
    throw std::runtime_error(Path + ": can't be read");
  return *Text;
}

int runAudit(const std::string &Record, const std::vector<std::string> &Files,
             double ConfigSeconds) {
  std::vector<std::string> Upstreams;
  Upstreams.reserve(Files.size());
  for (const std::string &File : Files)
    Upstreams.push_back(readRequiredFile(File));
  AuditResult Result =
      auditRun(readRequiredFile(Record), Upstreams, ConfigSeconds);
  std::cout << Result.Json_ << "\n";
  return Result.Passed_ ? ExitSuccess : ExitFailure;
}

int run(int Count, char **Values) {
  cxxopts::Options Options(
      "thymewall-load",
      "Runs a load scenario, or audits the records of a run with --audit.");
  Options.add_options()("config", "scenario in JSON",
                        cxxopts::value<std::string>())(
      "record", "the callers' record: written by a run, read by --audit",
      cxxopts::value<std::string>())(
      "audit", "check a record against the upstreams' records")(
      "config-seconds", "value reported as config_seconds_max",
      cxxopts::value<double>()->default_value("0"))(
      "files", "", cxxopts::value<std::vector<std::string>>());
  Options.parse_positional("files");
  Options.positional_help("[UPSTREAM-RECORD...]");
  auto Arguments = parseArguments(Options, Count, Values);
  if (Arguments.count("record") == 0)
    throw std::runtime_error("--record FILE is required");
  std::string Record = Arguments["record"].as<std::string>();
  if (Arguments.count("audit") != 0)
    return runAudit(Record, Arguments["files"].as<std::vector<std::string>>(),
                    Arguments["config-seconds"].as<double>());
  if (Arguments.count("config") == 0)
    throw std::runtime_error("--config FILE is required");
  Scenario S = loadConfig(Arguments["config"].as<std::string>(), parseScenario);
  asio::io_context Context(1);
  LoadRun Run(Context, S);
  Context.run();
  std::ofstream(Record) << Run.record();
  return ExitSuccess;
}

} // namespace

int main(int Count, char **Values) {
  return runProgram([&] { return run(Count, Values); });
}

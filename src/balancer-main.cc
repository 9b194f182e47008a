// thymewall-balancer: the request balancer, one process per entry host.
#include "balancer-process.h"
#include "program.h"
#include "thymewall/log.h"

using namespace thymewall;
using namespace thymewall::detail;

int main(int Count, char **Values) {
  return runProgram([&] {
    cxxopts::Options Options("thymewall-balancer",
                             "Layer-4 load balancer for request flows.");
    Options.add_options()("config", "path of the settings file (JSON)",
                          cxxopts::value<std::string>());
    auto Arguments = parseArguments(Options, Count, Values);
    if (Arguments.count("config") == 0)
      throw std::runtime_error("--config FILE is required");
    Settings Configured =
        loadConfig(Arguments["config"].as<std::string>(), parseSettings);
    startLog(Configured.Name_);
    asio::io_context Context(1);
    BalancerProcess Process(Context, Configured);
    Context.run();
    return ExitSuccess;
  });
}

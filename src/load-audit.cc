#include "load-audit.h"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <unordered_map>

namespace thymewall::detail {

namespace {

using Json = nlohmann::json;
using Ids = std::vector<std::uint64_t>;

/// Flows per slot of each upstream, by service.
using Loads = std::map<std::uint64_t, std::vector<double>>;

/// Adds the counts of an upstream's last sample at or before \p AtMs.
void addLoads(const Json &Upstream, std::int64_t AtMs, Loads &Into) {
  std::int64_t LastAt = 0;
  for (const Json &Sample : Upstream.at("samples"))
    if (Sample.at(0).get<std::int64_t>() <= AtMs)
      LastAt = Sample.at(0).get<std::int64_t>();
  for (const Json &Sample : Upstream.at("samples"))
    if (LastAt != 0 && Sample.at(0).get<std::int64_t>() == LastAt)
      Into[Sample.at(1).get<std::uint64_t>()].push_back(
          Sample.at(2).get<double>() / Upstream.at("slots").get<double>());
}

/// How far the fullest upstream is above the mean, at worst over services.
double imbalancePercent(const Loads &All) {
  double Worst = 0;
  for (const auto &[Service, Values] : All) {
    double Sum = 0;
    for (double Value : Values)
      Sum += Value;
    double Mean = Sum / static_cast<double>(Values.size());
    double Most = *std::max_element(Values.begin(), Values.end());
    Worst = std::max(Worst, (Most / Mean - 1) * 100);
  }
  return Worst;
}

} // namespace

Verdict audit(const std::string &Callers,
              const std::vector<std::string> &Upstreams, double ConfigSeconds) {
  Json Record = Json::parse(Callers);
  auto SteadyAt = Record.at("steady_at_ms").get<std::int64_t>();
  std::unordered_map<std::uint64_t, int> Runs;
  Loads AtSteady;
  std::uint64_t WrongService = Record.at("wrong_service");
  std::uint64_t RefusedByUpstreams = 0;
  for (const std::string &Text : Upstreams) {
    Json Upstream = Json::parse(Text);
    for (std::uint64_t Id : Upstream.at("executed_once").get<Ids>())
      ++Runs[Id];
    WrongService += Upstream.at("wrong_service").get<std::uint64_t>();
    RefusedByUpstreams += Upstream.at("refused").get<std::uint64_t>();
    addLoads(Upstream, SteadyAt, AtSteady);
  }
  auto Doubled = std::count_if(Runs.begin(), Runs.end(),
                               [](const auto &Run) { return Run.second > 1; });
  std::uint64_t FalseNotRun = 0;
  for (std::uint64_t Id : Record.at("not_run_once").get<Ids>())
    FalseNotRun += Runs.count(Id);
  std::uint64_t AnsweredUnrun = 0;
  for (std::uint64_t Id : Record.at("answered_once").get<Ids>())
    AnsweredUnrun += 1 - Runs.count(Id);
  std::uint64_t MixedParts = Record.at("mixed_parts");
  std::uint64_t NoFinalAnswer = Record.at("no_final_answer");
  Json Line = {{"flows", Record.at("flows")},
               {"requests", Record.at("requests")},
               {"answered", Record.at("answered")},
               {"refused_not_run", Record.at("refused_not_run")},
               {"outcome_unknown", Record.at("outcome_unknown")},
               {"no_final_answer", NoFinalAnswer},
               {"opens_refused", Record.at("opens_refused")},
               {"refused_by_upstreams", RefusedByUpstreams},
               {"broken_flows", Record.at("broken_flows")},
               {"wrong_service", WrongService},
               {"doubled", Doubled},
               {"false_not_run", FalseNotRun},
               {"answered_unrun", AnsweredUnrun},
               {"mixed_parts", MixedParts},
               {"pushes", Record.at("pushes")},
               {"config_seconds_max", ConfigSeconds},
               {"imbalance_percent", imbalancePercent(AtSteady)}};
  for (const auto &[Tenant, Classes] : Record.at("delays").items())
    for (const auto &[Class, D] : Classes.items())
      Line["p99_ms_" + Tenant + "_" + Class] =
          D.at("p99_us").get<double>() / 1000;
  Verdict V;
  V.Line_ = Line.dump();
  V.Kept_ = WrongService == 0 && Doubled == 0 && FalseNotRun == 0 &&
            AnsweredUnrun == 0 && MixedParts == 0 &&
            Record.at("broken_flows") == 0;
  return V;
}

} // namespace thymewall::detail

#include "packet-process-impl.h"

#include "clock.h"
#include "thymewall/log.h"

#include <csignal>

namespace thymewall::detail {

namespace {

/// Time until the fabric stops sending packets to a balancer that isn't ready.
/// It checks readiness twice a second and removes the balancer after two
/// failures; the other second is for packets in transit.
constexpr Micros FabricReactionTime = std::chrono::milliseconds(2000);
/// Time without packets after which the process may end.
constexpr Micros QuietPeriod = std::chrono::milliseconds(1000);
/// Time that the process ends before the platform kills it.
constexpr Micros StopMargin = std::chrono::milliseconds(600);

} // namespace

void PacketProcess::Impl::updateDataHallLost(MonoTime Now) {
  if (Gossip_.isDataHallLost(Now) == DataHallLost_)
    return;
  DataHallLost_ = !DataHallLost_;
  logState(DataHallLost_ ? "data_hall_lost" : "data_hall_back",
           {{"data_hall", Settings_.DataHall_}});
}

void PacketProcess::Impl::stopIfQuiet(MonoTime Now) {
  bool IsQuiet = Now >= EarliestStopAt_ && Now - LastPacketAt_ >= QuietPeriod;
  if (!IsQuiet && Now < StopDeadline_)
    return;
  logState("stopped", {{"quiet", IsQuiet}});
  Context_.stop();
}

HttpPage PacketProcess::Impl::readinessPage(const std::string &Path) {
  if (Path != Hooks_.ReadinessPath_)
    return {404, "text/plain", ""};
  return {ready() ? 200U : 503U, "text/plain", ""};
}

// The balancer works without its metrics, so a port in use is only logged.
void PacketProcess::Impl::serveMetrics() {
  Endpoint Address = Settings_.ReadinessAddress_;
  Address.Port_ = Settings_.MetricsPort_;
  try {
    MetricsServer_.emplace(
        Context_, Address,
        [this](const std::string &Target, const HttpServer::Reply &Response) {
          Response(packetPage(report(), pathOf(Target)));
        });
  } catch (const std::system_error &Error) {
    logState("metrics_not_served",
             {{"address", formatEndpoint(Address)}, {"reason", Error.what()}});
  }
}

PacketReport PacketProcess::Impl::report() {
  PacketReport R;
  R.Name_ = Settings_.Name_;
  R.Ready_ = ready();
  R.Stopping_ = StopDeadline_ != MonoTime::max();
  R.Now_ = monoNow();
  R.Status_ = Core_.status(R.Now_);
  R.Counters_ = Core_.counters();
  R.Gossip_ = Gossip_.counters();
  R.Traffic_ = Traffic_;
  R.Peers_ = Gossip_.peers();
  R.Load_ = Gossip_.fleetLoad(R.Now_);
  R.Routing_ = Routing_;
  R.Malformed_ = Malformed_;
  R.ServiceCalls_ = ServiceCalls_;
  R.ServiceFailures_ = ServiceFailures_;
  R.RefusedItems_ = RefusedItems_;
  R.AdjustedValues_ = AdjustedValues_;
  R.UnreadablePages_ = UnreadablePages_;
  R.Health_ = Health_.health();
  R.SteppedBack_ = StepBack_.isSteppedBack();
  R.LogLinesDropped_ = droppedLogLineCount();
  R.ReadsForFleet_ = Gossip_.nextReadAt() <= R.Now_;
  R.Delays_ = &Delays_;
  R.Admission_ = &Admission_;
  return R;
}

std::string PacketProcess::Impl::serviceLabel(ServiceId Id) const {
  return Routing_ ? Routing_->serviceName(Id) : std::to_string(raw(Id));
}

void PacketProcess::Impl::awaitSignal() {
  Signals_.async_wait([this](const asio::error_code &Error, int Signal) {
    if (Error)
      return;
    if (Signal == SIGHUP)
      onReloadSignal();
    else
      beginShutdown();
    awaitSignal();
  });
}

void PacketProcess::Impl::onReloadSignal() {
  if (SettingsWatch_.reread())
    applySettings("signal");
  else
    logState("settings_unchanged", {{"cause", "signal"}});
}

void PacketProcess::Impl::beginShutdown() {
  if (StopDeadline_ != MonoTime::max())
    return;
  logState("stopping", {});
  MonoTime Now = monoNow();
  Gossip_.setLeaving(Now);
  EarliestStopAt_ = Now + FabricReactionTime;
  StopDeadline_ =
      Now + std::max(Settings_.StopTimeout_ - StopMargin, Micros(0));
}

void PacketProcess::Impl::applySettings(const char *Cause) {
  std::optional<PacketSettings> Changed = SettingsWatch_.parse();
  if (!Changed)
    return;
  for (const std::string &Key : keysNeedingRestart(Settings_, *Changed))
    logState("settings_need_restart", {{"key", Key}});
  Settings_.Seeds_ = Changed->Seeds_;
  Gossip_.setSeeds(Changed->Seeds_);
  Settings_.StopTimeout_ = Changed->StopTimeout_;
  Settings_.MaxRoutingDelay_ = Changed->MaxRoutingDelay_;
  Settings_.MaxFlowAge_ = Changed->MaxFlowAge_;
  Settings_.ColdBurstFactor_ = Changed->ColdBurstFactor_;
  Settings_.ColdBurstAllowance_ = Changed->ColdBurstAllowance_;
  Settings_.Placement_ = Changed->Placement_;
  Settings_.Admission_ = Changed->Admission_;
  Settings_.StepsBack_ = Changed->StepsBack_;
  Settings_.RequestsPerSlot_ = Changed->RequestsPerSlot_;
  Core_.setPolicies(Settings_.Placement_, Settings_.Admission_,
                    Settings_.RequestsPerSlot_);
  Core_.setLimits(resetStalenessLimit(Settings_), Settings_.MaxFlowAge_,
                  Settings_.ColdBurstFactor_, Settings_.ColdBurstAllowance_);
  logState("settings_reloaded", {{"cause", Cause}});
}

void PacketProcess::Impl::pollSettings(MonoTime Now) {
  if (Now < NextSettingsPollAt_)
    return;
  NextSettingsPollAt_ = Now + SettingsPollInterval;
  if (SettingsWatch_.reread())
    applySettings("file");
}

} // namespace thymewall::detail

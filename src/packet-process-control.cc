#include "packet-process-impl.h"

#include "clock.h"
#include "thymewall/log.h"

#include <csignal>

namespace thymewall::detail {

namespace {

/// The fabric asks for readiness twice a second and takes a balancer out after
/// two bad answers; one more second for packets under way.
constexpr Micros FabricNotices = std::chrono::milliseconds(2000);
/// No packet for this long after that: the fabric sends nothing any more.
constexpr Micros QuietFor = std::chrono::milliseconds(1000);
/// Before the platform would end the process by force.
constexpr Micros StopMargin = std::chrono::milliseconds(600);

} // namespace

void PacketProcess::Impl::noteHall(MonoTime Now) {
  if (News_.hallIsLost(Now) == HallLost_)
    return;
  HallLost_ = !HallLost_;
  logState(HallLost_ ? "data_hall_lost" : "data_hall_back",
           {{"data_hall", Settings_.DataHall_}});
}

/// After a stop signal: forwards until the fabric sends nothing any more.
void PacketProcess::Impl::endWhenQuiet(MonoTime Now) {
  bool Quiet = Now >= StopFrom_ && Now - LastPacket_ >= QuietFor;
  if (!Quiet && Now < StopBy_)
    return;
  logState("stopped", {{"quiet", Quiet}});
  Context_.stop();
}

HttpPage PacketProcess::Impl::readinessPage(const std::string &Path) {
  if (Path != Hooks_.ReadinessPath_)
    return {404, "text/plain", ""};
  return {ready() ? 200U : 503U, "text/plain", ""};
}

/// Without its metrics a balancer still serves: a port in use is only told.
void PacketProcess::Impl::serveMetrics() {
  Endpoint Where = Settings_.Readiness_;
  Where.Port_ = Settings_.MetricsPort_;
  try {
    Metrics_.emplace(
        Context_, Where,
        [this](const std::string &Target, const HttpServer::Reply &Answer) {
          Answer(packetPage(report(), pathOf(Target)));
        });
  } catch (const std::system_error &Error) {
    logState("metrics_not_served",
             {{"address", formatEndpoint(Where)}, {"reason", Error.what()}});
  }
}

PacketReport PacketProcess::Impl::report() {
  PacketReport R;
  R.Name_ = Settings_.Name_;
  R.Ready_ = ready();
  R.Stopping_ = StopBy_ != MonoTime::max();
  R.Now_ = monoNow();
  R.Status_ = Core_.status(R.Now_);
  R.Counters_ = Core_.counters();
  R.News_ = News_.counters();
  R.Traffic_ = Traffic_;
  R.Peers_ = News_.peers();
  R.Routing_ = Routing_;
  R.Malformed_ = Malformed_;
  R.ServiceCalls_ = ServiceCalls_;
  R.ServiceFailures_ = ServiceFailures_;
  R.RefusedItems_ = RefusedItems_;
  R.LogLinesDropped_ = droppedLogLineCount();
  R.Reads_ = News_.readFrom() <= R.Now_;
  R.Delays_ = &Delays_;
  return R;
}

std::string PacketProcess::Impl::tenant(ServiceId Id) const {
  return Routing_ ? Routing_->nameOf(Id) : std::to_string(raw(Id));
}

void PacketProcess::Impl::awaitSignal() {
  Signals_.async_wait([this](const asio::error_code &Error, int Signal) {
    if (Error)
      return;
    if (Signal == SIGHUP)
      onReloadSignal();
    else
      startStop();
    awaitSignal();
  });
}

void PacketProcess::Impl::onReloadSignal() {
  if (Watch_.changed())
    takeSettings("signal");
  else
    logState("settings_unchanged", {{"cause", "signal"}});
}

void PacketProcess::Impl::startStop() {
  if (StopBy_ != MonoTime::max())
    return;
  logState("stopping", {});
  MonoTime Now = monoNow();
  News_.setLeaving(Now);
  StopFrom_ = Now + FabricNotices;
  StopBy_ = Now + std::max(Settings_.StopWithin_ - StopMargin, Micros(0));
}

/// Takes changed settings in; those that need a restart are only told.
void PacketProcess::Impl::takeSettings(const char *Cause) {
  std::optional<PacketSettings> Wanted = Watch_.read();
  if (!Wanted)
    return;
  for (const std::string &Key : needRestart(Settings_, *Wanted))
    logState("settings_need_restart", {{"key", Key}});
  Settings_.Seeds_ = Wanted->Seeds_;
  News_.setSeeds(Wanted->Seeds_);
  Settings_.StopWithin_ = Wanted->StopWithin_;
  Settings_.RoutingWithin_ = Wanted->RoutingWithin_;
  Settings_.FlowLimit_ = Wanted->FlowLimit_;
  Settings_.ColdOver_ = Wanted->ColdOver_;
  Settings_.ColdSlack_ = Wanted->ColdSlack_;
  Core_.setLimits(resetWhenKnown(Settings_), Settings_.FlowLimit_,
                  Settings_.ColdOver_, Settings_.ColdSlack_);
  logState("settings_reloaded", {{"cause", Cause}});
}

void PacketProcess::Impl::lookAtSettings(MonoTime Now) {
  if (Now < NextSettingsLook_)
    return;
  NextSettingsLook_ = Now + SettingsLookEvery;
  if (Watch_.changed())
    takeSettings("file");
}

} // namespace thymewall::detail

#include "packet-process.h"

#include "clock.h"
#include "http-server.h"
#include "opening-retries.h"
#include "packet-log.h"
#include "packet-pages.h"
#include "peer-links.h"
#include "settings-watch.h"
#include "thymewall/held-packets.h"
#include "thymewall/log.h"
#include "udp-socket.h"
#include "upstream-checker.h"

#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>
#include <csignal>
#include <random>

namespace thymewall::detail {

namespace {

/// The fabric asks for readiness twice a second and takes a balancer out after
/// two bad answers; one more second for packets under way.
constexpr Micros FabricNotices = std::chrono::milliseconds(2000);
/// No packet for this long after that: the fabric sends nothing any more.
constexpr Micros QuietFor = std::chrono::milliseconds(1000);
/// Before the platform would end the process by force.
constexpr Micros StopMargin = std::chrono::milliseconds(600);

/// How often the settings file is looked at without a signal.
constexpr Micros SettingsLookEvery = std::chrono::seconds(2);

double randomShare() {
  std::random_device Device;
  return std::uniform_real_distribution<double>(0, 1)(Device);
}

/// How recent knowledge must be to say that an address is unknown. Half a
/// second of the bound is left for the packet's way and for the clocks.
Micros resetWhenKnown(const PacketSettings &S) {
  constexpr Micros Margin = std::chrono::milliseconds(500);
  return std::max(S.RoutingWithin_ - Margin, Micros(0));
}

/// A refusal that ends once upstreams are published: all of them are missing
/// for up to 2 s after the configuration service was away.
bool mayPass(ErrorKind Why) {
  return Why == ErrorKind::NoneLeft || Why == ErrorKind::UnknownCookie;
}

NewsOptions newsOptions(const PacketSettings &S) {
  return {{S.Name_, S.DataHall_, S.AdvertisedControl_, 0}, S.Seeds_};
}

const char *nameOf(DelayClass Class) {
  return Class == DelayClass::Open ? "open" : "request";
}

PacketBalancer makeCore(const PacketSettings &S, BeliefHook OnBelief,
                        PacketDelayHook OnDelay, CheckHook OnCheck,
                        ResetHook OnReset) {
  return PacketBalancerBuilder()
      .resetWhenKnown(resetWhenKnown(S))
      .flowLimit(S.FlowLimit_)
      .onDecision(logDecisionOn)
      .onBelief(std::move(OnBelief))
      .onDelay(std::move(OnDelay))
      .onCheck(std::move(OnCheck))
      .onReset(std::move(OnReset))
      .build();
}

} // namespace

class PacketProcess::Impl {
public:
  Impl(asio::io_context &Context, const PacketSettings &Configured,
       std::string SettingsPath, PlatformHooks Hooks);

private:
  void onPacket(const std::uint8_t *Data, std::size_t Size);
  bool steer(MonoTime Now, const std::uint8_t *Data, std::size_t Size);
  void releaseHeld();
  void noteReady();
  void retryOpening(MonoTime Now, const std::uint8_t *Data, std::size_t Size);
  void act(const Forward &F, const std::uint8_t *Data, std::size_t Size);
  void act(const ResetFlow &R, const std::uint8_t *Data, std::size_t Size);
  void act(const Dropped &D, const std::uint8_t *Data, std::size_t Size);
  PeerLinkHooks linkHooks();
  NewsHooks newsHooks();
  void onPeerMessage(LinkId Link, const std::string &Bytes);
  void sendReset(const ResetFlow &R);
  void onBelief(const Belief &B);
  void onAnswer(const IntentAnswer &Answer);
  void review();
  void endWhenQuiet(MonoTime Now);
  void startCall(MonoTime Now);
  HttpPage readinessPage(const std::string &Path);
  void serveMetrics();
  PacketReport report();
  std::string tenant(ServiceId Id) const;
  bool ready() const {
    return Core_.ready() && StopBy_ == MonoTime::max() && !HallLost_;
  }
  void noteHall(MonoTime Now);
  void awaitSignal();
  void onReloadSignal();
  void startStop();
  void takeSettings(const char *Cause);
  void lookAtSettings(MonoTime Now);

  asio::io_context &Context_;
  PacketSettings Settings_;
  SettingsWatch Watch_;
  PlatformHooks Hooks_;
  UdpSocket Packets_; ///< First: what comes from now on waits in it.
  DelayMetrics Delays_;
  RoutingTablePtr Routing_;
  PacketBalancer Core_;
  HeldPackets Held_; ///< Until the core is ready or upstreams are published.
  OpeningRetries Openings_;
  UpstreamChecker Checker_;
  IntentReader Reader_;
  IntentCaller Call_;
  PeerLinks Links_;
  NewsExchange News_;
  HttpServer Readiness_;
  std::optional<HttpServer> Metrics_;
  ServiceLog ServiceLog_;
  asio::steady_timer Timer_;
  asio::signal_set Signals_;
  MonoTime NextTick_{};
  MonoTime NextSettingsLook_{};
  MonoTime LastPacket_{};
  std::uint64_t Malformed_ = 0;
  std::uint64_t ServiceCalls_ = 0;
  std::uint64_t ServiceFailures_ = 0;
  bool ReadyTold_ = false;
  bool HallLost_ = false; ///< Other data halls serve callers better.
  MonoTime StopFrom_ = MonoTime::max(); ///< Earliest end after a stop signal.
  MonoTime StopBy_ = MonoTime::max();
};

PacketProcess::Impl::Impl(asio::io_context &Context,
                          const PacketSettings &Configured,
                          std::string SettingsPath, PlatformHooks Hooks)
    : Context_(Context), Settings_(Configured), Watch_(std::move(SettingsPath)),
      Hooks_(std::move(Hooks)),
      Packets_(Context, Settings_.Packets_,
               [this](const Endpoint &, const std::uint8_t *Data,
                      std::size_t Size) { onPacket(Data, Size); }),
      Core_(makeCore(
          Settings_, [this](const Belief &B) { onBelief(B); },
          [this](ServiceId S, DelayClass C, Micros Delay) {
            Delays_.record(tenant(S), nameOf(C), Delay);
          },
          [this](const UpstreamCheck &Wanted) { Checker_.check(Wanted); },
          [this](const ResetFlow &R) { sendReset(R); })),
      Openings_(Context,
                [this](MonoTime Now, const std::uint8_t *Data,
                       std::size_t Size) { retryOpening(Now, Data, Size); }),
      Checker_(
          Context,
          [this](Incarnation Upstream, CheckResult Result, MonoTime Began) {
            Core_.checked(monoNow(), Upstream, Result, Began);
          }),
      Reader_(randomShare()),
      Call_(Hooks_.MakeCaller_(Context, Settings_.Configuration_)),
      Links_(Context, Settings_.Control_, MaxNewsMessage, linkHooks()),
      News_(newsOptions(Settings_), newsHooks()),
      Readiness_(
          Context, Settings_.Readiness_,
          [this](const std::string &Target, const HttpServer::Reply &Answer) {
            Answer(readinessPage(pathOf(Target)));
          }),
      Timer_(Context), Signals_(Context, SIGTERM, SIGINT, SIGHUP) {
  NextSettingsLook_ = monoNow() + SettingsLookEvery;
  awaitSignal();
  serveMetrics();
  logState("started", {{"packets", formatEndpoint(Settings_.Packets_)},
                       {"data_hall", Settings_.DataHall_}});
  review();
}

void PacketProcess::Impl::onPacket(const std::uint8_t *Data, std::size_t Size) {
  LastPacket_ = monoNow();
  if (!Core_.ready() || !steer(LastPacket_, Data, Size))
    Held_.hold(LastPacket_, Data, Size);
}

/// False when the packet's upstream, or any for it, is not known yet.
bool PacketProcess::Impl::steer(MonoTime Now, const std::uint8_t *Data,
                                std::size_t Size) {
  Packet P;
  if (!Hooks_.Decode_(Data, Size, P)) {
    ++Malformed_;
    return true;
  }
  Verdict V = Core_.steer(Now, P);
  std::visit([&](const auto &Typed) { act(Typed, Data, Size); }, V);
  if (const auto *D = std::get_if<Dropped>(&V))
    return !mayPass(D->Why_);
  bool FirstOpening = P.Opens_ && P.Acknowledged_ == 0;
  if (FirstOpening && std::holds_alternative<Forward>(V))
    Openings_.sent(Now, Data, Size);
  return true;
}

/// Sends on what has waited for upstreams.
void PacketProcess::Impl::releaseHeld() {
  MonoTime Now = monoNow();
  Held_.release(Now, [this, Now](const std::uint8_t *Data, std::size_t Size) {
    return steer(Now, Data, Size);
  });
}

void PacketProcess::Impl::retryOpening(MonoTime Now, const std::uint8_t *Data,
                                       std::size_t Size) {
  Packet P;
  Hooks_.Decode_(Data, Size, P);
  Verdict V = Core_.retryOpening(Now, P);
  std::visit([&](const auto &Typed) { act(Typed, Data, Size); }, V);
}

void PacketProcess::Impl::act(const Forward &F, const std::uint8_t *Data,
                              std::size_t Size) {
  std::uint8_t Buffer[MaxPacket];
  std::size_t Length = Hooks_.EncodeForward_(F, Data, Size, Buffer);
  Packets_.send(F.To_, Buffer, Length);
}

void PacketProcess::Impl::act(const ResetFlow &R, const std::uint8_t *,
                              std::size_t) {
  sendReset(R);
}

/// Tells peers what they would else learn at the cost of requests of their own.
void PacketProcess::Impl::onBelief(const Belief &B) {
  logBelief(B);
  using Kind = UpstreamWarning::Kind;
  if (B.Kind_ == Belief::Kind::Dead)
    News_.warn(monoNow(), {B.Upstream_, Kind::Dead});
  if (B.Kind_ == Belief::Kind::Stalled)
    News_.warn(monoNow(), {B.Upstream_, Kind::Stalled});
}

void PacketProcess::Impl::sendReset(const ResetFlow &R) {
  if (R.Why_ == ErrorKind::UpstreamDead)
    logReset(R);
  std::uint8_t Buffer[MaxPacket];
  std::size_t Length = Hooks_.EncodeReset_(R, Buffer);
  Endpoint To = R.Caller_;
  To.Port_ = Settings_.Packets_.Port_;
  Packets_.send(To, Buffer, Length);
}

void PacketProcess::Impl::act(const Dropped &, const std::uint8_t *,
                              std::size_t) {}

void PacketProcess::Impl::review() {
  MonoTime Now = monoNow();
  if (Now >= NextTick_) {
    News_.tick(Now);
    noteHall(Now);
    Core_.setServing(ready());
    Core_.tick(Now);
    Openings_.setWait(Core_.openingWait());
    endWhenQuiet(Now);
    lookAtSettings(Now);
    flushLog();
    NextTick_ = Now + PacketBalancer::TickEvery;
  }
  noteReady();
  startCall(Now);
  Timer_.expires_at(
      toSteady(std::min(NextTick_, Reader_.dueAt(News_.readFrom()))));
  Timer_.async_wait([this](const asio::error_code &Error) {
    if (!Error)
      review();
  });
}

/// Once there is something to steer by: sends on what has waited for it.
void PacketProcess::Impl::noteReady() {
  if (ReadyTold_ || !Core_.ready())
    return;
  ReadyTold_ = true;
  logState("ready", {{"routing_version", Routing_->Version_},
                     {"revision", News_.through()},
                     {"held_packets", Held_.size()}});
  releaseHeld();
}

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

void PacketProcess::Impl::startCall(MonoTime Now) {
  Reader_.known(News_.through());
  std::optional<IntentCall> Call = Reader_.next(Now, News_.readFrom());
  if (!Call)
    return;
  ++ServiceCalls_;
  Call_(*Call, [this](const IntentAnswer &Answer) { onAnswer(Answer); });
}

void PacketProcess::Impl::onAnswer(const IntentAnswer &Answer) {
  MonoTime Now = monoNow();
  Reader_.answered(Now, Answer, News_.fleetSize());
  bool Done = Answer.Outcome_ == IntentAnswer::Outcome::Done;
  ServiceLog_.answered(Now, Answer);
  if (!Done)
    ++ServiceFailures_;
  if (!Done)
    News_.readFailed();
  else if (!News_.readDone(Now, Answer.Routing_, Answer.Batch_,
                           Reader_.completeAt()))
    Reader_.listAgain();
  review();
}

PeerLinkHooks PacketProcess::Impl::linkHooks() {
  PeerLinkHooks Hooks;
  Hooks.OnOpen_ = [this](LinkId Link, const std::string &Target) {
    News_.opened(monoNow(), Link, !Target.empty());
  };
  Hooks.OnMessage_ = [this](LinkId Link, const std::string &Bytes) {
    onPeerMessage(Link, Bytes);
  };
  Hooks.OnClose_ = [this](LinkId Link) { News_.closed(monoNow(), Link); };
  Hooks.OnFailed_ = [this](const std::string &Target) {
    News_.connectFailed(monoNow(), parseEndpoint(Target));
  };
  return Hooks;
}

void PacketProcess::Impl::onPeerMessage(LinkId Link, const std::string &Bytes) {
  MonoTime Now = monoNow();
  NewsMessage M;
  ErrorKind Kind = decodeNews(Bytes, Now, M);
  if (Kind == ErrorKind::None) {
    News_.received(Now, Link, M);
    return noteReady();
  }
  logState("peer_message_refused",
           {{"reason", std::string(errorRow(Kind).Name_)}});
  Links_.close(Link);
}

NewsHooks PacketProcess::Impl::newsHooks() {
  NewsHooks Hooks;
  Hooks.Send_ = [this](LinkId Link, const NewsMessage &M) {
    Links_.send(Link, encodeNews(M, monoNow()));
  };
  Hooks.Connect_ = [this](const Endpoint &Control) {
    Links_.connect(formatEndpoint(Control));
  };
  Hooks.Close_ = [this](LinkId Link) { Links_.close(Link); };
  Hooks.OnRouting_ = [this](const RoutingTablePtr &Table) {
    Routing_ = Table;
    logRouting(*Table);
    Core_.setRouting(monoNow(), Table);
  };
  Hooks.OnUpstreams_ = [this](const std::vector<UpstreamChange> &Changes,
                              bool MayReturn) {
    Core_.applyUpstreams(monoNow(), Changes, MayReturn);
    if (ReadyTold_)
      releaseHeld();
  };
  Hooks.OnWarning_ = [this](const UpstreamWarning &M) {
    Core_.warned(monoNow(), M);
  };
  Hooks.OnConfirmed_ = [this](MonoTime AsOf) {
    Core_.confirm(AsOf);
    ServiceLog_.confirmed(AsOf);
  };
  return Hooks;
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
  R.Peers_ = News_.peers();
  R.Routing_ = Routing_;
  R.Malformed_ = Malformed_;
  R.ServiceCalls_ = ServiceCalls_;
  R.ServiceFailures_ = ServiceFailures_;
  R.LogLinesDropped_ = droppedLogLines();
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
  Core_.setLimits(resetWhenKnown(Settings_), Settings_.FlowLimit_);
  logState("settings_reloaded", {{"cause", Cause}});
}

void PacketProcess::Impl::lookAtSettings(MonoTime Now) {
  if (Now < NextSettingsLook_)
    return;
  NextSettingsLook_ = Now + SettingsLookEvery;
  if (Watch_.changed())
    takeSettings("file");
}

PacketProcess::PacketProcess(asio::io_context &Context,
                             const PacketSettings &Configured,
                             std::string SettingsPath, PlatformHooks Hooks)
    : Impl_(std::make_unique<Impl>(Context, Configured, std::move(SettingsPath),
                                   std::move(Hooks))) {}
PacketProcess::~PacketProcess() = default;

} // namespace thymewall::detail

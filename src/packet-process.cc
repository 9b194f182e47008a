#include "packet-process-impl.h"

#include "clock.h"
#include "packet-log.h"

#include <algorithm>
#include <random>

namespace thymewall::detail {

namespace {

double randomJitter() {
  std::random_device Device;
  return std::uniform_real_distribution<double>(0, 1)(Device);
}

GossipOptions gossipOptions(const PacketSettings &S) {
  return {{S.Name_, S.DataHall_, S.AdvertisedControlAddress_, 0}, S.Seeds_};
}

bool isSeed(const PacketSettings &S) {
  return std::find(S.Seeds_.begin(), S.Seeds_.end(),
                   S.AdvertisedControlAddress_) != S.Seeds_.end();
}

const char *nameOf(DelayClass Class) {
  return Class == DelayClass::Open ? "open" : "request";
}

PacketBalancer makeCore(const PacketSettings &S, PacketDelayHook OnDelay,
                        CheckHook OnCheck, ResetHook OnReset,
                        WarningHook OnWarning, PlacementHook OnPlacement,
                        QueuedVerdictHook OnQueuedVerdict,
                        AdmissionEventHook OnAdmissionEvent) {
  return PacketBalancerBuilder()
      .maxStalenessForReset(resetStalenessLimit(S))
      .maxFlowAge(S.MaxFlowAge_)
      .coldBurst(S.ColdBurstFactor_, S.ColdBurstAllowance_)
      .policies(S.Placement_, S.Admission_)
      .requestsPerSlot(S.RequestsPerSlot_)
      .onDecision(logPacketDecision)
      .onUpstreamEvent(logUpstreamEvent)
      .onPlacement(std::move(OnPlacement))
      .onDelay(std::move(OnDelay))
      .onCheck(std::move(OnCheck))
      .onReset(std::move(OnReset))
      .onWarning(std::move(OnWarning))
      .onQueuedVerdict(std::move(OnQueuedVerdict))
      .onAdmissionEvent(std::move(OnAdmissionEvent))
      .build();
}

} // namespace

PacketProcess::Impl::Impl(asio::io_context &Context,
                          const PacketSettings &Configured,
                          std::string SettingsPath, PlatformHooks Hooks)
    : Context_(Context), Settings_(Configured),
      SettingsWatch_(std::move(SettingsPath)), Hooks_(std::move(Hooks)),
      PacketSocket_(Context, Settings_.PacketAddress_,
                    [this](const Endpoint &, const std::uint8_t *Data,
                           std::size_t Size) { onPacket(Data, Size); }),
      Core_(makeCore(
          Settings_,
          [this](ServiceId S, DelayClass C, Micros Delay) {
            Delays_.record(serviceLabel(S), nameOf(C), Delay);
          },
          [this](const UpstreamCheck &Request) { Checker_.check(Request); },
          [this](const ResetFlow &R) { sendReset(R); },
          [this](const UpstreamWarning &M) { Gossip_.warn(monoNow(), M); },
          [this](const PlacementChange &P) {
            logPlacement(P, serviceLabel(P.Service_));
          },
          [this](FlowId Flow, const Verdict &V) { onQueuedVerdict(Flow, V); },
          [this](const AdmissionEvent &E) { onAdmissionEvent(E); })),
      Openings_(Context,
                [this](MonoTime Now, const std::uint8_t *Data,
                       std::size_t Size) { retryOpening(Now, Data, Size); }),
      QueueTimer_(Context), Checker_(Context, checkerHooks()),
      ConfigReader_(randomJitter(), isSeed(Settings_)),
      ConfigClient_(
          Hooks_.MakeConfigClient_(Context, Settings_.ConfigServiceAddress_)),
      Links_(Context, Settings_.ControlAddress_, MaxGossipMessageBytes,
             linkHooks()),
      Gossip_(gossipOptions(Settings_), gossipHooks()),
      ReadinessServer_(
          Context, Settings_.ReadinessAddress_,
          [this](const std::string &Target, const HttpServer::Reply &Response) {
            Response(readinessPage(pathOf(Target)));
          }),
      Timer_(Context), Signals_(Context, SIGTERM, SIGINT, SIGHUP) {
  NextSettingsPollAt_ = monoNow() + SettingsPollInterval;
  FirstPeerDeadline_ = monoNow() + FirstPeerTimeout;
  Core_.onBalancerJoined(monoNow()); // others may start at the same time
  awaitSignal();
  serveMetrics();
  logState("started", {{"packets", formatEndpoint(Settings_.PacketAddress_)},
                       {"data_hall", Settings_.DataHall_}});
  runDueWork();
}

void PacketProcess::Impl::onPacket(const std::uint8_t *Data, std::size_t Size) {
  LastPacketAt_ = monoNow();
  if (!Core_.ready() || !steer(LastPacketAt_, LastPacketAt_, Data, Size))
    Held_.hold(LastPacketAt_, Data, Size);
  scheduleQueueTimer();
}

bool PacketProcess::Impl::steer(MonoTime Now, MonoTime HeldSince,
                                const std::uint8_t *Data, std::size_t Size) {
  Packet P;
  if (!Hooks_.Decode_(Data, Size, P)) {
    ++Malformed_;
    return true;
  }
  Verdict V = Core_.steerHeld(Now, HeldSince, P);
  std::visit([&](const auto &Typed) { execute(Typed, Data, Size); }, V);
  if (const auto *D = std::get_if<Dropped>(&V))
    return !isTransientError(D->Error_);
  if (const auto *Q = std::get_if<Queued>(&V))
    QueuedPackets_.try_emplace(Q->Flow_, Data, Data + Size);
  bool FirstOpening = P.Opens_ && P.Acknowledged_ == 0;
  if (FirstOpening && std::holds_alternative<Forward>(V))
    Openings_.onOpeningSent(Now, Data, Size);
  return true;
}

void PacketProcess::Impl::releaseHeldPackets() {
  MonoTime Now = monoNow();
  Held_.release(Now, [this, Now](MonoTime HeldSince, const std::uint8_t *Data,
                                 std::size_t Size) {
    return steer(Now, HeldSince, Data, Size);
  });
  scheduleQueueTimer();
}

void PacketProcess::Impl::retryOpening(MonoTime Now, const std::uint8_t *Data,
                                       std::size_t Size) {
  Packet P;
  Hooks_.Decode_(Data, Size, P);
  Verdict V = Core_.retryOpening(Now, P);
  std::visit([&](const auto &Typed) { execute(Typed, Data, Size); }, V);
}

void PacketProcess::Impl::execute(const Forward &F, const std::uint8_t *Data,
                                  std::size_t Size) {
  std::uint8_t Buffer[MaxPacketBytes];
  std::size_t Length = Hooks_.EncodeForward_(F, Data, Size, Buffer);
  PacketSocket_.send(F.To_, Buffer, Length);
}

void PacketProcess::Impl::execute(const ResetFlow &R, const std::uint8_t *,
                                  std::size_t) {
  sendReset(R);
}

void PacketProcess::Impl::sendReset(const ResetFlow &R) {
  if (R.Error_ == ErrorKind::UpstreamDead)
    logReset(R);
  std::uint8_t Buffer[MaxPacketBytes];
  std::size_t Length = Hooks_.EncodeReset_(R, Buffer);
  Endpoint To = R.Caller_;
  To.Port_ = Settings_.PacketAddress_.Port_;
  PacketSocket_.send(To, Buffer, Length);
}

void PacketProcess::Impl::execute(const Dropped &, const std::uint8_t *,
                                  std::size_t) {}

void PacketProcess::Impl::execute(const Queued &, const std::uint8_t *,
                                  std::size_t) {}

void PacketProcess::Impl::runDueWork() {
  MonoTime Now = monoNow();
  if (Now >= NextTick_) {
    updateHealth(Now); // first, so that the tick sends a new impairment
    Gossip_.tick(Now);
    updateDataHallLost(Now);
    // Behind an impaired host, late answers are no evidence against upstreams.
    Core_.setServing(ready() && StepBack_.reportedImpairment() == 0);
    Core_.setFleetSize(Gossip_.fleetSize());
    if (Core_.hasColdLimits())
      Core_.setFleet(Gossip_.fleetView(Now));
    Gossip_.setOwnLoad(Core_.ownLoad(Now));
    Core_.setFleetLoad(Now, Gossip_.fleetLoad(Now));
    Core_.tick(Now);
    Openings_.setTimeout(Core_.openingTimeout());
    stopIfQuiet(Now);
    pollSettings(Now);
    flushLog();
    NextTick_ = Now + PacketBalancer::TickInterval;
  }
  checkReady();
  if (Now >= FirstPeerDeadline_ && Gossip_.fleetSize() == 1)
    ConfigReader_.noPeersFound(Now);
  if (Gossip_.callers() == 1)
    ConfigReader_.noOtherCallers(Now);
  startConfigCall(Now);
  Timer_.expires_at(
      toSteady(std::min(NextTick_, ConfigReader_.dueAt(Gossip_.nextReadAt()))));
  Timer_.async_wait([this](const asio::error_code &Error) {
    if (!Error)
      runDueWork();
  });
}

void PacketProcess::Impl::checkReady() {
  if (ReadyLogged_ || !Core_.ready())
    return;
  ReadyLogged_ = true;
  logState("ready", {{"routing_version", Routing_->Version_},
                     {"revision", Gossip_.through()},
                     {"held_packets", Held_.size()}});
  releaseHeldPackets();
}

PacketProcess::PacketProcess(asio::io_context &Context,
                             const PacketSettings &Configured,
                             std::string SettingsPath, PlatformHooks Hooks)
    : Impl_(std::make_unique<Impl>(Context, Configured, std::move(SettingsPath),
                                   std::move(Hooks))) {}
PacketProcess::~PacketProcess() = default;

} // namespace thymewall::detail

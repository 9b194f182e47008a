#include "packet-process-impl.h"

#include "clock.h"
#include "packet-log.h"

#include <algorithm>
#include <random>

namespace thymewall::detail {

namespace {

double randomShare() {
  std::random_device Device;
  return std::uniform_real_distribution<double>(0, 1)(Device);
}

/// A refusal that ends once upstreams are published: all of them are missing
/// for up to 2 s after the configuration service was away.
bool mayPass(ErrorKind Why) {
  return Why == ErrorKind::NoneLeft || Why == ErrorKind::UnknownCookie;
}

NewsOptions newsOptions(const PacketSettings &S) {
  return {{S.Name_, S.DataHall_, S.AdvertisedControl_, 0}, S.Seeds_};
}

bool isSeed(const PacketSettings &S) {
  return std::find(S.Seeds_.begin(), S.Seeds_.end(), S.AdvertisedControl_) !=
         S.Seeds_.end();
}

const char *nameOf(DelayClass Class) {
  return Class == DelayClass::Open ? "open" : "request";
}

PacketBalancer makeCore(const PacketSettings &S, PacketDelayHook OnDelay,
                        CheckHook OnCheck, ResetHook OnReset,
                        WarningHook OnWarning) {
  return PacketBalancerBuilder()
      .resetWhenKnown(resetWhenKnown(S))
      .flowLimit(S.FlowLimit_)
      .coldOver(S.ColdOver_, S.ColdSlack_)
      .onDecision(logDecisionOn)
      .onBelief(logBelief)
      .onDelay(std::move(OnDelay))
      .onCheck(std::move(OnCheck))
      .onReset(std::move(OnReset))
      .onWarning(std::move(OnWarning))
      .build();
}

} // namespace

PacketProcess::Impl::Impl(asio::io_context &Context,
                          const PacketSettings &Configured,
                          std::string SettingsPath, PlatformHooks Hooks)
    : Context_(Context), Settings_(Configured), Watch_(std::move(SettingsPath)),
      Hooks_(std::move(Hooks)),
      Packets_(Context, Settings_.Packets_,
               [this](const Endpoint &, const std::uint8_t *Data,
                      std::size_t Size) { onPacket(Data, Size); }),
      Core_(makeCore(
          Settings_,
          [this](ServiceId S, DelayClass C, Micros Delay) {
            Delays_.record(tenant(S), nameOf(C), Delay);
          },
          [this](const UpstreamCheck &Wanted) { Checker_.check(Wanted); },
          [this](const ResetFlow &R) { sendReset(R); },
          [this](const UpstreamWarning &M) { News_.warn(monoNow(), M); })),
      Openings_(Context,
                [this](MonoTime Now, const std::uint8_t *Data,
                       std::size_t Size) { retryOpening(Now, Data, Size); }),
      Checker_(Context, checkerHooks()),
      Reader_(randomShare(), isSeed(Settings_)),
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
  PeersBy_ = monoNow() + FirstPeerWithin;
  Core_.arrived(monoNow()); // others may come with it
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
    Core_.setFleetSize(News_.fleetSize());
    if (Core_.limitsCold())
      Core_.setFleet(News_.fleetView(Now));
    Core_.tick(Now);
    Openings_.setWait(Core_.openingWait());
    endWhenQuiet(Now);
    lookAtSettings(Now);
    flushLog();
    NextTick_ = Now + PacketBalancer::TickEvery;
  }
  noteReady();
  if (Now >= PeersBy_ && News_.fleetSize() == 1)
    Reader_.noPeers(Now);
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

PacketProcess::PacketProcess(asio::io_context &Context,
                             const PacketSettings &Configured,
                             std::string SettingsPath, PlatformHooks Hooks)
    : Impl_(std::make_unique<Impl>(Context, Configured, std::move(SettingsPath),
                                   std::move(Hooks))) {}
PacketProcess::~PacketProcess() = default;

} // namespace thymewall::detail

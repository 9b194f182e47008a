#include "packet-process.h"

#include "http-server.h"
#include "thymewall/log.h"
#include "udp-socket.h"

#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>
#include <csignal>
#include <random>

namespace thymewall::detail {

namespace {

MonoTime now() {
  auto Mono = std::chrono::steady_clock::now().time_since_epoch();
  return MonoTime(std::chrono::duration_cast<Micros>(Mono));
}

std::chrono::steady_clock::time_point steady(MonoTime At) {
  return std::chrono::steady_clock::time_point(At.time_since_epoch());
}

/// The fabric asks for readiness twice a second and takes a balancer out after
/// two bad answers; one more second for packets under way.
constexpr Micros FabricNotices = std::chrono::milliseconds(2000);
/// No packet for this long after that: the fabric sends nothing any more.
constexpr Micros QuietFor = std::chrono::milliseconds(1000);
/// Before the platform would end the process by force.
constexpr Micros StopMargin = std::chrono::milliseconds(600);

double randomShare() {
  std::random_device Device;
  return std::uniform_real_distribution<double>(0, 1)(Device);
}

PacketBalancer makeCore(const PacketSettings &S) {
  // Half a second of the bound is left for the packet and for the clocks.
  constexpr Micros Margin = std::chrono::milliseconds(500);
  return PacketBalancerBuilder()
      .resetWhenKnown(std::max(S.RoutingWithin_ - Margin, Micros(0)))
      .flowLimit(S.FlowLimit_)
      .build();
}

} // namespace

class PacketProcess::Impl {
public:
  Impl(asio::io_context &Context, const PacketSettings &Configured,
       PlatformHooks Hooks);

private:
  void onPacket(const std::uint8_t *Data, std::size_t Size);
  void act(const Forward &F, const std::uint8_t *Data, std::size_t Size);
  void act(const ResetFlow &R, const std::uint8_t *Data, std::size_t Size);
  void act(const Dropped &D, const std::uint8_t *Data, std::size_t Size);
  void onAnswer(const IntentAnswer &Answer);
  void review();
  void endWhenQuiet(MonoTime Now);
  void startCall(MonoTime Now);
  HttpPage page(const std::string &Path);
  void awaitStop();

  asio::io_context &Context_;
  PacketSettings Settings_;
  PlatformHooks Hooks_;
  PacketBalancer Core_;
  IntentReader Reader_;
  UpstreamList List_;
  IntentCaller Call_;
  UdpSocket Packets_;
  HttpServer Readiness_;
  asio::steady_timer Timer_;
  asio::signal_set Signals_;
  MonoTime NextTick_{};
  MonoTime LastPacket_{};
  MonoTime StopFrom_ = MonoTime::max(); ///< Earliest end after a stop signal.
  MonoTime StopBy_ = MonoTime::max();
};

PacketProcess::Impl::Impl(asio::io_context &Context,
                          const PacketSettings &Configured, PlatformHooks Hooks)
    : Context_(Context), Settings_(Configured), Hooks_(std::move(Hooks)),
      Core_(makeCore(Settings_)), Reader_(randomShare()),
      Call_(Hooks_.MakeCaller_(Context, Settings_.Configuration_)),
      Packets_(Context, Settings_.Packets_,
               [this](const Endpoint &, const std::uint8_t *Data,
                      std::size_t Size) { onPacket(Data, Size); }),
      Readiness_(Context, Settings_.Readiness_,
                 [this](const std::string &Path) { return page(Path); }),
      Timer_(Context), Signals_(Context, SIGTERM, SIGINT) {
  awaitStop();
  review();
}

void PacketProcess::Impl::onPacket(const std::uint8_t *Data, std::size_t Size) {
  LastPacket_ = now();
  Packet P;
  if (!Hooks_.Decode_(Data, Size, P))
    return;
  Verdict V = Core_.steer(LastPacket_, P);
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
  std::uint8_t Buffer[MaxPacket];
  std::size_t Length = Hooks_.EncodeReset_(R, Buffer);
  Endpoint To = R.Caller_;
  To.Port_ = Settings_.Packets_.Port_;
  Packets_.send(To, Buffer, Length);
}

void PacketProcess::Impl::act(const Dropped &, const std::uint8_t *,
                              std::size_t) {}

void PacketProcess::Impl::review() {
  MonoTime Now = now();
  if (Now >= NextTick_) {
    Core_.tick(Now);
    endWhenQuiet(Now);
    NextTick_ = Now + PacketBalancer::TickEvery;
  }
  startCall(Now);
  Timer_.expires_at(steady(std::min(NextTick_, Reader_.dueAt())));
  Timer_.async_wait([this](const asio::error_code &Error) {
    if (!Error)
      review();
  });
}

/// After a stop signal: forwards until the fabric sends nothing any more.
void PacketProcess::Impl::endWhenQuiet(MonoTime Now) {
  bool Quiet = Now >= StopFrom_ && Now - LastPacket_ >= QuietFor;
  if (!Quiet && Now < StopBy_)
    return;
  logState("stopped", {{"quiet", Quiet ? "true" : "false"}});
  Context_.stop();
}

void PacketProcess::Impl::startCall(MonoTime Now) {
  std::optional<IntentCall> Call = Reader_.next(Now);
  if (Call)
    Call_(*Call, [this](const IntentAnswer &Answer) { onAnswer(Answer); });
}

void PacketProcess::Impl::onAnswer(const IntentAnswer &Answer) {
  MonoTime Now = now();
  Reader_.answered(Now, Answer);
  if (Answer.Outcome_ == IntentAnswer::Outcome::Done) {
    if (Answer.Routing_)
      Core_.setRouting(Now, Answer.Routing_);
    std::vector<UpstreamChange> Changes;
    if (List_.apply(Answer.Batch_, Changes))
      Core_.applyUpstreams(Now, Changes, Reader_.wasAway());
    else
      Reader_.listAgain();
    Core_.confirm(Reader_.sentAt());
  }
  review();
}

HttpPage PacketProcess::Impl::page(const std::string &Path) {
  if (Path != Hooks_.ReadinessPath_)
    return {404, "text/plain", ""};
  bool Ready = Core_.ready() && StopBy_ == MonoTime::max();
  return {Ready ? 200U : 503U, "text/plain", ""};
}

void PacketProcess::Impl::awaitStop() {
  Signals_.async_wait([this](const asio::error_code &Error, int) {
    if (Error)
      return;
    logState("stopping", {});
    StopFrom_ = std::min(StopFrom_, now() + FabricNotices);
    StopBy_ = std::min(StopBy_, now() + Settings_.StopWithin_ - StopMargin);
    awaitStop();
  });
}

PacketProcess::PacketProcess(asio::io_context &Context,
                             const PacketSettings &Configured,
                             PlatformHooks Hooks)
    : Impl_(std::make_unique<Impl>(Context, Configured, std::move(Hooks))) {}
PacketProcess::~PacketProcess() = default;

} // namespace thymewall::detail

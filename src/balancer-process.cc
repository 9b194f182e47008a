#include "balancer-process.h"

#include "clock.h"
#include "control-plane.h"
#include "platform-client.h"
#include "status-page.h"
#include "thymewall/balancer.h"
#include "thymewall/log.h"
#include "thymewall/metrics.h"
#include "thymewall/zone.h"
#include "udp-socket.h"

#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <csignal>
#include <map>
#include <random>
#include <xxhash.h>

namespace thymewall::detail {

namespace {

/// News that no `RereadSources` asked for: enough for a process that has just
/// started, not for one that has woken late.
constexpr std::uint64_t Unasked = 0;
/// Keeps the calls of a whole fleet that finds the platform down under 1,000 a
/// second, at two documents a host.
constexpr std::chrono::milliseconds PausePerHost(2);
constexpr auto WatchReviewEvery = std::chrono::seconds(1);

Moment now() { return {monoNow(), wallNow()}; }

std::uint64_t randomNumber() {
  std::random_device Device;
  return std::uint64_t{Device()} << 32 | Device();
}

Balancer makeCore(const Settings &S, Incarnation Self, DelayHook OnDelay) {
  return BalancerBuilder()
      .name(S.Name_)
      .dataAddress(S.Data_)
      .incarnation(Self)
      .seed(randomNumber())
      .keys(S.Keys_)
      .zones(zoneClock())
      .onDelay(std::move(OnDelay))
      .build();
}

const char *className(RequestClass Class) {
  switch (Class) {
  case RequestClass::Open:
    return "open";
  case RequestClass::Repeatable:
    return "repeatable";
  case RequestClass::Once:
    return "once";
  }
  return "";
}

} // namespace

class BalancerProcess::Impl {
public:
  Impl(asio::io_context &Context, const Settings &Configured);

private:
  using Received = void (Impl::*)(const Endpoint &, const std::uint8_t *,
                                  std::size_t);
  UdpSocket::ReceiveHandler receiver(Received Function);
  void fromUpstream(const Endpoint &From, const std::uint8_t *Data,
                    std::size_t Size);
  void fromPeer(const Endpoint &From, const std::uint8_t *Data,
                std::size_t Size);
  void fromCaller(ServiceId Service, const Endpoint &From,
                  const std::uint8_t *Data, std::size_t Size);
  /// Counts what a decoder refused.
  bool takes(ErrorKind Decoded) {
    if (Decoded != ErrorKind::None)
      ++Undecoded_[static_cast<std::size_t>(Decoded)];
    return Decoded == ErrorKind::None;
  }
  void give(const Event &What) { Core_.handle(now(), What, Sink_); }

  // Actions of the core, one overload each.
  void act(const ToCaller &A);
  void act(const ToUpstream &A);
  void act(const ToPeer &A);
  void act(const InForce &A);
  void act(const RereadSources &A);
  void act(const TellSuccession &A);
  void act(const Stopped &A);

  void onPlatform(const PlatformAnswer &Answer);
  void onDocument(DocumentKind Kind, const std::string &Text,
                  const std::string &Source, std::uint64_t Asked);
  void onDeclaration(const std::string &Text, const std::string &Source,
                     std::uint64_t Asked);
  void onHosts(const std::string &Text, const std::string &Source);
  ControlHooks controlHooks();
  void tick();
  void reviewWatching();
  StatusReport report();
  std::string tenant(ServiceId Id) const;

  asio::io_context &Context_;
  Settings Settings_;
  Incarnation Self_;
  ActionSink Sink_;
  DelayMetrics Delays_;
  Balancer Core_;
  UdpSocket Upstream_;
  UdpSocket Peers_;
  std::map<ServiceId, std::unique_ptr<UdpSocket>> Services_;
  ControlPlane Control_;
  PlatformClient Platform_;
  asio::steady_timer TickTimer_;
  asio::steady_timer WatchTimer_;
  asio::signal_set Signals_;
  DeclarationPtr Declaration_;
  HostListPtr Hosts_;
  /// Datagrams that never reached the core, by kind.
  decltype(Counters::Errors_) Undecoded_{};
  std::uint64_t Asked_ = 0; ///< By the last `RereadSources`.
  HttpServer Status_;
};

BalancerProcess::Impl::Impl(asio::io_context &Context,
                            const Settings &Configured)
    : Context_(Context), Settings_(Configured),
      Self_(static_cast<Incarnation>(randomNumber())),
      Sink_([this](const Action &A) {
        std::visit([this](const auto &Typed) { act(Typed); }, A);
      }),
      Core_(makeCore(Settings_, Self_,
                     [this](ServiceId S, RequestClass C, Micros Delay) {
                       Delays_.record(tenant(S), className(C), Delay);
                     })),
      Upstream_(Context, Settings_.Upstream_, receiver(&Impl::fromUpstream)),
      Peers_(Context, Settings_.Data_, receiver(&Impl::fromPeer)),
      Control_(Context, Settings_, Self_, controlHooks()),
      Platform_(Context, Settings_.Platform_,
                [this](const PlatformAnswer &A) { onPlatform(A); }),
      TickTimer_(Context), WatchTimer_(Context),
      Signals_(Context, SIGTERM, SIGINT),
      Status_(
          Context, Settings_.Status_,
          [this](const std::string &Target, const HttpServer::Reply &Reply) {
            Reply(statusPage(report(), pathOf(Target)));
          }) {
  Signals_.async_wait([this](const asio::error_code &Error, int) {
    if (Error)
      return;
    logState("stopping", {});
    Control_.setLeaving();
    give(StopAsked{});
  });
  logState("started", {{"data", formatEndpoint(Settings_.Data_)},
                       {"incarnation", std::to_string(raw(Self_))}});
  tick();
  reviewWatching();
}

UdpSocket::ReceiveHandler BalancerProcess::Impl::receiver(Received Function) {
  return [this, Function](const Endpoint &From, const std::uint8_t *Data,
                          std::size_t Size) {
    (this->*Function)(From, Data, Size);
  };
}

void BalancerProcess::Impl::fromUpstream(const Endpoint &From,
                                         const std::uint8_t *Data,
                                         std::size_t Size) {
  FromUpstream E{From, {}};
  if (takes(decode(Data, Size, E.Message_)))
    give(E);
}

void BalancerProcess::Impl::fromPeer(const Endpoint &From,
                                     const std::uint8_t *Data,
                                     std::size_t Size) {
  FromPeer E{From, {}};
  if (takes(decodePeer(Data, Size, Settings_.Keys_, E.Datagram_)))
    give(E);
}

void BalancerProcess::Impl::fromCaller(ServiceId Service, const Endpoint &From,
                                       const std::uint8_t *Data,
                                       std::size_t Size) {
  FromCaller E{From, {}, Size};
  if (!takes(decode(Data, Size, E.Message_)))
    return;
  E.Message_.Service_ = Service;
  give(E);
}

void BalancerProcess::Impl::act(const ToCaller &A) {
  auto Known = Services_.find(A.Message_.Service_);
  if (Known == Services_.end())
    return;
  std::uint8_t Buffer[MaxDatagram + MaxHeader];
  std::size_t Size = encode(A.Message_, Buffer, sizeof Buffer);
  if (Size != 0)
    Known->second->send(A.To_, Buffer, Size);
}

void BalancerProcess::Impl::act(const ToUpstream &A) {
  std::uint8_t Buffer[MaxDatagram + MaxHeader];
  std::size_t Size = encode(A.Message_, Buffer, sizeof Buffer);
  if (Size != 0)
    Upstream_.send(A.To_, Buffer, Size);
}

void BalancerProcess::Impl::act(const ToPeer &A) {
  std::uint8_t Buffer[MaxDatagram + 2 * MaxHeader];
  std::size_t Size =
      encodePeer(A.Datagram_, Settings_.Keys_[0], Buffer, sizeof Buffer);
  if (Size != 0)
    Peers_.send(A.To_, Buffer, Size);
}

void BalancerProcess::Impl::act(const InForce &A) {
  Declaration_ = A.Declaration_;
  for (const Service &S : Declaration_->Services_) {
    if (Services_.count(S.Id_) != 0)
      continue;
    Endpoint Local = Settings_.Callers_;
    Local.Port_ = S.Port_;
    ServiceId Id = S.Id_;
    try {
      Services_[Id] = std::make_unique<UdpSocket>(
          Context_, Local,
          [this, Id](const Endpoint &From, const std::uint8_t *Data,
                     std::size_t Size) { fromCaller(Id, From, Data, Size); });
    } catch (const std::system_error &Error) {
      logState("service_socket_failed",
               {{"service", S.Name_}, {"reason", Error.what()}});
    }
  }
  Platform_.setKnown(DocumentKind::Declaration, Declaration_->Version_);
  Control_.setDocument(DocumentKind::Declaration,
                       {Declaration_->Version_, Declaration_->Digest_},
                       Declaration_->Text_);
  logState("declaration_in_force",
           {{"version", std::to_string(Declaration_->Version_)}});
}

void BalancerProcess::Impl::act(const RereadSources &A) {
  logState("late_wake", {});
  Asked_ = A.Asked_;
  Platform_.readNow(A.Asked_);
  Control_.askFreshness(A.Asked_);
}

void BalancerProcess::Impl::act(const TellSuccession &A) {
  Control_.tell(A.Succession_);
}

void BalancerProcess::Impl::act(const Stopped &) {
  logState("stopped", {});
  Context_.stop();
}

void BalancerProcess::Impl::onPlatform(const PlatformAnswer &Answer) {
  Control_.noteWatched();
  if (Answer.Text_.empty()) {
    if (Answer.Kind_ == DocumentKind::Declaration)
      give(SourceConfirmed{Answer.Asked_});
    return;
  }
  onDocument(Answer.Kind_, Answer.Text_, "platform", Answer.Asked_);
}

void BalancerProcess::Impl::onDocument(DocumentKind Kind,
                                       const std::string &Text,
                                       const std::string &Source,
                                       std::uint64_t Asked) {
  if (Kind == DocumentKind::Declaration)
    return onDeclaration(Text, Source, Asked);
  onHosts(Text, Source);
}

void BalancerProcess::Impl::onDeclaration(const std::string &Text,
                                          const std::string &Source,
                                          std::uint64_t Asked) {
  auto Refused = [](const Problems &Found) {
    logState("declaration_refused", {{"count", std::to_string(Found.size())},
                                     {"first", format(Found.front())}});
  };
  boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<void> {
        BOOST_LEAF_AUTO(Read, parseDeclaration(Text, Source, zoneClock()));
        give(DeclarationRead{Read, Asked});
        return {};
      },
      Refused, [] { logState("declaration_refused", {}); });
}

void BalancerProcess::Impl::onHosts(const std::string &Text,
                                    const std::string &Source) {
  boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<void> {
        BOOST_LEAF_AUTO(Read, parseHostList(Text, Source));
        if (Hosts_ && Read->Version_ <= Hosts_->Version_)
          return {};
        Hosts_ = Read;
        give(HostListRead{Read});
        Platform_.setKnown(DocumentKind::Hosts, Read->Version_);
        Platform_.setLongestPause(PausePerHost * Read->Hosts_.size());
        Control_.setHosts(Read);
        Control_.setDocument(
            DocumentKind::Hosts,
            {Read->Version_, XXH64(Text.data(), Text.size(), 0)}, Text);
        return {};
      },
      [](const Problems &Found) {
        logState("host_list_refused", {{"first", format(Found.front())}});
      },
      [] { logState("host_list_refused", {}); });
}

ControlHooks BalancerProcess::Impl::controlHooks() {
  ControlHooks Hooks;
  Hooks.OnHeartbeat_ = [this](const Heartbeat &M) {
    give(PeerSeen{static_cast<BalancerId>(nameId(M.Name_)), M.Data_,
                  M.Incarnation_, M.Leaving_});
  };
  Hooks.OnDocument_ = [this](DocumentKind Kind, const std::string &Text) {
    // A peer's document is taken as fresh once the peers are asked again.
    onDocument(Kind, Text, "peer", Unasked);
    if (!Core_.status().Ready_)
      Control_.askFreshness(Asked_);
  };
  Hooks.OnSuccession_ = [this](const Succession &S) {
    give(SuccessionRead{S});
  };
  Hooks.OnConfirmed_ = [this](std::uint64_t Asked) {
    give(SourceConfirmed{Asked});
  };
  return Hooks;
}

void BalancerProcess::Impl::tick() {
  give(Tick{});
  TickTimer_.expires_after(Balancer::TickEvery);
  TickTimer_.async_wait([this](const asio::error_code &Error) {
    if (!Error)
      tick();
  });
}

/// A few balancers of each data hall watch the platform; the others hear of
/// changes from their peers.
void BalancerProcess::Impl::reviewWatching() {
  bool Watching =
      !Hosts_ ||
      watchesPlatform(*Hosts_, Settings_.Name_, Settings_.DataHall_,
                      Settings_.WatchersPerHall_, Control_.silentWatchers());
  Platform_.setWatching(Watching);
  WatchTimer_.expires_after(WatchReviewEvery);
  WatchTimer_.async_wait([this](const asio::error_code &Error) {
    if (!Error)
      reviewWatching();
  });
}

StatusReport BalancerProcess::Impl::report() {
  ControlCounters Control = Control_.counters();
  StatusReport R;
  R.Name_ = Settings_.Name_;
  R.Status_ = Core_.status();
  R.Counters_ = Core_.counters();
  for (std::size_t I = 0; I < Undecoded_.size(); ++I)
    R.Counters_.Errors_[I] += Undecoded_[I];
  R.Delays_ = &Delays_;
  R.Declaration_ = Declaration_;
  R.Numbers_ = {{"control_bytes_sent", Control.BytesSent_},
                {"control_bytes_received", Control.BytesReceived_},
                {"control_messages_sent", Control.MessagesSent_},
                {"control_messages_refused", Control.MessagesRefused_},
                {"control_links", Control.Links_},
                {"platform_calls", Platform_.calls()}};
  return R;
}

std::string BalancerProcess::Impl::tenant(ServiceId Id) const {
  const Service *Known = Declaration_ ? Declaration_->service(Id) : nullptr;
  return Known ? Known->Name_ : "unknown";
}

BalancerProcess::BalancerProcess(asio::io_context &Context,
                                 const Settings &Configured)
    : Impl_(std::make_unique<Impl>(Context, Configured)) {}
BalancerProcess::~BalancerProcess() = default;

} // namespace thymewall::detail

#include "balancer-process.h"

#include "clock.h"
#include "control-plane.h"
#include "platform-client.h"
#include "status-page.h"
#include "thymewall/balancer.h"
#include "thymewall/log.h"
#include "thymewall/metrics.h"
#include "thymewall/time-zone.h"
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

/// Identifier of documents that answer no `RefreshDocuments`. After a late wake
/// they do not make the core ready.
constexpr std::uint64_t NoRefresh = 0;
/// Maximum retry delay for each host of the fleet. Bounds the rate of calls of
/// the whole fleet while the platform is down.
constexpr std::chrono::milliseconds MaxRetryDelayPerHost(2);
constexpr auto WatchReviewInterval = std::chrono::seconds(1);

Moment now() { return {monoNow(), wallNow()}; }

std::uint64_t randomNumber() {
  std::random_device Device;
  return std::uint64_t{Device()} << 32 | Device();
}

Balancer makeBalancer(const Settings &S, Incarnation Self, DelayHook OnDelay) {
  return BalancerBuilder()
      .name(S.Name_)
      .dataAddress(S.Data_)
      .incarnation(Self)
      .seed(randomNumber())
      .keys(S.Keys_)
      .zones(timeZoneClock())
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
  using DatagramHandler = void (Impl::*)(const Endpoint &, const std::uint8_t *,
                                         std::size_t);
  UdpSocket::ReceiveHandler receiver(DatagramHandler Function);
  void onUpstream(const Endpoint &From, const std::uint8_t *Data,
                  std::size_t Size);
  void onPeer(const Endpoint &From, const std::uint8_t *Data, std::size_t Size);
  void onCaller(ServiceId Service, const Endpoint &From,
                const std::uint8_t *Data, std::size_t Size);
  /// Counts a decoding error; returns true if there was none.
  bool checkDecoded(ErrorKind Decoded) {
    if (Decoded != ErrorKind::None)
      ++DecodeErrors_[static_cast<std::size_t>(Decoded)];
    return Decoded == ErrorKind::None;
  }
  void dispatch(const Event &What) { Core_.handle(now(), What, Sink_); }

  void execute(const ToCaller &A);
  void execute(const ToUpstream &A);
  void execute(const ToPeer &A);
  void execute(const DeclarationApplied &A);
  void execute(const RefreshDocuments &A);
  void execute(const BroadcastSuccession &A);
  void execute(const Stopped &A);

  void onPlatformAnswer(const PlatformAnswer &Answer);
  void onDocument(DocumentKind Kind, const std::string &Text,
                  const std::string &Source, std::uint64_t RefreshId);
  void onDeclaration(const std::string &Text, const std::string &Source,
                     std::uint64_t RefreshId);
  void onHosts(const std::string &Text, const std::string &Source);
  ControlHooks controlHooks();
  void tick();
  void updateWatching();
  StatusReport report();
  std::string serviceName(ServiceId Id) const;

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
  /// Datagrams that could not be decoded, by error kind.
  decltype(Counters::Errors_) DecodeErrors_{};
  std::uint64_t LastRefreshId_ = 0; ///< Of the last `RefreshDocuments`.
  HttpServer Status_;
};

BalancerProcess::Impl::Impl(asio::io_context &Context,
                            const Settings &Configured)
    : Context_(Context), Settings_(Configured),
      Self_(static_cast<Incarnation>(randomNumber())),
      Sink_([this](const Action &A) {
        std::visit([this](const auto &Typed) { execute(Typed); }, A);
      }),
      Core_(makeBalancer(Settings_, Self_,
                         [this](ServiceId S, RequestClass C, Micros Delay) {
                           Delays_.record(serviceName(S), className(C), Delay);
                         })),
      Upstream_(Context, Settings_.Upstream_, receiver(&Impl::onUpstream)),
      Peers_(Context, Settings_.Data_, receiver(&Impl::onPeer)),
      Control_(Context, Settings_, Self_, controlHooks()),
      Platform_(Context, Settings_.Platform_,
                [this](const PlatformAnswer &A) { onPlatformAnswer(A); }),
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
    dispatch(StopRequested{});
  });
  logState("started", {{"data", formatEndpoint(Settings_.Data_)},
                       {"incarnation", std::to_string(raw(Self_))}});
  tick();
  updateWatching();
}

UdpSocket::ReceiveHandler
BalancerProcess::Impl::receiver(DatagramHandler Function) {
  return [this, Function](const Endpoint &From, const std::uint8_t *Data,
                          std::size_t Size) {
    (this->*Function)(From, Data, Size);
  };
}

void BalancerProcess::Impl::onUpstream(const Endpoint &From,
                                       const std::uint8_t *Data,
                                       std::size_t Size) {
  FromUpstream E{From, {}};
  if (checkDecoded(decode(Data, Size, E.Message_)))
    dispatch(E);
}

void BalancerProcess::Impl::onPeer(const Endpoint &From,
                                   const std::uint8_t *Data, std::size_t Size) {
  FromPeer E{From, {}};
  if (checkDecoded(decodePeer(Data, Size, Settings_.Keys_, E.Datagram_)))
    dispatch(E);
}

void BalancerProcess::Impl::onCaller(ServiceId Service, const Endpoint &From,
                                     const std::uint8_t *Data,
                                     std::size_t Size) {
  FromCaller E{From, {}, Size};
  if (!checkDecoded(decode(Data, Size, E.Message_)))
    return;
  E.Message_.Service_ = Service;
  dispatch(E);
}

void BalancerProcess::Impl::execute(const ToCaller &A) {
  auto It = Services_.find(A.Message_.Service_);
  if (It == Services_.end())
    return;
  std::uint8_t Buffer[MaxDatagramSize + MaxHeaderSize];
  std::size_t Size = encode(A.Message_, Buffer, sizeof Buffer);
  if (Size != 0)
    It->second->send(A.To_, Buffer, Size);
}

void BalancerProcess::Impl::execute(const ToUpstream &A) {
  std::uint8_t Buffer[MaxDatagramSize + MaxHeaderSize];
  std::size_t Size = encode(A.Message_, Buffer, sizeof Buffer);
  if (Size != 0)
    Upstream_.send(A.To_, Buffer, Size);
}

void BalancerProcess::Impl::execute(const ToPeer &A) {
  std::uint8_t Buffer[MaxDatagramSize + 2 * MaxHeaderSize];
  std::size_t Size =
      encodePeer(A.Datagram_, Settings_.Keys_[0], Buffer, sizeof Buffer);
  if (Size != 0)
    Peers_.send(A.To_, Buffer, Size);
}

void BalancerProcess::Impl::execute(const DeclarationApplied &A) {
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
                     std::size_t Size) { onCaller(Id, From, Data, Size); });
    } catch (const std::system_error &Error) {
      logState("service_socket_failed",
               {{"service", S.Name_}, {"reason", Error.what()}});
    }
  }
  Platform_.setKnownVersion(DocumentKind::Declaration, Declaration_->Version_);
  Control_.setDocument(DocumentKind::Declaration,
                       {Declaration_->Version_, Declaration_->Digest_},
                       Declaration_->Text_);
  logState("declaration_in_force",
           {{"version", std::to_string(Declaration_->Version_)}});
}

void BalancerProcess::Impl::execute(const RefreshDocuments &A) {
  logState("late_wake", {});
  LastRefreshId_ = A.RefreshId_;
  Platform_.readNow(A.RefreshId_);
  Control_.requestHeartbeats(A.RefreshId_);
}

void BalancerProcess::Impl::execute(const BroadcastSuccession &A) {
  Control_.broadcast(A.Succession_);
}

void BalancerProcess::Impl::execute(const Stopped &) {
  logState("stopped", {});
  Context_.stop();
}

void BalancerProcess::Impl::onPlatformAnswer(const PlatformAnswer &Answer) {
  Control_.recordPlatformAnswer();
  if (Answer.Text_.empty()) {
    if (Answer.Kind_ == DocumentKind::Declaration)
      dispatch(DeclarationUnchanged{Answer.RefreshId_});
    return;
  }
  onDocument(Answer.Kind_, Answer.Text_, "platform", Answer.RefreshId_);
}

void BalancerProcess::Impl::onDocument(DocumentKind Kind,
                                       const std::string &Text,
                                       const std::string &Source,
                                       std::uint64_t RefreshId) {
  if (Kind == DocumentKind::Declaration)
    return onDeclaration(Text, Source, RefreshId);
  onHosts(Text, Source);
}

void BalancerProcess::Impl::onDeclaration(const std::string &Text,
                                          const std::string &Source,
                                          std::uint64_t RefreshId) {
  auto LogRefused = [](const Problems &Found) {
    logState("declaration_refused", {{"count", std::to_string(Found.size())},
                                     {"first", format(Found.front())}});
  };
  boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<void> {
        BOOST_LEAF_AUTO(Read, parseDeclaration(Text, Source, timeZoneClock()));
        dispatch(DeclarationRead{Read, RefreshId});
        return {};
      },
      LogRefused, [] { logState("declaration_refused", {}); });
}

void BalancerProcess::Impl::onHosts(const std::string &Text,
                                    const std::string &Source) {
  boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<void> {
        BOOST_LEAF_AUTO(Read, parseHostList(Text, Source));
        if (Hosts_ && Read->Version_ <= Hosts_->Version_)
          return {};
        Hosts_ = Read;
        dispatch(HostListRead{Read});
        Platform_.setKnownVersion(DocumentKind::Hosts, Read->Version_);
        Platform_.setMaxRetryDelay(MaxRetryDelayPerHost * Read->Hosts_.size());
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
    dispatch(HeartbeatReceived{static_cast<BalancerId>(nameId(M.Name_)),
                               M.Data_, M.Incarnation_, M.Leaving_});
  };
  Hooks.OnDocument_ = [this](DocumentKind Kind, const std::string &Text) {
    // The document counts as current once a peer confirms it.
    onDocument(Kind, Text, "peer", NoRefresh);
    if (!Core_.status().Ready_)
      Control_.requestHeartbeats(LastRefreshId_);
  };
  Hooks.OnSuccession_ = [this](const Succession &S) {
    dispatch(SuccessionReceived{S});
  };
  Hooks.OnConfirmed_ = [this](std::uint64_t RefreshId) {
    dispatch(DeclarationUnchanged{RefreshId});
  };
  return Hooks;
}

void BalancerProcess::Impl::tick() {
  dispatch(Tick{});
  TickTimer_.expires_after(Balancer::TickInterval);
  TickTimer_.async_wait([this](const asio::error_code &Error) {
    if (!Error)
      tick();
  });
}

/// Watches the platform if this balancer is one of the few of its data hall
/// that do; the others get changes from their peers.
void BalancerProcess::Impl::updateWatching() {
  bool Watching =
      !Hosts_ ||
      watchesPlatform(*Hosts_, Settings_.Name_, Settings_.DataHall_,
                      Settings_.WatchersPerHall_, Control_.staleWatchers());
  Platform_.setWatching(Watching);
  WatchTimer_.expires_after(WatchReviewInterval);
  WatchTimer_.async_wait([this](const asio::error_code &Error) {
    if (!Error)
      updateWatching();
  });
}

StatusReport BalancerProcess::Impl::report() {
  ControlCounters Control = Control_.counters();
  StatusReport R;
  R.Name_ = Settings_.Name_;
  R.Status_ = Core_.status();
  R.Counters_ = Core_.counters();
  for (std::size_t I = 0; I < DecodeErrors_.size(); ++I)
    R.Counters_.Errors_[I] += DecodeErrors_[I];
  R.Delays_ = &Delays_;
  R.Declaration_ = Declaration_;
  R.ProcessCounters_ = {{"control_bytes_sent", Control.BytesSent_},
                        {"control_bytes_received", Control.BytesReceived_},
                        {"control_messages_sent", Control.MessagesSent_},
                        {"control_messages_refused", Control.MessagesRefused_},
                        {"control_links", Control.Links_},
                        {"platform_calls", Platform_.calls()}};
  return R;
}

std::string BalancerProcess::Impl::serviceName(ServiceId Id) const {
  const Service *Declared = Declaration_ ? Declaration_->service(Id) : nullptr;
  return Declared ? Declared->Name_ : "unknown";
}

BalancerProcess::BalancerProcess(asio::io_context &Context,
                                 const Settings &Configured)
    : Impl_(std::make_unique<Impl>(Context, Configured)) {}
BalancerProcess::~BalancerProcess() = default;

} // namespace thymewall::detail

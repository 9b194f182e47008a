#include "soak-world.h"

#include <nlohmann/json.hpp>

namespace thymewall::soak {

namespace {

using Json = nlohmann::json;

constexpr std::size_t UpstreamHosts = 10;
constexpr std::size_t MaxFlows = 60;
constexpr auto StepInterval = 10ms;
constexpr auto RequestTimeout = 3s;
/// Time until the entry of a stopped upstream is removed: three heartbeats.
constexpr auto EntryExpiry = 2300ms;
constexpr std::uint8_t Syn = 8;
constexpr std::uint8_t Ack = 32;
constexpr std::uint8_t Fin = 128;
constexpr std::uint8_t Rst = 1;
/// Set in packets of upstreams and callers; resets by balancers have 0 instead.
constexpr std::uint8_t Checksum = 0x5a;

void store32(std::uint8_t *To, std::uint32_t Value) {
  for (std::size_t I = 0; I < 4; ++I)
    To[I] = static_cast<std::uint8_t>(Value >> (8 * I));
}

/// Encodes a packet of a caller or an upstream.
std::vector<std::uint8_t> buildPacket(const Endpoint &From, const Endpoint &To,
                                      const Packet &Fields,
                                      std::uint8_t Flags) {
  std::vector<std::uint8_t> Bytes(platform::HeaderSize + Fields.DataSize_);
  ResetFlow Addresses{To, From, Fields.Sequence_, ErrorKind::None};
  platform::encodeReset(Addresses, Bytes.data());
  Bytes[12] = static_cast<std::uint8_t>(Fields.DataSize_);
  Bytes[13] = static_cast<std::uint8_t>(Fields.DataSize_ >> 8);
  store32(Bytes.data() + 18, Fields.Acknowledged_);
  store32(Bytes.data() + 22, Fields.Cookie_);
  Bytes[26] = Flags;
  store32(Bytes.data() + 28, Checksum);
  return Bytes;
}

Endpoint serviceEndpoint(std::size_t Index) {
  return Endpoint::v4(0xc6120001 + static_cast<std::uint32_t>(Index), 8443);
}

Endpoint callerEndpoint(std::uint16_t Port) {
  return Endpoint::v4(0x7f000301, Port);
}

Endpoint upstreamEndpoint(std::size_t Index) {
  return parseEndpoint("127.0.2." + std::to_string(10 + Index) + ":" +
                       std::to_string(UpstreamPort));
}

std::string hex(std::uint64_t Value) {
  char Text[20];
  std::snprintf(Text, sizeof Text, "%llx",
                static_cast<unsigned long long>(Value));
  return Text;
}

} // namespace

std::string Environment::balancerHost(std::size_t Balancer) {
  return "127.0.1." + std::to_string(10 + Balancer);
}

Environment::Environment(asio::io_context &Context, std::size_t Balancers,
                         std::uint32_t Seed)
    : Context_(Context), Random_(Seed), Configuration_(Context, Balancers),
      BalancerFaults_(Balancers), LossRates_(Balancers, 0),
      InRotation_(Balancers, 0), ProbeFailures_(Balancers, 0),
      CallerSocket_(Context, callerEndpoint(PacketPort),
                    [this](const Endpoint &, const std::uint8_t *Data,
                           std::size_t Size) { onCallerPacket(Data, Size); }),
      Timer_(Context) {
  for (std::size_t I = 0; I < UpstreamHosts; ++I) {
    UpstreamSockets_.push_back(std::make_unique<detail::UdpSocket>(
        Context, upstreamEndpoint(I),
        [this, I](const Endpoint &From, const std::uint8_t *Data,
                  std::size_t Size) {
          onUpstreamPacket(I, From, Data, Size);
        }));
    UpstreamListeners_.push_back(nullptr);
  }
  Addresses_ = {{"index", {}}, {"archive", {}}, {"index", {}}};
  publishRouting();
  for (std::size_t I = 0; I < UpstreamHosts - 2; ++I)
    addUpstream(I % 4 == 3 ? "archive" : "index", I);
  for (std::size_t I = 0; I < Balancers; ++I) {
    ReadinessClients_.push_back(std::make_unique<detail::HttpClient>(
        Context,
        parseEndpoint(balancerHost(I) + ":" + std::to_string(ReadinessPort))));
    probeReadiness(I);
  }
  stepFlows();
}

void Environment::runAfter(std::chrono::milliseconds Delay,
                           std::function<void()> Callback) {
  auto Timer = std::make_shared<asio::steady_timer>(Context_, Delay);
  Timer->async_wait(
      [Timer, Callback = std::move(Callback)](const asio::error_code &E) {
        if (!E)
          Callback();
      });
}

void Environment::reportViolation(const std::string &What) {
  Violations_.push_back(What);
}

void Environment::publishRouting() {
  Json Routes = Json::array();
  for (std::size_t I = 0; I < Addresses_.size(); ++I)
    if (!Addresses_[I].RemovedAt_)
      Routes.push_back({{"hostname", "198.18.0." + std::to_string(I + 1)},
                        {"path-prefix", "/8443/"},
                        {"backend", Addresses_[I].Service_}});
  Json Document = {{"version", ++ConfigVersion_},
                   {"routes", Routes},
                   {"backends", {{{"name", "index"}}, {{"name", "archive"}}}},
                   {"limits", {{"idle-timeout-ms", 15000}}}};
  Configuration_.put("op/config", Document.dump());
}

void Environment::reassignAddress() {
  SoakAddress &A = Addresses_[0];
  A.PreviousService_ = A.Service_;
  A.Service_ = A.Service_ == "index" ? "archive" : "index";
  A.ChangedAt_ = now();
  publishRouting();
}

void Environment::toggleRoute() {
  std::optional<SteadyTime> &Removed = Addresses_[2].RemovedAt_;
  Removed = Removed ? std::optional<SteadyTime>() : now();
  Addresses_[2].ChangedAt_ = now();
  publishRouting();
}

void Environment::publishUpstream(const SoakUpstream &U) {
  Json Entry = {{"backend", U.Service_},
                {"address", formatEndpoint(upstreamEndpoint(U.HostIndex_))},
                {"zone", "hall-a"},
                {"version", "v1"},
                {"capacity", 2},
                {"call-seq", 1},
                {"state", U.DrainingSince_ ? "draining" : "ready"},
                {"warmup-left-ms", 0}};
  Configuration_.put("servers/i-" + hex(U.Id_), Entry.dump());
}

void Environment::addUpstream(const std::string &Service,
                              std::size_t HostIndex) {
  SoakUpstream U;
  U.Id_ = ++LastId_;
  U.Service_ = Service;
  U.HostIndex_ = HostIndex;
  asio::ip::udp::endpoint At = detail::toAsio(upstreamEndpoint(HostIndex));
  UpstreamListeners_[HostIndex] = std::make_unique<asio::ip::tcp::acceptor>(
      Context_, asio::ip::tcp::endpoint(At.address(), At.port()));
  publishUpstream(U);
  Upstreams_[U.Id_] = U;
}

SoakUpstream *Environment::findUpstream(std::uint64_t Id) {
  auto Known = Upstreams_.find(Id);
  return Known == Upstreams_.end() ? nullptr : &Known->second;
}

SoakUpstream *Environment::pickUpstream(std::mt19937 &Random) {
  std::map<std::string, std::vector<SoakUpstream *>> Running;
  for (auto &[Id, U] : Upstreams_)
    if (U.Alive_ && !U.DrainingSince_)
      Running[U.Service_].push_back(&U);
  auto &Candidates = Running[Random() % 3 == 0 ? "archive" : "index"];
  return Candidates.size() < 2 ? nullptr
                               : Candidates[Random() % Candidates.size()];
}

void Environment::stopUpstream(std::uint64_t Id) {
  SoakUpstream &U = Upstreams_[Id];
  U.Alive_ = false;
  U.Flows_.clear();
  UpstreamListeners_[U.HostIndex_].reset();
}

void Environment::killUpstream(std::mt19937 &Random) {
  SoakUpstream *U = pickUpstream(Random);
  if (!U)
    return;
  std::uint64_t Id = U->Id_;
  std::size_t HostIndex = U->HostIndex_;
  std::string Service = U->Service_;
  stopUpstream(Id);
  runAfter(EntryExpiry,
           [this, Id] { Configuration_.remove("servers/i-" + hex(Id)); });
  std::string Next = Random() % 3 == 0 ? "archive" : Service;
  runAfter(EntryExpiry + 2s,
           [this, Next, HostIndex] { addUpstream(Next, HostIndex); });
}

void Environment::drainUpstream(std::mt19937 &Random) {
  SoakUpstream *U = pickUpstream(Random);
  if (!U)
    return;
  std::uint64_t Id = U->Id_;
  std::size_t HostIndex = U->HostIndex_;
  std::string Service = U->Service_;
  U->DrainingSince_ = now();
  publishUpstream(*U);
  runAfter(5s, [this, Id] {
    Configuration_.remove("servers/i-" + hex(Id));
    stopUpstream(Id);
  });
  runAfter(7s, [this, Service, HostIndex] { addUpstream(Service, HostIndex); });
}

void Environment::onUpstreamPacket(std::size_t HostIndex, const Endpoint &From,
                                   const std::uint8_t *Data, std::size_t Size) {
  Packet P;
  if (Size < platform::PrefixSize ||
      !platform::decodePacket(Data + platform::PrefixSize,
                              Size - platform::PrefixSize, P))
    return reportViolation("an upstream received a malformed packet");
  std::uint64_t Id = 0;
  for (std::size_t I = 0; I < platform::PrefixSize; ++I)
    Id = Id << 8 | Data[I];
  auto Flow = Flows_.find(P.Caller_.Port_);
  SoakUpstream *U = findUpstream(Id);
  if (!U || !U->Alive_ || U->HostIndex_ != HostIndex)
    return; // the addressed upstream is no longer running
  std::size_t Balancer = From.Ip_[15] - 10U;
  if (P.Opens_)
    return onOpen(*U, P, Balancer);
  if (U->Flows_.count(P.Caller_.Port_) == 0) {
    if (Flow != Flows_.end() && ++Flow->second.MisroutedPackets_ >= 3)
      reportViolation("packets of a flow reached a different upstream");
    return sendToCaller(P, *U, Rst, 0);
  }
  if (P.Finishes_) {
    U->Flows_.erase(P.Caller_.Port_);
    return sendToCaller(P, *U, Ack, 0);
  }
  if (P.DataSize_ == 0)
    return;
  std::chrono::milliseconds Work(5 + Random_() % 40);
  runAfter(Work, [this, P, Id] {
    SoakUpstream *Current = findUpstream(Id);
    if (Current && Current->Alive_)
      sendToCaller(P, *Current, Ack, 700);
  });
}

void Environment::onOpen(SoakUpstream &U, const Packet &P,
                         std::size_t Balancer) {
  std::size_t Index = P.Service_.Ip_[15] - 1U;
  const SoakAddress &A = Addresses_[Index];
  bool Settled =
      BalancerFaults_[Balancer].recovered() && ConfigurationFaults_.recovered();
  bool MatchesPrevious = A.PreviousService_ == U.Service_;
  if (Settled && MatchesPrevious &&
      now() > A.ChangedAt_ + RoutingChangeDeadline)
    reportViolation("a flow was opened by an outdated routing table");
  if (A.Service_ != U.Service_ && !MatchesPrevious)
    reportViolation("a flow to service " + A.Service_ +
                    " was opened at an upstream of " + U.Service_);
  if (Settled && U.DrainingSince_ &&
      now() > *U.DrainingSince_ + RoutingChangeDeadline)
    reportViolation("a draining upstream received a new flow");
  if (Settled && A.RemovedAt_ && now() > *A.RemovedAt_ + RoutingChangeDeadline)
    reportViolation("a flow was opened on a removed address");
  U.Flows_.insert(P.Caller_.Port_);
  sendToCaller(P, U, Syn | Ack, 0);
}

void Environment::sendToCaller(const Packet &P, const SoakUpstream &,
                               std::uint8_t Flags, std::uint16_t Data) {
  Packet Fields;
  Fields.Cookie_ = P.Cookie_;
  Fields.Sequence_ = P.Acknowledged_ + 1;
  Fields.Acknowledged_ = P.Sequence_ + P.DataSize_;
  Fields.DataSize_ = Data;
  auto Bytes = buildPacket(P.Service_, P.Caller_, Fields, Flags);
  CallerSocket_.send(callerEndpoint(PacketPort), Bytes.data(), Bytes.size());
}

void Environment::onCallerPacket(const std::uint8_t *Data, std::size_t Size) {
  Packet P;
  if (!platform::decodePacket(Data, Size, P))
    return reportViolation("a caller received a malformed packet");
  auto Known = Flows_.find(
      P.Service_.Port_); // the destination port is decoded as the service's
  if (Known == Flows_.end())
    return;
  SoakFlow &F = Known->second;
  if (P.Resets_) {
    bool ByBalancer = Data[28] == 0;
    SoakUpstream *U = findUpstream(F.Cookie_);
    const SoakAddress &A = Addresses_[F.AddressIndex_];
    bool Dropped = A.RemovedAt_ || now() < A.ChangedAt_ + RoutingChangeDeadline;
    if (ByBalancer && F.Open_ && U && U->Alive_ && !Dropped &&
        U->Flows_.count(Known->first) != 0)
      reportViolation("a balancer reset a flow whose upstream is running");
    Counts_.Resets_ += ByBalancer ? 1 : 0;
    Counts_.Failed_ += F.AwaitingAnswer_ ? 1 : 0;
    Flows_.erase(Known);
    return;
  }
  F.Cookie_ = P.Cookie_;
  if (P.Opens_ && !F.Open_) {
    F.Open_ = true;
    F.Acknowledged_ = P.Sequence_;
    sendToBalancer(Known->first, F, Ack, F.Acknowledged_, 0);
    F.NextSendAt_ = now();
    return;
  }
  if (P.DataSize_ == 0 || !F.AwaitingAnswer_ ||
      P.Acknowledged_ != F.Sequence_ + 100)
    return;
  F.AwaitingAnswer_ = false;
  F.Acknowledged_ = P.Sequence_ + P.DataSize_;
  F.Sequence_ += 100;
  ++Counts_.Answered_;
  if (now() - F.StartedAt_ > 1s)
    ++Counts_.Late_;
  sendToBalancer(Known->first, F, Ack, F.Acknowledged_, 0);
  F.NextSendAt_ = now() + std::chrono::milliseconds(20 + Random_() % 200);
}

void Environment::sendToBalancer(std::uint16_t CallerPort, const SoakFlow &F,
                                 std::uint8_t Flags, std::uint32_t Acknowledged,
                                 std::uint16_t Data) {
  std::size_t Balancer = selectBalancer(CallerPort);
  if (std::uniform_real_distribution<>(0, 1)(Random_) < LossRates_[Balancer])
    return;
  Packet Fields;
  Fields.Cookie_ = F.Cookie_;
  Fields.Sequence_ = F.Sequence_;
  Fields.Acknowledged_ = Acknowledged;
  Fields.DataSize_ = Data;
  auto Bytes = buildPacket(callerEndpoint(CallerPort),
                           serviceEndpoint(F.AddressIndex_), Fields, Flags);
  CallerSocket_.send(
      parseEndpoint(balancerHost(Balancer) + ":" + std::to_string(PacketPort)),
      Bytes.data(), Bytes.size());
}

std::size_t Environment::selectBalancer(std::uint16_t CallerPort) const {
  bool Any = std::any_of(InRotation_.begin(), InRotation_.end(),
                         [](char In) { return In; });
  std::size_t Best = 0;
  std::uint64_t BestScore = 0;
  for (std::size_t I = 0; I < InRotation_.size(); ++I) {
    std::uint64_t Score = hashPair(CallerPort, I) | 1;
    if ((InRotation_[I] || !Any) && Score > BestScore) {
      Best = I;
      BestScore = Score;
    }
  }
  return Best;
}

void Environment::probeReadiness(std::size_t Balancer) {
  ReadinessClients_[Balancer]->get(
      {"/thymewall/readiness", {}, now() + 400ms},
      [this, Balancer](std::optional<detail::HttpResponse> A,
                       const detail::HttpFailure &) {
        bool Healthy = A && A->Status_ == 200;
        ProbeFailures_[Balancer] = Healthy ? 0 : ProbeFailures_[Balancer] + 1;
        if (Healthy || ProbeFailures_[Balancer] >= 2)
          InRotation_[Balancer] = Healthy;
        runAfter(500ms, [this, Balancer] { probeReadiness(Balancer); });
      });
}

void Environment::startFlow() {
  SoakFlow F;
  F.AddressIndex_ = Random_() % Addresses_.size();
  if (Addresses_[F.AddressIndex_].RemovedAt_ && Random_() % 4 != 0)
    F.AddressIndex_ = 0;
  F.RequestsLeft_ =
      Random_() % 3 == 0 ? 1 : 5 + static_cast<int>(Random_() % 40);
  F.StartedAt_ = F.NextSendAt_ = now();
  LastCallerPort_ = LastCallerPort_ == 60000 ? 1025 : LastCallerPort_ + 1;
  if (LastCallerPort_ != PacketPort)
    Flows_[LastCallerPort_] = F;
}

void Environment::stepFlow(std::uint16_t CallerPort, SoakFlow &F) {
  if (!F.Open_) {
    sendToBalancer(CallerPort, F, Syn,
                   static_cast<std::uint32_t>(F.OpenPacketsSent_), 0);
    F.NextSendAt_ = now() + (F.OpenPacketsSent_ == 0 ? 200ms : 400ms);
    ++F.OpenPacketsSent_;
    return;
  }
  if (!F.AwaitingAnswer_) {
    --F.RequestsLeft_;
    F.AwaitingAnswer_ = true;
    F.StartedAt_ = now();
    F.RetryDelay_ = 200ms;
    ++Counts_.Requests_;
  }
  sendToBalancer(CallerPort, F, Ack, F.Acknowledged_, 100);
  F.NextSendAt_ = now() + F.RetryDelay_;
  F.RetryDelay_ =
      std::min<std::chrono::milliseconds>(2 * F.RetryDelay_, 1600ms);
}

void Environment::stepFlows() {
  std::vector<std::uint16_t> Ended;
  for (auto &[CallerPort, F] : Flows_) {
    bool Done = F.Open_ && !F.AwaitingAnswer_ && F.RequestsLeft_ <= 0;
    bool TimedOut =
        (F.AwaitingAnswer_ && now() > F.StartedAt_ + RequestTimeout) ||
        (!F.Open_ && F.OpenPacketsSent_ > 3);
    if (Done)
      sendToBalancer(CallerPort, F, Fin, F.Acknowledged_, 0);
    Counts_.Failed_ += TimedOut && F.AwaitingAnswer_ ? 1 : 0;
    if (Done || TimedOut)
      Ended.push_back(CallerPort);
    else if (now() >= F.NextSendAt_)
      stepFlow(CallerPort, F);
  }
  for (std::uint16_t CallerPort : Ended)
    Flows_.erase(CallerPort);
  if (Traffic_ && Flows_.size() < MaxFlows)
    startFlow();
  Timer_.expires_after(StepInterval);
  Timer_.async_wait([this](const asio::error_code &Error) {
    if (!Error)
      stepFlows();
  });
}

} // namespace thymewall::soak

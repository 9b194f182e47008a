#include "soak-world.h"

#include <nlohmann/json.hpp>

namespace thymewall::soak {

namespace {

using Json = nlohmann::json;

constexpr std::size_t Places = 10;
constexpr std::size_t MaxFlows = 60;
constexpr auto StepEvery = 10ms;
constexpr auto GiveUpAfter = 3s;
/// A published entry of a dead upstream goes after three heartbeats.
constexpr auto EntryGoneAfter = 2300ms;
constexpr std::uint8_t Syn = 8;
constexpr std::uint8_t Ack = 32;
constexpr std::uint8_t Fin = 128;
constexpr std::uint8_t Rst = 1;
/// Marks what upstreams and callers wrote: balancers' resets have 0 there.
constexpr std::uint8_t Checksum = 0x5a;

void store32(std::uint8_t *To, std::uint32_t Value) {
  for (std::size_t I = 0; I < 4; ++I)
    To[I] = static_cast<std::uint8_t>(Value >> (8 * I));
}

/// A packet as either end of a flow writes it.
std::vector<std::uint8_t> build(const Endpoint &From, const Endpoint &To,
                                const Packet &Fields, std::uint8_t Flags) {
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

Endpoint addressAt(std::size_t Index) {
  return Endpoint::v4(0xc6120001 + static_cast<std::uint32_t>(Index), 8443);
}

Endpoint callerAt(std::uint16_t Port) { return Endpoint::v4(0x7f000301, Port); }

Endpoint place(std::size_t Index) {
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

std::string World::hostOf(std::size_t Balancer) {
  return "127.0.1." + std::to_string(10 + Balancer);
}

World::World(asio::io_context &Context, std::size_t Balancers,
             std::uint32_t Seed)
    : Context_(Context), Random_(Seed), Service_(Context, Balancers),
      Balancers_(Balancers), Loss_(Balancers, 0), In_(Balancers, 0),
      Misses_(Balancers, 0),
      Callers_(Context, callerAt(PacketPort),
               [this](const Endpoint &, const std::uint8_t *Data,
                      std::size_t Size) { onCaller(Data, Size); }),
      Timer_(Context) {
  for (std::size_t I = 0; I < Places; ++I) {
    Places_.push_back(std::make_unique<detail::UdpSocket>(
        Context, place(I),
        [this, I](const Endpoint &From, const std::uint8_t *Data,
                  std::size_t Size) { onUpstream(I, From, Data, Size); }));
    Doors_.push_back(nullptr);
  }
  Addresses_ = {{"index", {}}, {"archive", {}}, {"index", {}}};
  publishRouting();
  for (std::size_t I = 0; I < Places - 2; ++I)
    addUpstream(I % 4 == 3 ? "archive" : "index", I);
  for (std::size_t I = 0; I < Balancers; ++I) {
    Probes_.push_back(std::make_unique<detail::HttpClient>(
        Context,
        parseEndpoint(hostOf(I) + ":" + std::to_string(ReadinessPort))));
    probe(I);
  }
  callers();
}

void World::after(std::chrono::milliseconds Delay, std::function<void()> Do) {
  auto Timer = std::make_shared<asio::steady_timer>(Context_, Delay);
  Timer->async_wait([Timer, Do = std::move(Do)](const asio::error_code &E) {
    if (!E)
      Do();
  });
}

void World::breaks(const std::string &What) { Broken_.push_back(What); }

void World::publishRouting() {
  Json Routes = Json::array();
  for (std::size_t I = 0; I < Addresses_.size(); ++I)
    if (!Addresses_[I].RemovedSince_)
      Routes.push_back({{"hostname", "198.18.0." + std::to_string(I + 1)},
                        {"path-prefix", "/8443/"},
                        {"backend", Addresses_[I].Service_}});
  Json Document = {{"version", ++Version_},
                   {"routes", Routes},
                   {"backends", {{{"name", "index"}}, {{"name", "archive"}}}},
                   {"limits", {{"idle-timeout-ms", 15000}}}};
  Service_.put("op/config", Document.dump());
}

/// The first address leads to the other service from now on.
void World::moveAddress() {
  SoakAddress &A = Addresses_[0];
  A.Before_ = A.Service_;
  A.Service_ = A.Service_ == "index" ? "archive" : "index";
  A.ChangedAt_ = now();
  publishRouting();
}

/// Drops the third address, or brings it back.
void World::changeRouting() {
  std::optional<SteadyTime> &Removed = Addresses_[2].RemovedSince_;
  Removed = Removed ? std::optional<SteadyTime>() : now();
  Addresses_[2].ChangedAt_ = now();
  publishRouting();
}

void World::publish(const SoakUpstream &U) {
  Json Entry = {{"backend", U.Service_},
                {"address", formatEndpoint(place(U.Place_))},
                {"zone", "hall-a"},
                {"version", "v1"},
                {"capacity", 2},
                {"call-seq", 1},
                {"state", U.LeavingSince_ ? "draining" : "ready"},
                {"warmup-left-ms", 0}};
  Service_.put("servers/i-" + hex(U.Id_), Entry.dump());
}

void World::addUpstream(const std::string &Service, std::size_t Where) {
  SoakUpstream U;
  U.Id_ = ++LastId_;
  U.Service_ = Service;
  U.Place_ = Where;
  asio::ip::udp::endpoint At = detail::toAsio(place(Where));
  Doors_[Where] = std::make_unique<asio::ip::tcp::acceptor>(
      Context_, asio::ip::tcp::endpoint(At.address(), At.port()));
  publish(U);
  Upstreams_[U.Id_] = U;
}

SoakUpstream *World::upstream(std::uint64_t Id) {
  auto Known = Upstreams_.find(Id);
  return Known == Upstreams_.end() ? nullptr : &Known->second;
}

/// A living upstream of a service that has others.
SoakUpstream *World::pick(std::mt19937 &Random) {
  std::map<std::string, std::vector<SoakUpstream *>> Living;
  for (auto &[Id, U] : Upstreams_)
    if (U.Alive_ && !U.LeavingSince_)
      Living[U.Service_].push_back(&U);
  auto &Of = Living[Random() % 3 == 0 ? "archive" : "index"];
  return Of.size() < 2 ? nullptr : Of[Random() % Of.size()];
}

void World::endUpstream(std::uint64_t Id) {
  SoakUpstream &U = Upstreams_[Id];
  U.Alive_ = false;
  U.Flows_.clear();
  Doors_[U.Place_].reset();
}

/// It falls silent; its address goes to the other service after a while.
void World::upstreamDies(std::mt19937 &Random) {
  SoakUpstream *U = pick(Random);
  if (!U)
    return;
  std::uint64_t Id = U->Id_;
  std::size_t Where = U->Place_;
  std::string Service = U->Service_;
  endUpstream(Id);
  after(EntryGoneAfter,
        [this, Id] { Service_.remove("servers/i-" + hex(Id)); });
  std::string Next = Random() % 3 == 0 ? "archive" : Service;
  after(EntryGoneAfter + 2s, [this, Next, Where] { addUpstream(Next, Where); });
}

void World::upstreamDrains(std::mt19937 &Random) {
  SoakUpstream *U = pick(Random);
  if (!U)
    return;
  std::uint64_t Id = U->Id_;
  std::size_t Where = U->Place_;
  std::string Service = U->Service_;
  U->LeavingSince_ = now();
  publish(*U);
  after(5s, [this, Id] {
    Service_.remove("servers/i-" + hex(Id));
    endUpstream(Id);
  });
  after(7s, [this, Service, Where] { addUpstream(Service, Where); });
}

void World::onUpstream(std::size_t Place, const Endpoint &From,
                       const std::uint8_t *Data, std::size_t Size) {
  Packet P;
  if (Size < platform::PrefixSize ||
      !platform::decodePacket(Data + platform::PrefixSize,
                              Size - platform::PrefixSize, P))
    return breaks("an upstream got bytes that are no packet");
  std::uint64_t Id = 0;
  for (std::size_t I = 0; I < platform::PrefixSize; ++I)
    Id = Id << 8 | Data[I];
  auto Flow = Flows_.find(P.Caller_.Port_);
  SoakUpstream *U = upstream(Id);
  if (!U || !U->Alive_ || U->Place_ != Place)
    return; // meant for one that is no longer here
  std::size_t Balancer = From.Ip_[15] - 10U;
  if (P.Opens_)
    return onOpening(*U, P, Balancer);
  if (U->Flows_.count(P.Caller_.Port_) == 0) {
    if (Flow != Flows_.end() && ++Flow->second.WrongUpstream_ >= 3)
      breaks("a flow's packets reach another upstream");
    return answer(P, *U, Rst, 0);
  }
  if (P.Finishes_) {
    U->Flows_.erase(P.Caller_.Port_);
    return answer(P, *U, Ack, 0);
  }
  if (P.DataSize_ == 0)
    return;
  std::chrono::milliseconds Work(5 + Random_() % 40);
  after(Work, [this, P, Id] {
    SoakUpstream *Still = upstream(Id);
    if (Still && Still->Alive_)
      answer(P, *Still, Ack, 700);
  });
}

void World::onOpening(SoakUpstream &U, const Packet &P, std::size_t Balancer) {
  std::size_t Index = P.Service_.Ip_[15] - 1U;
  const SoakAddress &A = Addresses_[Index];
  bool Bound = Balancers_[Balancer].inTouch() && Core_.inTouch();
  bool Earlier = A.Before_ == U.Service_;
  if (Bound && Earlier && now() > A.ChangedAt_ + InForceWithin)
    breaks("a flow opens under a routing table that is no longer in force");
  if (A.Service_ != U.Service_ && !Earlier)
    breaks("a flow of " + A.Service_ + " opens at " + U.Service_);
  if (Bound && U.LeavingSince_ && now() > *U.LeavingSince_ + InForceWithin)
    breaks("an upstream that is leaving gets a new flow");
  if (Bound && A.RemovedSince_ && now() > *A.RemovedSince_ + InForceWithin)
    breaks("a flow opens on an address that was dropped");
  U.Flows_.insert(P.Caller_.Port_);
  answer(P, U, Syn | Ack, 0);
}

void World::answer(const Packet &P, const SoakUpstream &, std::uint8_t Flags,
                   std::uint16_t Data) {
  Packet Fields;
  Fields.Cookie_ = P.Cookie_;
  Fields.Sequence_ = P.Acknowledged_ + 1;
  Fields.Acknowledged_ = P.Sequence_ + P.DataSize_;
  Fields.DataSize_ = Data;
  auto Bytes = build(P.Service_, P.Caller_, Fields, Flags);
  Callers_.send(callerAt(PacketPort), Bytes.data(), Bytes.size());
}

void World::onCaller(const std::uint8_t *Data, std::size_t Size) {
  Packet P;
  if (!platform::decodePacket(Data, Size, P))
    return breaks("a caller got bytes that are no packet");
  auto Known = Flows_.find(P.Service_.Port_); // the receiver's port
  if (Known == Flows_.end())
    return;
  SoakFlow &F = Known->second;
  if (P.Resets_) {
    bool ByBalancer = Data[28] == 0;
    SoakUpstream *U = upstream(F.Cookie_);
    const SoakAddress &A = Addresses_[F.Address_];
    bool Dropped = A.RemovedSince_ || now() < A.ChangedAt_ + InForceWithin;
    if (ByBalancer && F.Open_ && U && U->Alive_ && !Dropped &&
        U->Flows_.count(Known->first) != 0)
      breaks("a balancer reset a flow whose upstream lives");
    Counts_.Resets_ += ByBalancer ? 1 : 0;
    Counts_.Failed_ += F.Waiting_ ? 1 : 0;
    Flows_.erase(Known);
    return;
  }
  F.Cookie_ = P.Cookie_;
  if (P.Opens_ && !F.Open_) {
    F.Open_ = true;
    F.Acknowledged_ = P.Sequence_;
    send(Known->first, F, Ack, F.Acknowledged_, 0);
    F.SendAt_ = now();
    return;
  }
  if (P.DataSize_ == 0 || !F.Waiting_ || P.Acknowledged_ != F.Sequence_ + 100)
    return;
  F.Waiting_ = false;
  F.Acknowledged_ = P.Sequence_ + P.DataSize_;
  F.Sequence_ += 100;
  ++Counts_.Answered_;
  if (now() - F.Started_ > 1s)
    ++Counts_.Late_;
  send(Known->first, F, Ack, F.Acknowledged_, 0);
  F.SendAt_ = now() + std::chrono::milliseconds(20 + Random_() % 200);
}

void World::send(std::uint16_t Caller, const SoakFlow &F, std::uint8_t Flags,
                 std::uint32_t Acknowledged, std::uint16_t Data) {
  std::size_t Balancer = route(Caller);
  if (std::uniform_real_distribution<>(0, 1)(Random_) < Loss_[Balancer])
    return;
  Packet Fields;
  Fields.Cookie_ = F.Cookie_;
  Fields.Sequence_ = F.Sequence_;
  Fields.Acknowledged_ = Acknowledged;
  Fields.DataSize_ = Data;
  auto Bytes = build(callerAt(Caller), addressAt(F.Address_), Fields, Flags);
  Callers_.send(
      parseEndpoint(hostOf(Balancer) + ":" + std::to_string(PacketPort)),
      Bytes.data(), Bytes.size());
}

std::size_t World::route(std::uint16_t Caller) const {
  bool Any = std::any_of(In_.begin(), In_.end(), [](char In) { return In; });
  std::size_t Best = 0;
  std::uint64_t BestScore = 0;
  for (std::size_t I = 0; I < In_.size(); ++I) {
    std::uint64_t Score = hashPair(Caller, I) | 1;
    if ((In_[I] || !Any) && Score > BestScore) {
      Best = I;
      BestScore = Score;
    }
  }
  return Best;
}

void World::probe(std::size_t Balancer) {
  Probes_[Balancer]->get("/thymewall/readiness", now() + 400ms,
                         [this, Balancer](std::optional<detail::HttpResponse> A,
                                          const std::string &) {
                           bool Good = A && A->Status_ == 200;
                           Misses_[Balancer] = Good ? 0 : Misses_[Balancer] + 1;
                           if (Good || Misses_[Balancer] >= 2)
                             In_[Balancer] = Good;
                           after(500ms, [this, Balancer] { probe(Balancer); });
                         });
}

void World::startFlow() {
  SoakFlow F;
  F.Address_ = Random_() % Addresses_.size();
  if (Addresses_[F.Address_].RemovedSince_ && Random_() % 4 != 0)
    F.Address_ = 0;
  F.RequestsLeft_ =
      Random_() % 3 == 0 ? 1 : 5 + static_cast<int>(Random_() % 40);
  F.Started_ = F.SendAt_ = now();
  LastCaller_ = LastCaller_ == 60000 ? 1025 : LastCaller_ + 1;
  if (LastCaller_ != PacketPort)
    Flows_[LastCaller_] = F;
}

void World::stepFlow(std::uint16_t Caller, SoakFlow &F) {
  if (!F.Open_) {
    send(Caller, F, Syn, static_cast<std::uint32_t>(F.Copies_), 0);
    F.SendAt_ = now() + (F.Copies_ == 0 ? 200ms : 400ms);
    ++F.Copies_;
    return;
  }
  if (!F.Waiting_) {
    --F.RequestsLeft_;
    F.Waiting_ = true;
    F.Started_ = now();
    F.Pause_ = 200ms;
    ++Counts_.Requests_;
  }
  send(Caller, F, Ack, F.Acknowledged_, 100);
  F.SendAt_ = now() + F.Pause_;
  F.Pause_ = std::min<std::chrono::milliseconds>(2 * F.Pause_, 1600ms);
}

void World::callers() {
  std::vector<std::uint16_t> Ended;
  for (auto &[Caller, F] : Flows_) {
    bool Done = F.Open_ && !F.Waiting_ && F.RequestsLeft_ <= 0;
    bool GivenUp = (F.Waiting_ && now() > F.Started_ + GiveUpAfter) ||
                   (!F.Open_ && F.Copies_ > 3);
    if (Done)
      send(Caller, F, Fin, F.Acknowledged_, 0);
    Counts_.Failed_ += GivenUp && F.Waiting_ ? 1 : 0;
    if (Done || GivenUp)
      Ended.push_back(Caller);
    else if (now() >= F.SendAt_)
      stepFlow(Caller, F);
  }
  for (std::uint16_t Caller : Ended)
    Flows_.erase(Caller);
  if (Traffic_ && Flows_.size() < MaxFlows)
    startFlow();
  Timer_.expires_after(StepEvery);
  Timer_.async_wait([this](const asio::error_code &Error) {
    if (!Error)
      callers();
  });
}

} // namespace thymewall::soak

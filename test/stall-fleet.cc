#include "stall-fleet.h"

namespace thymewall::test {

namespace {

using namespace std::chrono_literals;

const Endpoint ServiceAt = Endpoint::v4(0xc6120001, 8443);
constexpr ServiceId Service{1};
/// Delay of a warning between two hosts.
constexpr Micros WarningDelay = 20ms;
/// Time from an opening to the caller's acknowledgement and request.
constexpr Micros OpenDelay = 6ms;
constexpr Micros WorkDelay = 45ms;

UpstreamChange upstream(std::uint64_t Id) {
  UpstreamEntry E;
  E.Incarnation_ = Incarnation{Id};
  E.Service_ = Service;
  E.Address_ = Endpoint::v4(static_cast<std::uint32_t>(Id), 9000);
  return {E.Incarnation_, 1, E};
}

} // namespace

StallFleet::StallFleet(std::size_t Hosts, std::size_t Upstreams,
                       std::size_t RequestsPerSecond)
    : Hosts_(Hosts), Upstreams_(Upstreams),
      RequestInterval_(Micros(1s) / static_cast<long>(RequestsPerSecond)) {
  for (std::size_t Which = 0; Which < Hosts; ++Which)
    start(Which);
  request();
}

void StallFleet::start(std::size_t Which) {
  Host &H = Hosts_[Which];
  auto OnUpstreamEvent = [&H](const UpstreamEvent &B) {
    if (B.Kind_ == UpstreamEvent::Kind::Stalled)
      H.Suspected_.insert(raw(B.Upstream_));
  };
  auto OnWarning = [this, Which](const UpstreamWarning &M) { warn(Which, M); };
  bool First = !H.Core_;
  H.Core_ =
      std::make_unique<PacketBalancer>(PacketBalancerBuilder()
                                           .onUpstreamEvent(OnUpstreamEvent)
                                           .onWarning(OnWarning)
                                           .build());
  auto Table = std::make_shared<RoutingTable>();
  Table->Version_ = 1;
  Table->Addresses_[ServiceAt] = {{Service, 1}};
  H.Core_->setRouting(Events_.now(), Table);
  std::vector<UpstreamChange> All;
  for (std::uint64_t Id = 1; Id <= Upstreams_; ++Id)
    All.push_back(upstream(Id));
  H.Core_->applyUpstreams(Events_.now(), All);
  if (First)
    tick(Which);
}

void StallFleet::failHosts(std::size_t Count) {
  for (std::size_t Which = Hosts_.size() - Count; Which < Hosts_.size();
       ++Which)
    Hosts_[Which].Running_ = false;
}

void StallFleet::restoreHosts(Micros Within) {
  for (std::size_t Which = 0; Which < Hosts_.size(); ++Which) {
    if (Hosts_[Which].Running_)
      continue;
    auto Share = static_cast<double>(hashPair(Which, 1) % 1000) / 1000;
    Events_.after(std::chrono::duration_cast<Micros>(Within * Share), [=] {
      start(Which);
      Hosts_[Which].Running_ = true;
      reconnect(Which);
    });
  }
}

/// Notifies a few peers, to which a starting host connects.
void StallFleet::reconnect(std::size_t Which) {
  Hosts_[Which].Core_->onBalancerJoined(Events_.now());
  for (std::uint64_t Link = 0; Link < 3; ++Link) {
    Host &Peer = Hosts_[hashPair(Which, Link + 10) % Hosts_.size()];
    if (Peer.Running_)
      Peer.Core_->onBalancerJoined(Events_.now());
  }
}

void StallFleet::tick(std::size_t Which) {
  if (Hosts_[Which].Running_)
    Hosts_[Which].Core_->tick(Events_.now());
  Micros Jitter(static_cast<long>(hashPair(Which, 2) % 1000));
  Events_.after(PacketBalancer::TickInterval + Jitter, [=] { tick(Which); });
}

void StallFleet::warn(std::size_t From, const UpstreamWarning &M) {
  Events_.after(WarningDelay, [=] {
    for (std::size_t Which = 0; Which < Hosts_.size(); ++Which) {
      Host &H = Hosts_[Which];
      if (Which != From && H.Running_ &&
          H.SeenWarnings_.insert({raw(M.Upstream_), M.Flow_}).second)
        H.Core_->onPeerWarning(Events_.now(), M);
    }
  });
}

/// Rendezvous hashing: a host that joins or leaves moves only its own flows.
PacketBalancer &StallFleet::balancerFor(const Packet &P) {
  std::uint64_t Flow =
      P.Caller_.Port_ + std::uint64_t{65536} * P.Caller_.Ip_[15];
  std::size_t Best = Hosts_.size();
  std::uint64_t BestScore = 0;
  for (std::size_t Which = 0; Which < Hosts_.size(); ++Which) {
    std::uint64_t Score = Hosts_[Which].Running_ ? hashPair(Flow, Which) : 0;
    if (Score >= BestScore && Hosts_[Which].Running_) {
      Best = Which;
      BestScore = Score;
    }
  }
  return *Hosts_[Best].Core_;
}

void StallFleet::request() {
  Events_.after(RequestInterval_, [this] { request(); });
  ++Requests_;
  Packet P;
  P.Caller_ = Endpoint::v4(0x64400000 + Requests_ / 60'000,
                           static_cast<std::uint16_t>(1 + Requests_ % 60'000));
  P.Service_ = ServiceAt;
  Packet Opening = P;
  Opening.Opens_ = true;
  Verdict V = balancerFor(P).steer(Events_.now(), Opening);
  const auto *F = std::get_if<Forward>(&V);
  if (!F)
    return;
  P.Acknowledges_ = true;
  P.Cookie_ = F->Cookie_;
  Events_.after(OpenDelay, [this, P]() mutable {
    P.Acknowledged_ = 1000;
    balancerFor(P).steer(Events_.now(), P);
    P.Sequence_ = 1;
    P.DataSize_ = 100;
    balancerFor(P).steer(Events_.now(), P);
  });
  bool Hangs = raw(F->Upstream_) <= Hanging_;
  if (Hangs)
    return;
  Events_.after(OpenDelay + WorkDelay, [this, P]() mutable {
    ++Served_;
    P.Acknowledged_ = 5000;
    balancerFor(P).steer(Events_.now(), P);
  });
}

std::size_t StallFleet::falselySuspected() const {
  std::size_t Count = 0;
  for (const Host &H : Hosts_)
    for (std::uint64_t Id : H.Suspected_)
      if (H.Running_ && Id > Hanging_)
        ++Count;
  return Count;
}

std::size_t StallFleet::hangingEligible() const {
  std::size_t Count = 0;
  for (const Host &H : Hosts_)
    for (const UpstreamStatus &Up : H.Core_->status(Events_.now()).Upstreams_)
      if (H.Running_ && raw(Up.Incarnation_) <= Hanging_ &&
          Up.ExclusionReason_.empty())
        ++Count;
  return Count;
}

} // namespace thymewall::test

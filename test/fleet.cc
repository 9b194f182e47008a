#include "fleet.h"

#include <algorithm>
#include <boost/leaf/handle_errors.hpp>

namespace thymewall::test {

namespace {

constexpr Micros TickEvery = milliseconds(10);
constexpr Micros HeartbeatEvery = milliseconds(500);
const char *const ServiceNames[] = {"index", "archive"};

Endpoint callerAddress(std::size_t I) {
  return Endpoint::v4(0x0a000000U + static_cast<std::uint32_t>(I), 5000);
}
Endpoint nodeAddress(std::size_t I) {
  return Endpoint::v4(0x0b000000U + static_cast<std::uint32_t>(I), 7100);
}
Endpoint hostAddress(std::size_t I) {
  return Endpoint::v4(0x0c000000U + static_cast<std::uint32_t>(I), 9000);
}
ServiceId serviceAt(std::size_t I) {
  return static_cast<ServiceId>(nameId(ServiceNames[I % 2]));
}
SecretKey secret() { return {1, 2, 3}; }

TimeZoneClock noZones() {
  return [](const std::string &, WallTime) { return LocalMinute{}; };
}

} // namespace

Fleet::Fleet(const FleetOptions &Options, const std::vector<Fault> &Faults)
    : Options_(Options), Random_(Options.Seed_) {
  for (std::size_t I = 0; I < Options.Upstreams_; ++I) {
    Host H;
    H.At_ = hostAddress(I);
    H.Id_ = static_cast<UpstreamId>(nameId("up-" + std::to_string(I)));
    H.Incarnation_ = static_cast<Incarnation>(++NextIncarnation_);
    Hosts_.push_back(H);
    Roles_.emplace_back(ServiceNames[I % 2]);
  }
  publish([](std::size_t, std::string &) {});
  Nodes_.resize(Options.Balancers_);
  for (std::size_t I = 0; I < Nodes_.size(); ++I)
    startNode(I);
  for (std::size_t C = 0; C < Options.Flows_; ++C) {
    Callers_.emplace_back();
    Callers_[C].Service_ = serviceAt(C);
    Callers_[C].At_ = callerAddress(C);
    at(milliseconds(C * 10), [this, C] { openFlow(C); });
  }
  for (const Fault &F : Faults)
    at(F.At_, [this, F] { inject(F); });
  at(HeartbeatEvery, [this] { heartbeat(); });
}

Seen Fleet::run() {
  while (!Queue_.empty() && Queue_.top().At_ <= Options_.Length_) {
    Timed Next = Queue_.top();
    Queue_.pop();
    Now_ = Next.At_;
    Next.Work_();
  }
  settle();
  return Seen_;
}

Fleet::Wire Fleet::wireOf(const Message &M) {
  std::uint8_t Buffer[MaxDatagram + MaxHeader];
  return {Buffer, Buffer + encode(M, Buffer, sizeof Buffer)};
}

void Fleet::at(Time When, Work Do) {
  Queue_.push({When, ++Order_, std::move(Do)});
}

Moment Fleet::moment(const Node &N) const {
  return {MonoTime(Epoch + Now_), WallTime(Epoch + Now_ + N.Skew_)};
}

void Fleet::startNode(std::size_t I) {
  Node &N = Nodes_[I];
  N = Node();
  N.Data_ = nodeAddress(I);
  N.Incarnation_ = static_cast<Incarnation>(++NextIncarnation_);
  N.Core_.emplace(BalancerBuilder()
                      .name("lb-" + std::to_string(I))
                      .dataAddress(N.Data_)
                      .incarnation(N.Incarnation_)
                      .seed(Random_())
                      .keys({secret(), secret()})
                      .zones(noZones())
                      .build());
  if (Now_ >= PlatformDownUntil_)
    give(I, DeclarationRead{Published_.back()});
  Incarnation Of = N.Incarnation_;
  at(Now_, [this, I, Of] { tick(I, Of); });
}

void Fleet::give(std::size_t I, const Event &What) {
  ++Seen_.Events_;
  Nodes_[I].Core_->handle(moment(Nodes_[I]), What,
                          [this, I](const Action &A) { act(I, A); });
}

void Fleet::tick(std::size_t I, Incarnation Of) {
  Node &N = Nodes_[I];
  if (N.Incarnation_ != Of || !N.Core_)
    return;
  if (Now_ < N.FrozenUntil_)
    return at(N.FrozenUntil_, [this, I, Of] { tick(I, Of); });
  std::vector<Work> Waiting;
  Waiting.swap(N.Inbox_);
  for (const Work &Deliver : Waiting)
    if (N.Core_)
      Deliver();
  if (!N.Core_)
    return;
  give(I, Tick{});
  at(Now_ + TickEvery, [this, I, Of] { tick(I, Of); });
}

Fleet::Time Fleet::flight() {
  auto Spread = std::chrono::duration_cast<Micros>(milliseconds(1) * draw());
  if (draw() < Options_.Delay_)
    Spread += std::chrono::duration_cast<Micros>(milliseconds(100) * draw());
  return Now_ + Micros(200) + Spread;
}

bool Fleet::cut(std::size_t From, std::size_t To) const {
  return Cuts_.count({From, To}) != 0;
}

/// Delivers to whichever process has the balancer's address by then.
void Fleet::toNode(std::size_t I, const Work &Deliver) {
  at(flight(), [this, I, Deliver] {
    Node &N = Nodes_[I];
    if (!N.Core_)
      return;
    if (Now_ < N.FrozenUntil_)
      N.Inbox_.push_back(Deliver);
    else
      Deliver();
  });
}

void Fleet::act(std::size_t I, const Action &A) {
  Node &N = Nodes_[I];
  if (const auto *To = std::get_if<ToCaller>(&A)) {
    auto Known = CallerOf_.find(raw(To->Message_.Flow_));
    if (Known == CallerOf_.end() || draw() < Options_.Loss_)
      return;
    std::size_t C = Known->second;
    Wire Bytes = wireOf(To->Message_);
    at(flight(), [this, C, Bytes] { callerReceives(C, Bytes); });
  } else if (const auto *Up = std::get_if<ToUpstream>(&A)) {
    for (std::size_t H = 0; H < Hosts_.size(); ++H)
      if (Hosts_[H].At_ == Up->To_ && draw() >= Options_.Loss_) {
        Wire Bytes = wireOf(Up->Message_);
        Endpoint From = N.Data_;
        at(flight(), [this, H, From, Bytes] { hostReceives(H, From, Bytes); });
      }
  } else if (const auto *Peer = std::get_if<ToPeer>(&A)) {
    std::uint8_t Buffer[MaxDatagram + 2 * MaxHeader];
    std::size_t Size =
        encodePeer(Peer->Datagram_, secret(), Buffer, sizeof Buffer);
    Wire Bytes(Buffer, Buffer + Size);
    Endpoint From = N.Data_;
    int Copies = (draw() >= Options_.Loss_) + (draw() < Options_.Repeat_);
    for (std::size_t J = 0; J < Nodes_.size(); ++J)
      for (int K = 0; K < Copies; ++K)
        if (Nodes_[J].Data_ == Peer->To_ && !cut(I, J))
          toNode(J, [this, J, From, Bytes] {
            FromPeer E{From, {}};
            std::array<SecretKey, 2> Keys{secret(), secret()};
            if (decodePeer(Bytes.data(), Bytes.size(), Keys, E.Datagram_) ==
                ErrorKind::None)
              give(J, E);
          });
  } else if (const auto *New = std::get_if<InForce>(&A)) {
    if (N.InForce_ && New->Declaration_->Version_ < N.InForce_->Version_)
      ++Seen_.VersionsBack_;
    N.InForce_ = New->Declaration_;
  } else if (const auto *Told = std::get_if<TellSuccession>(&A)) {
    Succession S = Told->Succession_;
    for (std::size_t J = 0; J < Nodes_.size(); ++J)
      if (J != I && Nodes_[J].Core_ && !cut(I, J))
        toNode(J, [this, J, S] { give(J, SuccessionRead{S}); });
  } else if (std::get_if<Stopped>(&A)) {
    // The core is inside its own call, so it ends at the next step.
    Incarnation Of = N.Incarnation_;
    at(Now_, [this, I, Of] {
      if (Nodes_[I].Incarnation_ == Of)
        Nodes_[I].Core_.reset();
    });
  } else if (const auto *Asks = std::get_if<RereadSources>(&A)) {
    reread(I, Asks->Asked_);
  }
}

/// What the platform, or else every peer, answers to a balancer that has woken.
void Fleet::reread(std::size_t I, std::uint64_t Asked) {
  if (Now_ >= PlatformDownUntil_) {
    DeclarationPtr Latest = Published_.back();
    return toNode(I, [this, I, Latest, Asked] {
      give(I, DeclarationRead{Latest, Asked});
    });
  }
  for (std::size_t J = 0; J < Nodes_.size(); ++J)
    if (J != I && Nodes_[J].Core_ && !cut(I, J) && !cut(J, I))
      toNode(J, [this, I, J, Asked] {
        DeclarationPtr Has = Nodes_[J].InForce_;
        toNode(I, [this, I, Has, Asked] {
          if (Has)
            give(I, DeclarationRead{Has, Asked});
        });
      });
}

/// Heartbeats between peers, with what the control plane does on them, and the
/// platform's watches.
void Fleet::heartbeat() {
  for (std::size_t I = 0; I < Nodes_.size(); ++I) {
    Node &From = Nodes_[I];
    if (!From.Core_ || Now_ < From.FrozenUntil_)
      continue;
    PeerSeen Beat{static_cast<BalancerId>(I + 1), From.Data_, From.Incarnation_,
                  From.Leaving_};
    DeclarationPtr Has = From.InForce_;
    for (std::size_t J = 0; J < Nodes_.size(); ++J) {
      if (J == I || !Nodes_[J].Core_ || cut(I, J))
        continue;
      toNode(J, [this, J, Beat, Has] {
        give(J, Beat);
        if (Has)
          give(J, DeclarationRead{Has});
      });
    }
    if (Now_ < PlatformDownUntil_)
      continue;
    bool Stale = Now_ < PlatformStaleUntil_ && draw() < 0.5;
    DeclarationPtr Latest = Stale ? Published_.front() : Published_.back();
    toNode(I, [this, I, Latest] { give(I, DeclarationRead{Latest}); });
  }
  at(Now_ + HeartbeatEvery, [this] { heartbeat(); });
}

void Fleet::publish(
    const std::function<void(std::size_t, std::string &)> &Label) {
  for (std::size_t I = 0; I < Roles_.size(); ++I) {
    std::string Before = Roles_[I];
    Label(I, Roles_[I]);
    for (const char *Name : ServiceNames) {
      auto Id = static_cast<ServiceId>(nameId(Name));
      if (Roles_[I] == Name)
        Hosts_[I].LeftAt_.erase(Id);
      else if (Before == Name)
        Hosts_[I].LeftAt_[Id] = Now_;
    }
  }
  auto Version = std::to_string(Published_.size() + 1);
  std::string Text = "{\"version\": " + Version + ", \"services\": [";
  Text += R"({"name": "index", "port": 1, "deadline_ms": 1000},)";
  Text += R"({"name": "archive", "port": 2, "deadline_ms": 1000}],)";
  Text += "\"upstreams\": [";
  for (std::size_t I = 0; I < Hosts_.size(); ++I)
    Text += std::string(I == 0 ? "" : ",") + "{\"name\": \"up-" +
            std::to_string(I) + "\", \"address\": \"" +
            formatEndpoint(Hosts_[I].At_) +
            "\", \"data_hall\": \"h\", \"remembers_requests\": " +
            (Options_.Remember_ ? "true" : "false") +
            ", \"labels\": {\"role\": \"" + Roles_[I] + "\"}}";
  Text += "], \"selectors\": [";
  Text += R"({"service": "index", "terms": [{"key": "role", "op": "in",)";
  Text += R"( "values": ["index"]}]}, {"service": "archive", "terms":)";
  Text += R"( [{"key": "role", "op": "in", "values": ["archive"]}]}]})";
  boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<void> {
        BOOST_LEAF_AUTO(D, parseDeclaration(Text, "fleet", noZones()));
        Published_.push_back(D);
        return {};
      },
      [] { std::abort(); });
}

void Fleet::inject(const Fault &F) {
  std::size_t I = F.Which_ % Nodes_.size();
  std::size_t J = (I + 1 + F.Which_ / 7 % (Nodes_.size() - 1)) % Nodes_.size();
  std::size_t H = F.Which_ % Hosts_.size();
  Node &N = Nodes_[I];
  switch (F.Kind_) {
  case FaultKind::KillBalancer:
    N.Core_.reset();
    return;
  case FaultKind::RestartBalancer:
  case FaultKind::JoinBalancer:
    if (F.Kind_ == FaultKind::RestartBalancer || !N.Core_)
      startNode(I);
    return;
  case FaultKind::StopBalancer:
    if (!N.Core_ || Now_ < N.FrozenUntil_)
      return;
    N.Leaving_ = true;
    return give(I, StopAsked{});
  case FaultKind::FreezeBalancer:
    N.FrozenUntil_ = Now_ + milliseconds(500 + F.Which_ % 3000);
    return;
  case FaultKind::CutOneWay:
  case FaultKind::CutBothWays:
    Cuts_.insert({I, J});
    if (F.Kind_ == FaultKind::CutBothWays)
      Cuts_.insert({J, I});
    return at(Now_ + seconds(2), [this, I, J] {
      Cuts_.erase({I, J});
      Cuts_.erase({J, I});
    });
  case FaultKind::ClockStep:
    N.Skew_ = milliseconds(static_cast<int>(F.Which_ % 400) - 200);
    return;
  case FaultKind::PlatformDown:
    PlatformDownUntil_ = Now_ + seconds(3);
    return;
  case FaultKind::PlatformStale:
    PlatformStaleUntil_ = Now_ + seconds(3);
    return;
  case FaultKind::Relabel:
    return publish([](std::size_t K, std::string &Role) {
      if (K % 4 < 2)
        Role = Role == "index" ? "archive" : "index";
    });
  case FaultKind::Drain:
    return publish([H](std::size_t K, std::string &Role) {
      Role = K == H ? "none" : ServiceNames[K % 2];
    });
  case FaultKind::UpstreamRestart:
  case FaultKind::UpstreamReplaced:
    Hosts_[H].Incarnation_ = static_cast<Incarnation>(++NextIncarnation_);
    Hosts_[H].Flows_.clear();
    if (F.Kind_ == FaultKind::UpstreamReplaced)
      Hosts_[H].Only_ = serviceAt(H + 1);
    return;
  case FaultKind::UpstreamRefuses:
    Hosts_[H].RefusesUntil_ = Now_ + seconds(1);
    return;
  case FaultKind::UpstreamSlow:
    Hosts_[H].SlowUntil_ = Now_ + seconds(1);
    return;
  case FaultKind::Count:
    return;
  }
}

std::size_t Fleet::anyNode() { return Random_() % Nodes_.size(); }

void Fleet::settle() {
  for (const auto &[Uid, Count] : RunsOf_)
    Seen_.Doubled_ += Count > 1;
  for (std::uint64_t Uid : NotRunTold_)
    Seen_.FalseNotRun_ += Ran_.count(Uid);
  for (std::uint64_t Uid : AnsweredOnce_)
    Seen_.AnsweredUnrun_ += 1 - RunsOf_.count(Uid);
  Seen_.AllInForce_ = true;
  for (const Node &N : Nodes_) {
    if (!N.Core_)
      continue;
    Seen_.Adopted_ += N.Core_->counters().Adopted_;
    Seen_.Rehomed_ += N.Core_->counters().Rehomed_;
    bool Has = N.InForce_ == Published_.back();
    Seen_.AllInForce_ = Seen_.AllInForce_ && Has;
  }
}

} // namespace thymewall::test

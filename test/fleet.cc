#include "fleet.h"

#include <algorithm>
#include <boost/leaf/handle_errors.hpp>

namespace thymewall::test {

namespace {

constexpr Micros TickInterval = milliseconds(10);
constexpr Micros HeartbeatInterval = milliseconds(500);
const char *const ServiceNames[] = {"index", "archive"};

Endpoint callerAddress(std::size_t I) {
  return Endpoint::v4(0x0a000000U + static_cast<std::uint32_t>(I), 5000);
}
Endpoint nodeAddress(std::size_t I) {
  return Endpoint::v4(0x0b000000U + static_cast<std::uint32_t>(I), 7100);
}
Endpoint upstreamAddress(std::size_t I) {
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
    FakeUpstream H;
    H.At_ = upstreamAddress(I);
    H.Id_ = static_cast<UpstreamId>(nameId("up-" + std::to_string(I)));
    H.Incarnation_ = static_cast<Incarnation>(++NextIncarnation_);
    FakeUpstreams_.push_back(H);
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
    schedule(milliseconds(C * 10), [this, C] { openFlow(C); });
  }
  for (const Fault &F : Faults)
    schedule(F.At_, [this, F] { inject(F); });
  schedule(HeartbeatInterval, [this] { heartbeat(); });
}

FleetResults Fleet::run() {
  while (!Queue_.empty() && Queue_.top().At_ <= Options_.Duration_) {
    TimedTask Next = Queue_.top();
    Queue_.pop();
    Now_ = Next.At_;
    Next.Task_();
  }
  collectResults();
  return Results_;
}

Fleet::Datagram Fleet::serialize(const Message &M) {
  std::uint8_t Buffer[MaxDatagramSize + MaxHeaderSize];
  return {Buffer, Buffer + encode(M, Buffer, sizeof Buffer)};
}

void Fleet::schedule(Time When, Task Do) {
  Queue_.push({When, ++Sequence_, std::move(Do)});
}

Moment Fleet::moment(const Node &N) const {
  return {MonoTime(StartTime + Now_),
          WallTime(StartTime + Now_ + N.ClockOffset_)};
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
    handleEvent(I, DeclarationRead{Published_.back()});
  Incarnation Expected = N.Incarnation_;
  schedule(Now_, [this, I, Expected] { tick(I, Expected); });
}

void Fleet::handleEvent(std::size_t I, const Event &What) {
  ++Results_.Events_;
  Nodes_[I].Core_->handle(moment(Nodes_[I]), What,
                          [this, I](const Action &A) { perform(I, A); });
}

void Fleet::tick(std::size_t I, Incarnation Expected) {
  Node &N = Nodes_[I];
  if (N.Incarnation_ != Expected || !N.Core_)
    return;
  if (Now_ < N.SuspendedUntil_)
    return schedule(N.SuspendedUntil_,
                    [this, I, Expected] { tick(I, Expected); });
  std::vector<Task> Pending;
  Pending.swap(N.Inbox_);
  for (const Task &Deliver : Pending)
    if (N.Core_)
      Deliver();
  if (!N.Core_)
    return;
  handleEvent(I, Tick{});
  schedule(Now_ + TickInterval, [this, I, Expected] { tick(I, Expected); });
}

Fleet::Time Fleet::arrivalTime() {
  auto Delay =
      std::chrono::duration_cast<Micros>(milliseconds(1) * randomFraction());
  if (randomFraction() < Options_.DelayedShare_)
    Delay += std::chrono::duration_cast<Micros>(milliseconds(100) *
                                                randomFraction());
  return Now_ + Micros(200) + Delay;
}

bool Fleet::isPartitioned(std::size_t From, std::size_t To) const {
  return Partitions_.count({From, To}) != 0;
}

/// Delivers to the process that has the balancer's address on arrival. A
/// suspended process gets the delivery when it resumes.
void Fleet::sendToNode(std::size_t I, const Task &Deliver) {
  schedule(arrivalTime(), [this, I, Deliver] {
    Node &N = Nodes_[I];
    if (!N.Core_)
      return;
    if (Now_ < N.SuspendedUntil_)
      N.Inbox_.push_back(Deliver);
    else
      Deliver();
  });
}

void Fleet::perform(std::size_t I, const Action &A) {
  Node &N = Nodes_[I];
  if (const auto *To = std::get_if<ToCaller>(&A)) {
    auto Found = CallerByFlow_.find(raw(To->Message_.Flow_));
    if (Found == CallerByFlow_.end() || randomFraction() < Options_.LossRate_)
      return;
    std::size_t C = Found->second;
    Datagram Bytes = serialize(To->Message_);
    schedule(arrivalTime(), [this, C, Bytes] { callerReceives(C, Bytes); });
  } else if (const auto *Up = std::get_if<ToUpstream>(&A)) {
    for (std::size_t H = 0; H < FakeUpstreams_.size(); ++H)
      if (FakeUpstreams_[H].At_ == Up->To_ &&
          randomFraction() >= Options_.LossRate_) {
        Datagram Bytes = serialize(Up->Message_);
        Endpoint From = N.Data_;
        schedule(arrivalTime(),
                 [this, H, From, Bytes] { upstreamReceives(H, From, Bytes); });
      }
  } else if (const auto *Peer = std::get_if<ToPeer>(&A)) {
    std::uint8_t Buffer[MaxDatagramSize + 2 * MaxHeaderSize];
    std::size_t Size =
        encodePeer(Peer->Datagram_, secret(), Buffer, sizeof Buffer);
    Datagram Bytes(Buffer, Buffer + Size);
    Endpoint From = N.Data_;
    int Copies = (randomFraction() >= Options_.LossRate_) +
                 (randomFraction() < Options_.DuplicateRate_);
    for (std::size_t J = 0; J < Nodes_.size(); ++J)
      for (int K = 0; K < Copies; ++K)
        if (Nodes_[J].Data_ == Peer->To_ && !isPartitioned(I, J))
          sendToNode(J, [this, J, From, Bytes] {
            FromPeer E{From, {}};
            std::array<SecretKey, 2> Keys{secret(), secret()};
            if (decodePeer(Bytes.data(), Bytes.size(), Keys, E.Datagram_) ==
                ErrorKind::None)
              handleEvent(J, E);
          });
  } else if (const auto *Applied = std::get_if<DeclarationApplied>(&A)) {
    if (N.AppliedDeclaration_ &&
        Applied->Declaration_->Version_ < N.AppliedDeclaration_->Version_)
      ++Results_.VersionRollbacks_;
    N.AppliedDeclaration_ = Applied->Declaration_;
  } else if (const auto *Broadcast = std::get_if<BroadcastSuccession>(&A)) {
    Succession S = Broadcast->Succession_;
    for (std::size_t J = 0; J < Nodes_.size(); ++J)
      if (J != I && Nodes_[J].Core_ && !isPartitioned(I, J))
        sendToNode(J, [this, J, S] { handleEvent(J, SuccessionReceived{S}); });
  } else if (std::get_if<Stopped>(&A)) {
    // The core is still handling an event, so a later task destroys it.
    Incarnation Expected = N.Incarnation_;
    schedule(Now_, [this, I, Expected] {
      if (Nodes_[I].Incarnation_ == Expected)
        Nodes_[I].Core_.reset();
    });
  } else if (const auto *Reread = std::get_if<RefreshDocuments>(&A)) {
    refresh(I, Reread->RefreshId_);
  }
}

/// Sends a resumed balancer the declaration from the platform or, if that is
/// down, from every peer that it can reach.
void Fleet::refresh(std::size_t I, std::uint64_t RefreshId) {
  if (Now_ >= PlatformDownUntil_) {
    DeclarationPtr Latest = Published_.back();
    return sendToNode(I, [this, I, Latest, RefreshId] {
      handleEvent(I, DeclarationRead{Latest, RefreshId});
    });
  }
  for (std::size_t J = 0; J < Nodes_.size(); ++J)
    if (J != I && Nodes_[J].Core_ && !isPartitioned(I, J) &&
        !isPartitioned(J, I))
      sendToNode(J, [this, I, J, RefreshId] {
        DeclarationPtr Current = Nodes_[J].AppliedDeclaration_;
        sendToNode(I, [this, I, Current, RefreshId] {
          if (Current)
            handleEvent(I, DeclarationRead{Current, RefreshId});
        });
      });
}

/// Sends heartbeats and declarations between peers, and the platform's
/// declaration to every balancer.
void Fleet::heartbeat() {
  for (std::size_t I = 0; I < Nodes_.size(); ++I) {
    Node &From = Nodes_[I];
    if (!From.Core_ || Now_ < From.SuspendedUntil_)
      continue;
    HeartbeatReceived Heartbeat{static_cast<BalancerId>(I + 1), From.Data_,
                                From.Incarnation_, From.Leaving_};
    DeclarationPtr Current = From.AppliedDeclaration_;
    for (std::size_t J = 0; J < Nodes_.size(); ++J) {
      if (J == I || !Nodes_[J].Core_ || isPartitioned(I, J))
        continue;
      sendToNode(J, [this, J, Heartbeat, Current] {
        handleEvent(J, Heartbeat);
        if (Current)
          handleEvent(J, DeclarationRead{Current});
      });
    }
    if (Now_ < PlatformDownUntil_)
      continue;
    bool Stale = Now_ < PlatformStaleUntil_ && randomFraction() < 0.5;
    DeclarationPtr Latest = Stale ? Published_.front() : Published_.back();
    sendToNode(I,
               [this, I, Latest] { handleEvent(I, DeclarationRead{Latest}); });
  }
  schedule(Now_ + HeartbeatInterval, [this] { heartbeat(); });
}

void Fleet::publish(
    const std::function<void(std::size_t, std::string &)> &Label) {
  for (std::size_t I = 0; I < Roles_.size(); ++I) {
    std::string Before = Roles_[I];
    Label(I, Roles_[I]);
    for (const char *Name : ServiceNames) {
      auto Id = static_cast<ServiceId>(nameId(Name));
      if (Roles_[I] == Name)
        FakeUpstreams_[I].DrainedAt_.erase(Id);
      else if (Before == Name)
        FakeUpstreams_[I].DrainedAt_[Id] = Now_;
    }
  }
  auto Version = std::to_string(Published_.size() + 1);
  std::string Text = "{\"version\": " + Version + ", \"services\": [";
  Text += R"({"name": "index", "port": 1, "deadline_ms": 1000},)";
  Text += R"({"name": "archive", "port": 2, "deadline_ms": 1000}],)";
  Text += "\"upstreams\": [";
  for (std::size_t I = 0; I < FakeUpstreams_.size(); ++I)
    Text += std::string(I == 0 ? "" : ",") + "{\"name\": \"up-" +
            std::to_string(I) + "\", \"address\": \"" +
            formatEndpoint(FakeUpstreams_[I].At_) +
            "\", \"data_hall\": \"h\", \"remembers_requests\": " +
            (Options_.UpstreamsRemember_ ? "true" : "false") +
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
  std::size_t I = F.Parameter_ % Nodes_.size();
  std::size_t J =
      (I + 1 + F.Parameter_ / 7 % (Nodes_.size() - 1)) % Nodes_.size();
  std::size_t H = F.Parameter_ % FakeUpstreams_.size();
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
    if (!N.Core_ || Now_ < N.SuspendedUntil_)
      return;
    N.Leaving_ = true;
    return handleEvent(I, StopRequested{});
  case FaultKind::SuspendBalancer:
    N.SuspendedUntil_ = Now_ + milliseconds(500 + F.Parameter_ % 3000);
    return;
  case FaultKind::PartitionOneWay:
  case FaultKind::PartitionBothWays:
    Partitions_.insert({I, J});
    if (F.Kind_ == FaultKind::PartitionBothWays)
      Partitions_.insert({J, I});
    return schedule(Now_ + seconds(2), [this, I, J] {
      Partitions_.erase({I, J});
      Partitions_.erase({J, I});
    });
  case FaultKind::ClockStep:
    N.ClockOffset_ = milliseconds(static_cast<int>(F.Parameter_ % 400) - 200);
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
    FakeUpstreams_[H].Incarnation_ =
        static_cast<Incarnation>(++NextIncarnation_);
    FakeUpstreams_[H].Flows_.clear();
    if (F.Kind_ == FaultKind::UpstreamReplaced)
      FakeUpstreams_[H].OnlyService_ = serviceAt(H + 1);
    return;
  case FaultKind::UpstreamRefuses:
    FakeUpstreams_[H].RefusesUntil_ = Now_ + seconds(1);
    return;
  case FaultKind::UpstreamSlow:
    FakeUpstreams_[H].SlowUntil_ = Now_ + seconds(1);
    return;
  case FaultKind::Count:
    return;
  }
}

std::size_t Fleet::randomNode() { return Random_() % Nodes_.size(); }

void Fleet::collectResults() {
  for (const auto &[PayloadId, Count] : RunCounts_)
    Results_.RanTwice_ += Count > 1;
  for (std::uint64_t PayloadId : ReportedNotRun_)
    Results_.FalseNotRun_ += RunPayloads_.count(PayloadId);
  for (std::uint64_t PayloadId : AnsweredAtMostOnce_)
    Results_.AnsweredWithoutRun_ += 1 - RunCounts_.count(PayloadId);
  Results_.Converged_ = true;
  for (const Node &N : Nodes_) {
    if (!N.Core_)
      continue;
    Results_.Adopted_ += N.Core_->counters().Adopted_;
    Results_.Rehomed_ += N.Core_->counters().Rehomed_;
    bool Current = N.AppliedDeclaration_ == Published_.back();
    Results_.Converged_ = Results_.Converged_ && Current;
  }
}

} // namespace thymewall::test

// The fleet's fake upstreams and callers.
#include "fleet.h"

#include <algorithm>

namespace thymewall::test {

namespace {

constexpr Micros ResendEvery = milliseconds(100);
constexpr Micros PingEvery = milliseconds(700);
constexpr Micros DeadlineAfter = seconds(1);
constexpr Micros Grace = milliseconds(500);
constexpr Micros LeaveWithin = seconds(3);

} // namespace

// Upstreams.

void Fleet::hostReceives(std::size_t H, const Endpoint &From,
                         const Wire &Bytes) {
  Message M;
  if (decode(Bytes.data(), Bytes.size(), M) != ErrorKind::None)
    std::abort();
  Host &U = Hosts_[H];
  if (M.Kind_ == MessageKind::Open) {
    M.Kind_ = MessageKind::Opened;
    auto Left = U.LeftAt_.find(M.Service_);
    if (Left != U.LeftAt_.end() && Now_ > Left->second + LeaveWithin)
      ++Seen_.LateNewWork_;
    if (Now_ < U.RefusesUntil_)
      M.Kind_ = MessageKind::Refused;
    else if (U.Only_ && *U.Only_ != M.Service_)
      M.Kind_ = MessageKind::Reset;
    else
      U.Flows_[raw(M.Flow_)] = M.Service_;
    return hostSends(H, From, M);
  }
  if (M.Kind_ != MessageKind::Request)
    return;
  auto Known = U.Flows_.find(raw(M.Flow_));
  bool Holds = Known != U.Flows_.end() && M.Incarnation_ == U.Incarnation_;
  if (!Holds)
    M.Kind_ = MessageKind::Reset;
  else if (Now_ < U.RefusesUntil_)
    M.Kind_ = MessageKind::Refused;
  else
    return runRequest(H, From, M);
  M.Payload_ = {};
  hostSends(H, From, M);
}

void Fleet::runRequest(std::size_t H, const Endpoint &From, const Message &M) {
  Host &U = Hosts_[H];
  auto Body = detail::readAppPayload(M.Payload_);
  ServiceId Meant{Body.Service_};
  if (U.Flows_[raw(M.Flow_)] != Meant || (U.Only_ && *U.Only_ != Meant))
    ++Seen_.WrongService_;
  std::uint64_t Run = ++Runs_;
  Ran_.insert(Body.Id_);
  if (!M.repeatable()) {
    auto Before = U.Done_.find(M.Epoch_);
    bool Replays = Options_.Remember_ && Before != U.Done_.end();
    if (Replays)
      Run = Before->second;
    else
      ++RunsOf_[Body.Id_];
    U.Done_[M.Epoch_] = Run;
  }
  Message Plain = M;
  Plain.Payload_ = {};
  std::uint64_t Uid = Body.Id_;
  std::uint16_t Parts = Body.Parts_;
  Time Takes = milliseconds(Now_ < U.SlowUntil_ ? 700 : 2);
  at(Now_ + Takes, [this, H, From, Plain, Run, Parts, Uid] {
    Message Out = Plain;
    Out.Kind_ = MessageKind::Answer;
    Out.Parts_ = Parts;
    for (std::uint16_t P = 0; P < Parts; ++P) {
      std::uint8_t Payload[16];
      std::memcpy(Payload, &Uid, 8);
      std::memcpy(Payload + 8, &Run, 8);
      Out.Part_ = P;
      Out.Payload_ = {Payload, sizeof Payload};
      hostSends(H, From, Out);
    }
  });
}

void Fleet::hostSends(std::size_t H, const Endpoint &To, Message M) {
  M.Incarnation_ = Hosts_[H].Incarnation_;
  M.OpenFlows_ = static_cast<std::uint32_t>(Hosts_[H].Flows_.size());
  Wire Bytes = wireOf(M);
  Endpoint From = Hosts_[H].At_;
  int Copies = (draw() >= Options_.Loss_) + (draw() < Options_.Repeat_);
  for (std::size_t J = 0; J < Nodes_.size(); ++J)
    for (int K = 0; K < Copies; ++K)
      if (Nodes_[J].Data_ == To)
        toNode(J, [this, J, From, Bytes] {
          FromUpstream E{From, {}};
          if (decode(Bytes.data(), Bytes.size(), E.Message_) == ErrorKind::None)
            give(J, E);
        });
}

// Callers.

void Fleet::openFlow(std::size_t C) {
  Caller &Who = Callers_[C];
  CallerOf_.erase(raw(Who.Flow_));
  Endpoint At = Who.At_;
  ServiceId Service = Who.Service_;
  std::uint64_t Turn = Who.Turn_ + 1;
  Who = Caller();
  Who.At_ = At;
  Who.Service_ = Service;
  Who.Turn_ = Turn;
  Who.Flow_ = static_cast<FlowId>(Random_());
  CallerOf_[raw(Who.Flow_)] = C;
  resend(C, Turn);
}

void Fleet::nextRequest(std::size_t C) {
  Caller &Who = Callers_[C];
  Who.Requesting_ = true;
  ++Who.Turn_;
  ++Who.Number_;
  Who.Uid_ = Random_();
  Who.Once_ = draw() < Options_.OnceShare_;
  Who.SentRoute_ = Who.Route_;
  Who.Deadline_ = Now_ + DeadlineAfter;
  Who.Parts_.clear();
  ++Seen_.Requests_;
  resend(C, Who.Turn_);
}

void Fleet::resend(std::size_t C, std::uint64_t Turn) {
  Caller &Who = Callers_[C];
  if (Who.Turn_ != Turn)
    return;
  if (Who.Requesting_ && Now_ > Who.Deadline_ + Grace)
    return finished(C, Seen_.NoFinalAnswer_);
  std::uint8_t Payload[160] = {};
  Message M;
  M.Kind_ = Who.Requesting_ ? MessageKind::Request : MessageKind::Open;
  M.Payload_ = {Payload, sizeof Payload};
  if (Who.Requesting_) {
    auto Parts = static_cast<std::uint16_t>(1 + Who.Uid_ % 4);
    detail::writeAppPayload({Who.Uid_, raw(Who.Service_), Parts}, Payload);
    M.Request_ = Who.Number_;
    M.Flags_ = Who.Once_ ? 0 : FlagRepeatable;
    M.Deadline_ = WallTime(Epoch + Who.Deadline_);
    M.Route_ = Who.SentRoute_.bytes();
  }
  send(C, M);
  at(Now_ + ResendEvery, [this, C, Turn] { resend(C, Turn); });
}

void Fleet::ping(std::size_t C, FlowId Of) {
  Caller &Who = Callers_[C];
  if (Who.Flow_ != Of)
    return;
  Message M;
  M.Kind_ = MessageKind::Ping;
  M.Route_ = Who.Route_.bytes();
  send(C, M);
  at(Now_ + PingEvery, [this, C, Of] { ping(C, Of); });
}

void Fleet::send(std::size_t C, Message M) {
  Caller &Who = Callers_[C];
  M.Flow_ = Who.Flow_;
  const Caller &Other = Callers_[(C + 1) % Callers_.size()];
  if (Options_.Forge_ && draw() < 0.3 && Other.Route_.Size_ != 0)
    M.Route_ = Other.Route_.bytes(); // of another flow and service
  Wire Bytes = wireOf(M);
  int Copies = (draw() >= Options_.Loss_) + (draw() < Options_.Repeat_);
  for (int K = 0; K < Copies; ++K) {
    std::size_t I = anyNode();
    ServiceId Service = Who.Service_;
    Endpoint From = Who.At_;
    toNode(I, [this, I, From, Service, Bytes] {
      FromCaller E{From, {}, Bytes.size()};
      decode(Bytes.data(), Bytes.size(), E.Message_);
      E.Message_.Service_ = Service;
      give(I, E);
    });
  }
}

void Fleet::callerReceives(std::size_t C, const Wire &Bytes) {
  Message M;
  if (decode(Bytes.data(), Bytes.size(), M) != ErrorKind::None)
    std::abort();
  Caller &Who = Callers_[C];
  if (M.Flow_ != Who.Flow_)
    return;
  auto KeepRoute = [&] {
    std::copy_n(M.Route_.Data_, M.Route_.Size_, Who.Route_.Bytes_.begin());
    Who.Route_.Size_ = M.Route_.Size_;
  };
  if (M.Kind_ == MessageKind::Opened) {
    if (Who.Open_)
      return;
    Who.Open_ = true;
    ++Seen_.Opened_;
    KeepRoute();
    ping(C, Who.Flow_);
    return nextRequest(C);
  }
  if (M.Kind_ == MessageKind::Moved && Who.Open_)
    return KeepRoute();
  bool Broken = M.Reason_ == ErrorKind::FlowUnknown;
  if (!Who.Open_ &&
      (M.Kind_ == MessageKind::Refused || M.Kind_ == MessageKind::Reset)) {
    std::uint64_t Turn = ++Who.Turn_;
    return at(Now_ + ResendEvery, [this, C, Turn] {
      if (Callers_[C].Turn_ == Turn)
        openFlow(C);
    });
  }
  if (!Who.Requesting_ || M.Request_ != Who.Number_)
    return;
  if (M.Kind_ == MessageKind::Answer) {
    std::uint64_t Uid = 0;
    std::uint64_t Run = 0;
    std::memcpy(&Uid, M.Payload_.Data_, 8);
    std::memcpy(&Run, M.Payload_.Data_ + 8, 8);
    if (Uid != Who.Uid_)
      ++Seen_.MixedAnswers_;
    auto &Parts = Who.Parts_[M.Attempt_];
    Parts[M.Part_] = Run;
    if (!M.Route_.empty())
      KeepRoute();
    if (Parts.size() < M.Parts_)
      return;
    std::set<std::uint64_t> RunsSeen;
    for (const auto &[Part, Which] : Parts)
      RunsSeen.insert(Which);
    Seen_.MixedAnswers_ += RunsSeen.size() != 1;
    if (Who.Once_)
      AnsweredOnce_.insert(Who.Uid_);
    return finished(C, Seen_.Answered_);
  }
  if (M.Kind_ != MessageKind::Refused && M.Kind_ != MessageKind::Reset)
    return;
  if (!M.Route_.empty())
    KeepRoute();
  bool NotRun = (M.Flags_ & FlagNotRun) != 0;
  if (NotRun)
    NotRunTold_.insert(Who.Uid_);
  if (!NotRun)
    ++Seen_.Reasons_[std::string(errorRow(M.Reason_).Name_) +
                     (Who.Once_ ? " once" : " repeatable")];
  finished(C, NotRun ? Seen_.NotRun_ : Seen_.OutcomeUnknown_);
  if (!Broken)
    return;
  ++Seen_.BrokenFlows_;
  openFlow(C);
}

void Fleet::finished(std::size_t C, std::uint64_t &Total) {
  ++Total;
  Caller &Who = Callers_[C];
  Who.Requesting_ = false;
  std::uint64_t Turn = ++Who.Turn_;
  Time Pause = std::chrono::duration_cast<Micros>(Options_.PauseUpTo_ * draw());
  at(Now_ + Pause, [this, C, Turn] {
    if (Callers_[C].Turn_ == Turn)
      nextRequest(C);
  });
}

} // namespace thymewall::test

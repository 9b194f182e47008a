// Fake upstreams and callers of the fleet simulation.
#include "fleet.h"

#include <algorithm>

namespace thymewall::test {

namespace {

constexpr Micros ResendInterval = milliseconds(100);
constexpr Micros PingInterval = milliseconds(700);
constexpr Micros RequestTimeout = seconds(1);
constexpr Micros AnswerGracePeriod = milliseconds(500);
constexpr Micros MaxDrainDelay = seconds(3);

} // namespace

// Upstreams.

void Fleet::upstreamReceives(std::size_t H, const Endpoint &From,
                             const Datagram &Bytes) {
  Message M;
  if (decode(Bytes.data(), Bytes.size(), M) != ErrorKind::None)
    std::abort();
  FakeUpstream &U = FakeUpstreams_[H];
  if (M.Kind_ == MessageKind::Open) {
    M.Kind_ = MessageKind::Opened;
    auto Left = U.DrainedAt_.find(M.Service_);
    if (Left != U.DrainedAt_.end() && Now_ > Left->second + MaxDrainDelay)
      ++Results_.LateOpens_;
    if (Now_ < U.RefusesUntil_)
      M.Kind_ = MessageKind::Refused;
    else if (U.OnlyService_ && *U.OnlyService_ != M.Service_)
      M.Kind_ = MessageKind::Reset;
    else
      U.Flows_[raw(M.Flow_)] = M.Service_;
    return upstreamSends(H, From, M);
  }
  if (M.Kind_ != MessageKind::Request)
    return;
  auto Found = U.Flows_.find(raw(M.Flow_));
  bool Holds = Found != U.Flows_.end() && M.Incarnation_ == U.Incarnation_;
  if (!Holds)
    M.Kind_ = MessageKind::Reset;
  else if (Now_ < U.RefusesUntil_)
    M.Kind_ = MessageKind::Refused;
  else
    return runRequest(H, From, M);
  M.Payload_ = {};
  upstreamSends(H, From, M);
}

void Fleet::runRequest(std::size_t H, const Endpoint &From, const Message &M) {
  FakeUpstream &U = FakeUpstreams_[H];
  auto Body = detail::readAppPayload(M.Payload_);
  ServiceId IntendedService{Body.Service_};
  if (U.Flows_[raw(M.Flow_)] != IntendedService ||
      (U.OnlyService_ && *U.OnlyService_ != IntendedService))
    ++Results_.WrongService_;
  std::uint64_t Run = ++LastRun_;
  RunPayloads_.insert(Body.Id_);
  if (!M.repeatable()) {
    auto Before = U.RunByEpoch_.find(M.Epoch_);
    bool Replays = Options_.UpstreamsRemember_ && Before != U.RunByEpoch_.end();
    if (Replays)
      Run = Before->second;
    else
      ++RunCounts_[Body.Id_];
    U.RunByEpoch_[M.Epoch_] = Run;
  }
  Message Reply = M;
  Reply.Payload_ = {};
  std::uint64_t PayloadId = Body.Id_;
  std::uint16_t Parts = Body.Parts_;
  Time ServiceTime = milliseconds(Now_ < U.SlowUntil_ ? 700 : 2);
  schedule(Now_ + ServiceTime, [this, H, From, Reply, Run, Parts, PayloadId] {
    Message Out = Reply;
    Out.Kind_ = MessageKind::Answer;
    Out.Parts_ = Parts;
    for (std::uint16_t P = 0; P < Parts; ++P) {
      std::uint8_t Payload[16];
      std::memcpy(Payload, &PayloadId, 8);
      std::memcpy(Payload + 8, &Run, 8);
      Out.Part_ = P;
      Out.Payload_ = {Payload, sizeof Payload};
      upstreamSends(H, From, Out);
    }
  });
}

void Fleet::upstreamSends(std::size_t H, const Endpoint &To, Message M) {
  M.Incarnation_ = FakeUpstreams_[H].Incarnation_;
  M.OpenFlows_ = static_cast<std::uint32_t>(FakeUpstreams_[H].Flows_.size());
  Datagram Bytes = serialize(M);
  Endpoint From = FakeUpstreams_[H].At_;
  int Copies = (randomFraction() >= Options_.LossRate_) +
               (randomFraction() < Options_.DuplicateRate_);
  for (std::size_t J = 0; J < Nodes_.size(); ++J)
    for (int K = 0; K < Copies; ++K)
      if (Nodes_[J].Data_ == To)
        sendToNode(J, [this, J, From, Bytes] {
          FromUpstream E{From, {}};
          if (decode(Bytes.data(), Bytes.size(), E.Message_) == ErrorKind::None)
            handleEvent(J, E);
        });
}

// Callers.

void Fleet::openFlow(std::size_t C) {
  FakeCaller &Caller = Callers_[C];
  CallerByFlow_.erase(raw(Caller.Flow_));
  Endpoint At = Caller.At_;
  ServiceId Service = Caller.Service_;
  std::uint64_t Generation = Caller.TimerGeneration_ + 1;
  Caller = FakeCaller();
  Caller.At_ = At;
  Caller.Service_ = Service;
  Caller.TimerGeneration_ = Generation;
  Caller.Flow_ = static_cast<FlowId>(Random_());
  CallerByFlow_[raw(Caller.Flow_)] = C;
  resend(C, Generation);
}

void Fleet::nextRequest(std::size_t C) {
  FakeCaller &Caller = Callers_[C];
  Caller.RequestPending_ = true;
  ++Caller.TimerGeneration_;
  ++Caller.RequestNumber_;
  Caller.PayloadId_ = Random_();
  Caller.AtMostOnce_ = randomFraction() < Options_.AtMostOnceShare_;
  Caller.SentRoute_ = Caller.Route_;
  Caller.Deadline_ = Now_ + RequestTimeout;
  Caller.Parts_.clear();
  ++Results_.Requests_;
  resend(C, Caller.TimerGeneration_);
}

void Fleet::resend(std::size_t C, std::uint64_t Generation) {
  FakeCaller &Caller = Callers_[C];
  if (Caller.TimerGeneration_ != Generation)
    return;
  if (Caller.RequestPending_ && Now_ > Caller.Deadline_ + AnswerGracePeriod)
    return finishRequest(C, Results_.NoFinalAnswer_);
  std::uint8_t Payload[160] = {};
  Message M;
  M.Kind_ = Caller.RequestPending_ ? MessageKind::Request : MessageKind::Open;
  M.Payload_ = {Payload, sizeof Payload};
  if (Caller.RequestPending_) {
    auto Parts = static_cast<std::uint16_t>(1 + Caller.PayloadId_ % 4);
    detail::writeAppPayload({Caller.PayloadId_, raw(Caller.Service_), Parts},
                            Payload);
    M.Request_ = Caller.RequestNumber_;
    M.Flags_ = Caller.AtMostOnce_ ? 0 : FlagRepeatable;
    M.Deadline_ = WallTime(StartTime + Caller.Deadline_);
    M.Route_ = Caller.SentRoute_.bytes();
  }
  send(C, M);
  schedule(Now_ + ResendInterval,
           [this, C, Generation] { resend(C, Generation); });
}

void Fleet::ping(std::size_t C, FlowId Expected) {
  FakeCaller &Caller = Callers_[C];
  if (Caller.Flow_ != Expected)
    return;
  Message M;
  M.Kind_ = MessageKind::Ping;
  M.Route_ = Caller.Route_.bytes();
  send(C, M);
  schedule(Now_ + PingInterval, [this, C, Expected] { ping(C, Expected); });
}

void Fleet::send(std::size_t C, Message M) {
  FakeCaller &Caller = Callers_[C];
  M.Flow_ = Caller.Flow_;
  const FakeCaller &Other = Callers_[(C + 1) % Callers_.size()];
  if (Options_.ForgeRoutes_ && randomFraction() < 0.3 &&
      Other.Route_.Size_ != 0)
    M.Route_ = Other.Route_.bytes(); // of another flow and service
  Datagram Bytes = serialize(M);
  int Copies = (randomFraction() >= Options_.LossRate_) +
               (randomFraction() < Options_.DuplicateRate_);
  for (int K = 0; K < Copies; ++K) {
    std::size_t I = randomNode();
    ServiceId Service = Caller.Service_;
    Endpoint From = Caller.At_;
    sendToNode(I, [this, I, From, Service, Bytes] {
      FromCaller E{From, {}, Bytes.size()};
      decode(Bytes.data(), Bytes.size(), E.Message_);
      E.Message_.Service_ = Service;
      handleEvent(I, E);
    });
  }
}

void Fleet::callerReceives(std::size_t C, const Datagram &Bytes) {
  Message M;
  if (decode(Bytes.data(), Bytes.size(), M) != ErrorKind::None)
    std::abort();
  FakeCaller &Caller = Callers_[C];
  if (M.Flow_ != Caller.Flow_)
    return;
  auto KeepRoute = [&] {
    std::copy_n(M.Route_.Data_, M.Route_.Size_, Caller.Route_.Bytes_.begin());
    Caller.Route_.Size_ = M.Route_.Size_;
  };
  if (M.Kind_ == MessageKind::Opened) {
    if (Caller.Open_)
      return;
    Caller.Open_ = true;
    ++Results_.Opened_;
    KeepRoute();
    ping(C, Caller.Flow_);
    return nextRequest(C);
  }
  if (M.Kind_ == MessageKind::Moved && Caller.Open_)
    return KeepRoute();
  bool Broken = M.Reason_ == ErrorKind::FlowUnknown;
  if (!Caller.Open_ &&
      (M.Kind_ == MessageKind::Refused || M.Kind_ == MessageKind::Reset)) {
    std::uint64_t Generation = ++Caller.TimerGeneration_;
    return schedule(Now_ + ResendInterval, [this, C, Generation] {
      if (Callers_[C].TimerGeneration_ == Generation)
        openFlow(C);
    });
  }
  if (!Caller.RequestPending_ || M.Request_ != Caller.RequestNumber_)
    return;
  if (M.Kind_ == MessageKind::Answer) {
    std::uint64_t PayloadId = 0;
    std::uint64_t Run = 0;
    std::memcpy(&PayloadId, M.Payload_.Data_, 8);
    std::memcpy(&Run, M.Payload_.Data_ + 8, 8);
    if (PayloadId != Caller.PayloadId_)
      ++Results_.MixedAnswers_;
    auto &Parts = Caller.Parts_[M.Attempt_];
    Parts[M.Part_] = Run;
    if (!M.Route_.empty())
      KeepRoute();
    if (Parts.size() < M.Parts_)
      return;
    std::set<std::uint64_t> RunsSeen;
    for (const auto &[Part, Which] : Parts)
      RunsSeen.insert(Which);
    Results_.MixedAnswers_ += RunsSeen.size() != 1;
    if (Caller.AtMostOnce_)
      AnsweredAtMostOnce_.insert(Caller.PayloadId_);
    return finishRequest(C, Results_.Answered_);
  }
  if (M.Kind_ != MessageKind::Refused && M.Kind_ != MessageKind::Reset)
    return;
  if (!M.Route_.empty())
    KeepRoute();
  bool NotRun = (M.Flags_ & FlagNotRun) != 0;
  if (NotRun)
    ReportedNotRun_.insert(Caller.PayloadId_);
  if (!NotRun)
    ++Results_.OutcomeUnknownReasons_[std::string(errorRow(M.Reason_).Name_) +
                                      (Caller.AtMostOnce_ ? " once"
                                                          : " repeatable")];
  finishRequest(C, NotRun ? Results_.NotRun_ : Results_.OutcomeUnknown_);
  if (!Broken)
    return;
  ++Results_.BrokenFlows_;
  openFlow(C);
}

void Fleet::finishRequest(std::size_t C, std::uint64_t &Counter) {
  ++Counter;
  FakeCaller &Caller = Callers_[C];
  Caller.RequestPending_ = false;
  std::uint64_t Generation = ++Caller.TimerGeneration_;
  Time Pause =
      std::chrono::duration_cast<Micros>(Options_.MaxPause_ * randomFraction());
  schedule(Now_ + Pause, [this, C, Generation] {
    if (Callers_[C].TimerGeneration_ == Generation)
      nextRequest(C);
  });
}

} // namespace thymewall::test

#include "load-run.h"

#include "app-payload.h"
#include "thymewall/metrics.h"
#include "thymewall/route.h"
#include "udp-socket.h"

#include <asio/steady_timer.hpp>
#include <map>
#include <nlohmann/json.hpp>
#include <random>
#include <unordered_map>

namespace thymewall::detail {

namespace {

using namespace std::chrono_literals;
using SteadyTime = std::chrono::steady_clock::time_point;

constexpr auto TickInterval = 5ms;
constexpr auto ResendInterval = 200ms;
constexpr auto PingInterval = 4s;
/// How long after its deadline a request without a final answer is given up.
constexpr auto GraceAfterDeadline = 300ms;
constexpr auto DrainTime = 500ms;
constexpr std::size_t OpenPaddingBytes = 140;

enum class State { Waiting, Opening, Idle, Requesting, Done };

/// Request in progress on a flow. Resends carry the route of the first send,
/// which is part of the request's identity.
struct PendingRequest {
  std::uint64_t Id_ = 0;
  std::uint32_t Number_ = 0;
  bool AtMostOnce_ = false;
  SignedRoute Route_;
  SteadyTime SentAt_;
  SteadyTime ResendAt_;
  SteadyTime GiveUpAt_;
  WallTime Deadline_{};
  /// Bit mask of the received parts per attempt; attempts may be interleaved.
  std::map<std::uint64_t, std::uint64_t> PartsSeen_;
};

struct CallerFlow {
  FlowId Id_{};
  std::size_t Class_ = 0;
  std::size_t Socket_ = 0;
  State State_ = State::Waiting;
  SteadyTime NextActionAt_;
  SteadyTime NextPingAt_;
  SignedRoute Route_;
  PendingRequest Pending_;
  std::uint32_t CompletedRequests_ = 0;
  std::uint32_t Number_ = 0;        ///< Number of the latest request.
  std::uint32_t PushesInOrder_ = 0; ///< Acknowledged by pings.
};

struct Totals {
  std::uint64_t Requests_ = 0;
  std::uint64_t Answered_ = 0;
  std::uint64_t NotRun_ = 0;
  std::uint64_t OutcomeUnknown_ = 0;
  std::uint64_t NoFinalAnswer_ = 0;
  std::uint64_t OpensRefused_ = 0;
  std::uint64_t BrokenFlows_ = 0;
  std::uint64_t WrongService_ = 0;
  std::uint64_t MixedParts_ = 0;
  std::uint64_t Pushes_ = 0;
  std::vector<std::uint64_t> AnsweredAtMostOnce_;
  std::vector<std::uint64_t> NotRunAtMostOnce_;
};

WallTime wallNow() {
  return WallTime(std::chrono::duration_cast<Micros>(
      std::chrono::system_clock::now().time_since_epoch()));
}

void storeRoute(SignedRoute &Into, Bytes From) {
  if (From.empty() || From.Size_ > MaxRouteSize)
    return;
  std::memcpy(Into.Bytes_.data(), From.Data_, From.Size_);
  Into.Size_ = From.Size_;
}

} // namespace

class LoadRun::Impl {
public:
  Impl(asio::io_context &Context, const Scenario &S);
  std::string record() const;

private:
  void schedule();
  void tick();
  void start(CallerFlow &F, SteadyTime Now);
  void runDueAction(CallerFlow &F, SteadyTime Now);
  void sendOpen(CallerFlow &F, SteadyTime Now);
  void sendRequest(CallerFlow &F, SteadyTime Now);
  void beginRequest(CallerFlow &F, SteadyTime Now);
  void finishRequest(CallerFlow &F);
  void sendPing(CallerFlow &F, SteadyTime Now);
  void close(CallerFlow &F);
  void receive(const std::uint8_t *Data, std::size_t Size);
  void onOpened(CallerFlow &F, const Message &M);
  void onAnswer(CallerFlow &F, const Message &M);
  void onRefused(CallerFlow &F, const Message &M);
  void onReset(CallerFlow &F, const Message &M);
  void recordNotCompleted(CallerFlow &F, const Message &M);
  void onPush(CallerFlow &F, const Message &M);
  void reopen(CallerFlow &F, SteadyTime At);
  void send(CallerFlow &F, Message &M);
  const LoadClass &classOf(const CallerFlow &F) const {
    return Scenario_.Classes_[F.Class_];
  }
  SteadyTime nextRequestTime(const CallerFlow &F, SteadyTime Now);
  std::string delayClass(const PendingRequest &P) const {
    return P.AtMostOnce_ ? "once" : "repeatable";
  }

  asio::io_context &Context_;
  Scenario Scenario_;
  std::mt19937_64 Random_;
  asio::steady_timer Timer_;
  std::vector<std::unique_ptr<UdpSocket>> Sockets_;
  std::vector<CallerFlow> Flows_;
  std::unordered_map<std::uint64_t, std::size_t> FlowIndexById_;
  Totals Totals_;
  DelayMetrics Delays_;
  std::size_t OpenFlows_ = 0;
  std::size_t FinishedFlows_ = 0;
  std::int64_t SteadyAtMs_ = 0;
  SteadyTime HoldUntil_ = SteadyTime::max();
  SteadyTime StopAt_ = SteadyTime::max();
};

LoadRun::Impl::Impl(asio::io_context &Context, const Scenario &S)
    : Context_(Context), Scenario_(S), Random_(S.Seed_), Timer_(Context) {
  Endpoint Local = S.LocalAddress_;
  Local.Port_ = 0;
  for (std::uint32_t I = 0; I < S.Sockets_; ++I)
    Sockets_.push_back(std::make_unique<UdpSocket>(
        Context, Local,
        [this](const Endpoint &, const std::uint8_t *Data, std::size_t Size) {
          receive(Data, Size);
        }));
  for (std::size_t C = 0; C < S.Classes_.size(); ++C)
    for (std::uint32_t I = 0; I < S.Classes_[C].Flows_; ++I) {
      CallerFlow F;
      F.Class_ = C;
      Flows_.push_back(F);
    }
  std::shuffle(Flows_.begin(), Flows_.end(), Random_);
  auto Now = std::chrono::steady_clock::now();
  auto Gap = std::chrono::nanoseconds(1s) / S.OpensPerSecond_;
  for (std::size_t I = 0; I < Flows_.size(); ++I) {
    Flows_[I].Socket_ = Random_() % Sockets_.size();
    Flows_[I].NextActionAt_ = Now + Gap * static_cast<long>(I);
  }
  schedule();
}

void LoadRun::Impl::schedule() {
  Timer_.expires_after(TickInterval);
  Timer_.async_wait([this](const asio::error_code &Error) {
    if (!Error)
      tick();
  });
}

void LoadRun::Impl::tick() {
  auto Now = std::chrono::steady_clock::now();
  for (CallerFlow &F : Flows_)
    if (F.State_ != State::Done && Now >= F.NextActionAt_)
      runDueAction(F, Now);
  for (CallerFlow &F : Flows_)
    if ((F.State_ == State::Idle || F.State_ == State::Requesting) &&
        Now >= F.NextPingAt_)
      sendPing(F, Now);
  if (FinishedFlows_ == Flows_.size() && StopAt_ == SteadyTime::max())
    StopAt_ = Now + DrainTime;
  if (Now >= StopAt_)
    return Context_.stop();
  schedule();
}

/// Runs the action of a flow that is due at its `NextActionAt_`.
void LoadRun::Impl::runDueAction(CallerFlow &F, SteadyTime Now) {
  switch (F.State_) {
  case State::Waiting:
    return start(F, Now);
  case State::Opening:
    return sendOpen(F, Now);
  case State::Idle:
    if (F.CompletedRequests_ < classOf(F).RequestsPerFlow_)
      return beginRequest(F, Now);
    if (Now >= HoldUntil_)
      return close(F);
    F.NextActionAt_ = Now + ResendInterval;
    return;
  case State::Requesting:
    if (Now < F.Pending_.GiveUpAt_)
      return sendRequest(F, Now);
    ++Totals_.NoFinalAnswer_;
    ++Totals_.OutcomeUnknown_;
    return finishRequest(F);
  case State::Done:
    return;
  }
}

void LoadRun::Impl::start(CallerFlow &F, SteadyTime Now) {
  F.Id_ = static_cast<FlowId>(Random_());
  F.Number_ = 0;
  F.PushesInOrder_ = 0;
  FlowIndexById_[raw(F.Id_)] = static_cast<std::size_t>(&F - Flows_.data());
  F.State_ = State::Opening;
  sendOpen(F, Now);
}

void LoadRun::Impl::sendOpen(CallerFlow &F, SteadyTime Now) {
  std::uint8_t Padding[OpenPaddingBytes] = {};
  Message M;
  M.Kind_ = MessageKind::Open;
  M.Payload_ = {Padding, sizeof Padding};
  send(F, M);
  F.NextActionAt_ = Now + ResendInterval;
}

void LoadRun::Impl::beginRequest(CallerFlow &F, SteadyTime Now) {
  const LoadClass &C = classOf(F);
  PendingRequest P;
  P.Id_ = Random_();
  P.Number_ = ++F.Number_;
  P.AtMostOnce_ =
      std::generate_canonical<double, 32>(Random_) < C.AtMostOnceFraction_;
  P.Route_ = F.Route_;
  P.SentAt_ = Now;
  P.GiveUpAt_ = Now + C.RequestTimeout_ + GraceAfterDeadline;
  P.Deadline_ = wallNow() + C.RequestTimeout_;
  F.Pending_ = P;
  F.State_ = State::Requesting;
  ++Totals_.Requests_;
  sendRequest(F, Now);
}

void LoadRun::Impl::sendRequest(CallerFlow &F, SteadyTime Now) {
  const PendingRequest &P = F.Pending_;
  std::uint8_t Body[AppPayloadSize];
  const LoadClass &C = classOf(F);
  writeAppPayload({P.Id_, nameId(C.Service_), C.Parts_}, Body);
  Message M;
  M.Kind_ = MessageKind::Request;
  M.Request_ = P.Number_;
  M.Flags_ = P.AtMostOnce_ ? 0 : FlagRepeatable;
  M.Deadline_ = P.Deadline_;
  M.Route_ = P.Route_.bytes();
  M.Payload_ = {Body, sizeof Body};
  send(F, M);
  F.NextActionAt_ = Now + ResendInterval;
}

void LoadRun::Impl::sendPing(CallerFlow &F, SteadyTime Now) {
  Message M;
  M.Kind_ = MessageKind::Ping;
  M.Request_ = F.PushesInOrder_;
  M.Route_ = F.Route_.bytes();
  send(F, M);
  F.NextPingAt_ = Now + PingInterval;
}

void LoadRun::Impl::close(CallerFlow &F) {
  Message M;
  M.Kind_ = MessageKind::Close;
  M.Route_ = F.Route_.bytes();
  send(F, M);
  F.State_ = State::Done;
  ++FinishedFlows_;
}

void LoadRun::Impl::send(CallerFlow &F, Message &M) {
  M.Flow_ = F.Id_;
  std::uint8_t Buffer[MaxDatagramSize + MaxHeaderSize];
  std::size_t Size = encode(M, Buffer, sizeof Buffer);
  Sockets_[F.Socket_]->send(classOf(F).ServiceAddress_, Buffer, Size);
}

SteadyTime LoadRun::Impl::nextRequestTime(const CallerFlow &F, SteadyTime Now) {
  std::exponential_distribution<double> Spread(1);
  auto Think = classOf(F).MeanThinkTime_ * std::min(Spread(Random_), 4.0);
  return Now + std::chrono::duration_cast<std::chrono::nanoseconds>(Think);
}

void LoadRun::Impl::finishRequest(CallerFlow &F) {
  F.State_ = State::Idle;
  ++F.CompletedRequests_;
  F.NextActionAt_ = nextRequestTime(F, std::chrono::steady_clock::now());
}

void LoadRun::Impl::receive(const std::uint8_t *Data, std::size_t Size) {
  Message M;
  if (decode(Data, Size, M) != ErrorKind::None)
    return;
  auto Found = FlowIndexById_.find(raw(M.Flow_));
  if (Found == FlowIndexById_.end())
    return;
  CallerFlow &F = Flows_[Found->second];
  if (F.State_ == State::Done)
    return;
  switch (M.Kind_) {
  case MessageKind::Opened:
    return onOpened(F, M);
  case MessageKind::Answer:
    return onAnswer(F, M);
  case MessageKind::Refused:
    return onRefused(F, M);
  case MessageKind::Reset:
    return onReset(F, M);
  case MessageKind::Push:
    return onPush(F, M);
  case MessageKind::Moved:
    return storeRoute(F.Route_, M.Route_);
  default:
    return;
  }
}

/// Accepts the first `Opened` message; duplicates are ignored.
void LoadRun::Impl::onOpened(CallerFlow &F, const Message &M) {
  if (F.State_ != State::Opening)
    return;
  auto Now = std::chrono::steady_clock::now();
  storeRoute(F.Route_, M.Route_);
  F.State_ = State::Idle;
  auto Spread = PingInterval * std::generate_canonical<double, 32>(Random_);
  F.NextPingAt_ =
      Now + std::chrono::duration_cast<std::chrono::nanoseconds>(Spread);
  F.NextActionAt_ = nextRequestTime(F, Now);
  if (++OpenFlows_ < Flows_.size() || SteadyAtMs_ != 0)
    return;
  HoldUntil_ = Now + Scenario_.MinHoldTime_;
  SteadyAtMs_ = std::chrono::duration_cast<std::chrono::milliseconds>(
                    wallNow().time_since_epoch())
                    .count();
}

void LoadRun::Impl::onAnswer(CallerFlow &F, const Message &M) {
  PendingRequest &P = F.Pending_;
  if (F.State_ != State::Requesting || M.Request_ != P.Number_)
    return;
  AppPayload Body = readAppPayload(M.Payload_);
  if (Body.Service_ != nameId(classOf(F).Service_))
    ++Totals_.WrongService_;
  if (Body.Id_ != P.Id_ || Body.Parts_ != M.Part_)
    ++Totals_.MixedParts_;
  std::uint64_t &Seen = P.PartsSeen_[M.Attempt_];
  Seen |= std::uint64_t{1} << M.Part_;
  storeRoute(F.Route_, M.Route_);
  if (Seen != allPartsMask(M.Parts_))
    return;
  ++Totals_.Answered_;
  if (P.AtMostOnce_)
    Totals_.AnsweredAtMostOnce_.push_back(P.Id_);
  Delays_.record(classOf(F).Service_, delayClass(P),
                 std::chrono::duration_cast<Micros>(
                     std::chrono::steady_clock::now() - P.SentAt_));
  finishRequest(F);
}

/// Records a final answer that is not a complete response.
void LoadRun::Impl::recordNotCompleted(CallerFlow &F, const Message &M) {
  const PendingRequest &P = F.Pending_;
  bool NotRun = (M.Flags_ & FlagNotRun) != 0;
  ++(NotRun ? Totals_.NotRun_ : Totals_.OutcomeUnknown_);
  if (NotRun && P.AtMostOnce_)
    Totals_.NotRunAtMostOnce_.push_back(P.Id_);
  finishRequest(F);
}

void LoadRun::Impl::onRefused(CallerFlow &F, const Message &M) {
  auto Now = std::chrono::steady_clock::now();
  auto Delay = std::max(M.RetryAt_ - wallNow(), Micros{0});
  if (M.Request_ == 0) {
    if (F.State_ != State::Opening)
      return;
    ++Totals_.OpensRefused_;
    return reopen(F, Now + Delay);
  }
  if (F.State_ != State::Requesting || M.Request_ != F.Pending_.Number_)
    return;
  storeRoute(F.Route_, M.Route_);
  recordNotCompleted(F, M);
  F.NextActionAt_ = std::max(F.NextActionAt_, Now + Delay);
  if (M.Reason_ != ErrorKind::FlowUnknown)
    return;
  ++Totals_.BrokenFlows_;
  --OpenFlows_;
  reopen(F, Now);
}

void LoadRun::Impl::onReset(CallerFlow &F, const Message &M) {
  auto Now = std::chrono::steady_clock::now();
  if (F.State_ == State::Opening)
    return reopen(F, Now + ResendInterval);
  bool IsCurrent =
      F.State_ == State::Requesting && M.Request_ == F.Pending_.Number_;
  if (M.Request_ != 0 && !IsCurrent)
    return;
  ++Totals_.BrokenFlows_;
  --OpenFlows_;
  if (F.State_ == State::Requesting)
    recordNotCompleted(F, M);
  reopen(F, Now);
}

void LoadRun::Impl::reopen(CallerFlow &F, SteadyTime At) {
  FlowIndexById_.erase(raw(F.Id_));
  F.State_ = State::Waiting;
  F.NextActionAt_ = At;
}

void LoadRun::Impl::onPush(CallerFlow &F, const Message &M) {
  if (M.Request_ != F.PushesInOrder_ + 1)
    return; // duplicate or out of order; pings report the last one in order
  ++F.PushesInOrder_;
  ++Totals_.Pushes_;
}

std::string LoadRun::Impl::record() const {
  const Totals &T = Totals_;
  nlohmann::json J = {{"flows", Flows_.size()},
                      {"requests", T.Requests_},
                      {"answered", T.Answered_},
                      {"refused_not_run", T.NotRun_},
                      {"outcome_unknown", T.OutcomeUnknown_},
                      {"no_final_answer", T.NoFinalAnswer_},
                      {"opens_refused", T.OpensRefused_},
                      {"broken_flows", T.BrokenFlows_},
                      {"wrong_service", T.WrongService_},
                      {"mixed_parts", T.MixedParts_},
                      {"pushes", T.Pushes_},
                      {"steady_at_ms", SteadyAtMs_},
                      {"answered_once", T.AnsweredAtMostOnce_},
                      {"not_run_once", T.NotRunAtMostOnce_},
                      {"delays", nlohmann::json::parse(Delays_.json())}};
  return J.dump();
}

LoadRun::LoadRun(asio::io_context &Context, const Scenario &S)
    : Impl_(std::make_unique<Impl>(Context, S)) {}
LoadRun::~LoadRun() = default;
std::string LoadRun::record() const { return Impl_->record(); }

} // namespace thymewall::detail

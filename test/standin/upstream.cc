// Stand-in for an upstream: keeps flows, runs requests in its slots, refuses
// requests when its queue is full, and writes a record of its work at the end
// (docs/PROTOCOL.md, "Upstreams").
#include "app-payload.h"
#include "standin-options.h"
#include "udp-socket.h"

#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>
#include <deque>
#include <fstream>
#include <nlohmann/json.hpp>
#include <random>
#include <set>
#include <unordered_map>

using namespace thymewall;
using namespace thymewall::detail;

namespace {

using Json = nlohmann::json;
using SteadyTime = std::chrono::steady_clock::time_point;

constexpr auto HalfOpenTimeout = std::chrono::seconds(30);
constexpr auto SampleInterval = std::chrono::milliseconds(250);
constexpr auto RefusedRetryDelay = std::chrono::milliseconds(100);
constexpr std::size_t AnswerSize = 200;

struct Options {
  std::string Name_;
  Endpoint Listen_;
  std::set<std::uint32_t> Services_;
  std::size_t Slots_ = 1;
  std::size_t QueueLimit_ = 64;
  Micros MeanWork_{};
  Micros PushInterval_{};
  bool Deduplicates_ = false;
  std::string RecordPath_;
};

struct Flow {
  std::uint32_t Service_ = 0;
  bool Established_ = false; ///< Set by the first packet after the open.
  SteadyTime HalfOpenUntil_;
  Endpoint Balancer_; ///< Sender of the flow's last packet.
  Endpoint Caller_;
  std::uint32_t PushesSent_ = 0;
};

/// Request with its parsed payload; the message holds no bytes.
struct Job {
  Message Message_;
  AppPayload Payload_;
  Endpoint Balancer_;
};

std::int64_t wallMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

class StandinUpstream {
public:
  StandinUpstream(asio::io_context &Context, Options O)
      : Context_(Context), Options_(std::move(O)), SampleTimer_(Context),
        PushTimer_(Context), Signals_(Context, SIGTERM, SIGINT),
        Socket_(Context, Options_.Listen_,
                [this](const Endpoint &From, const std::uint8_t *Data,
                       std::size_t Size) { receive(From, Data, Size); }) {
    std::random_device Device;
    Incarnation_ =
        static_cast<Incarnation>(std::uint64_t{Device()} << 32 | Device() | 1U);
    Signals_.async_wait([this](const asio::error_code &, int) {
      writeRecord();
      Context_.stop();
    });
    sample();
    if (Options_.PushInterval_ != Micros{0})
      push();
  }

private:
  void receive(const Endpoint &From, const std::uint8_t *Data,
               std::size_t Size) {
    Message M;
    if (decode(Data, Size, M) != ErrorKind::None)
      return;
    switch (M.Kind_) {
    case MessageKind::Open:
      return open(From, M);
    case MessageKind::Request:
      return request(From, M);
    case MessageKind::Ping:
      return ping(From, M);
    case MessageKind::Close:
      Flows_.erase(raw(M.Flow_));
      return;
    case MessageKind::Cancel:
      Cancelled_.insert(M.Attempt_);
      return;
    default:
      return;
    }
  }

  void open(const Endpoint &From, const Message &M) {
    if (Options_.Services_.count(raw(M.Service_)) == 0)
      return reply(From, M, MessageKind::Reset);
    auto [Entry, Inserted] = Flows_.try_emplace(raw(M.Flow_));
    if (!Inserted && Entry->second.Service_ != raw(M.Service_))
      return reply(From, M, MessageKind::Reset);
    Flow &F = Entry->second;
    F.Service_ = raw(M.Service_);
    F.HalfOpenUntil_ = std::chrono::steady_clock::now() + HalfOpenTimeout;
    F.Balancer_ = From;
    F.Caller_ = M.Caller_;
    reply(From, M, MessageKind::Opened);
  }

  /// Returns the packet's flow and updates its addresses, or returns null if
  /// the flow is unknown in this incarnation.
  Flow *findFlow(const Endpoint &From, const Message &M) {
    auto Known = Flows_.find(raw(M.Flow_));
    bool Found = Known != Flows_.end() && M.Incarnation_ == Incarnation_ &&
                 Known->second.Service_ == raw(M.Service_);
    if (!Found)
      return nullptr;
    Flow &F = Known->second;
    F.Established_ = true;
    F.Balancer_ = From;
    F.Caller_ = M.Caller_;
    return &F;
  }

  void request(const Endpoint &From, const Message &M) {
    if (!findFlow(From, M))
      return reply(From, M, MessageKind::Reset);
    Job J{M, readAppPayload(M.Payload_), From};
    J.Message_.Payload_ = {};
    J.Message_.Route_ = {};
    if (J.Payload_.Service_ != raw(M.Service_))
      ++WrongService_;
    bool Once = !M.repeatable();
    if (Once && Options_.Deduplicates_ && handleDuplicate(J))
      return;
    if (RunningJobs_ >= Options_.Slots_ &&
        WaitingJobs_.size() >= Options_.QueueLimit_) {
      ++Refused_;
      return reply(From, M, MessageKind::Refused);
    }
    if (Once && Options_.Deduplicates_)
      LatestAttempts_[M.Epoch_] = M.Attempt_;
    WaitingJobs_.push_back(J);
    startNext();
  }

  /// Returns whether the request was received before. The answer then goes to
  /// the latest attempt: at once if the request has completed.
  bool handleDuplicate(const Job &J) {
    auto Known = LatestAttempts_.find(J.Message_.Epoch_);
    if (Known == LatestAttempts_.end())
      return false;
    Known->second = J.Message_.Attempt_;
    LatestJobs_[J.Message_.Epoch_] = J;
    if (Completed_.count(J.Message_.Epoch_) != 0)
      answer(J);
    return true;
  }

  void startNext() {
    if (RunningJobs_ >= Options_.Slots_ || WaitingJobs_.empty())
      return;
    ++RunningJobs_;
    auto J = std::make_shared<Job>(WaitingJobs_.front());
    WaitingJobs_.pop_front();
    if (!J->Message_.repeatable())
      ExecutedOnce_.push_back(J->Payload_.Id_);
    ++Executed_;
    std::exponential_distribution<double> WorkFactor(1);
    auto Work = std::chrono::duration_cast<Micros>(
        Options_.MeanWork_ * std::min(WorkFactor(Random_), 5.0));
    auto Timer = std::make_shared<asio::steady_timer>(Context_);
    Timer->expires_after(Work);
    Timer->async_wait([this, J, Timer](const asio::error_code &) {
      --RunningJobs_;
      std::uint64_t Epoch = J->Message_.Epoch_;
      bool Once = !J->Message_.repeatable();
      auto Latest = LatestJobs_.find(Epoch);
      if (Cancelled_.erase(J->Message_.Attempt_) == 0 || Once)
        answer(Once && Latest != LatestJobs_.end() ? Latest->second : *J);
      if (Once && Options_.Deduplicates_)
        Completed_.insert(Epoch);
      startNext();
    });
  }

  void answer(const Job &J) {
    Message Out = J.Message_;
    Out.Kind_ = MessageKind::Answer;
    Out.Parts_ = std::max<std::uint16_t>(J.Payload_.Parts_, 1);
    for (std::uint16_t Part = 0; Part < Out.Parts_; ++Part) {
      std::uint8_t Body[AnswerSize] = {};
      writeAppPayload({J.Payload_.Id_, raw(J.Message_.Service_), Part}, Body);
      Out.Part_ = Part;
      Out.Payload_ = {Body, sizeof Body};
      send(J.Balancer_, Out);
    }
  }

  void ping(const Endpoint &From, const Message &M) {
    Flow *F = findFlow(From, M);
    if (!F)
      return reply(From, M, MessageKind::Reset);
    Message Out = M;
    Out.Kind_ = MessageKind::Pong;
    Out.Request_ = F->PushesSent_;
    send(From, Out);
    for (std::uint32_t N = M.Request_ + 1; N <= F->PushesSent_; ++N)
      sendPush(raw(M.Flow_), *F, N); // pushes that the caller has missed
  }

  void push() {
    PushTimer_.expires_after(Options_.PushInterval_);
    PushTimer_.async_wait([this](const asio::error_code &) {
      for (auto &[Id, F] : Flows_)
        if (F.Established_)
          sendPush(Id, F, ++F.PushesSent_);
      push();
    });
  }

  void sendPush(std::uint64_t Id, const Flow &F, std::uint32_t Number) {
    Message Out;
    Out.Kind_ = MessageKind::Push;
    Out.Service_ = static_cast<ServiceId>(F.Service_);
    Out.Flow_ = static_cast<FlowId>(Id);
    Out.Request_ = Number;
    Out.Caller_ = F.Caller_;
    send(F.Balancer_, Out);
  }

  void reply(const Endpoint &To, const Message &M, MessageKind K) {
    Message Out = M;
    Out.Kind_ = K;
    Out.Payload_ = {};
    Out.Route_ = {};
    if (K == MessageKind::Refused)
      Out.RetryAt_ =
          WallTime(std::chrono::milliseconds(wallMs()) + RefusedRetryDelay);
    send(To, Out);
  }

  void send(const Endpoint &To, Message &Out) {
    Out.Incarnation_ = Incarnation_;
    Out.OpenFlows_ = static_cast<std::uint32_t>(Flows_.size());
    std::uint8_t Buffer[MaxDatagramSize + MaxHeaderSize];
    std::size_t Size = encode(Out, Buffer, sizeof Buffer);
    Socket_.send(To, Buffer, Size);
  }

  /// Removes expired half-open flows and samples the flow count per service.
  void sample() {
    auto Now = std::chrono::steady_clock::now();
    for (auto At = Flows_.begin(); At != Flows_.end();)
      At = !At->second.Established_ && At->second.HalfOpenUntil_ < Now
               ? Flows_.erase(At)
               : std::next(At);
    std::map<std::uint32_t, std::size_t> Counts;
    for (const auto &[Id, F] : Flows_)
      ++Counts[F.Service_];
    for (const auto &[Service, Number] : Counts)
      Samples_.push_back({wallMs(), Service, Number});
    SampleTimer_.expires_after(SampleInterval);
    SampleTimer_.async_wait([this](const asio::error_code &) { sample(); });
  }

  void writeRecord() {
    std::ofstream(Options_.RecordPath_)
        << Json({{"name", Options_.Name_},
                 {"slots", Options_.Slots_},
                 {"wrong_service", WrongService_},
                 {"refused", Refused_},
                 {"executed", Executed_},
                 {"executed_once", ExecutedOnce_},
                 {"samples", Samples_}});
  }

  struct Sample {
    std::int64_t WallMs_;
    std::uint32_t Service_;
    std::size_t Flows_;
    // nlohmann::json finds this function by its name.
    // NOLINTNEXTLINE(readability-identifier-naming)
    friend void to_json(Json &Into, const Sample &S) {
      Into = Json::array({S.WallMs_, S.Service_, S.Flows_});
    }
  };

  asio::io_context &Context_;
  Options Options_;
  asio::steady_timer SampleTimer_;
  asio::steady_timer PushTimer_;
  asio::signal_set Signals_;
  std::mt19937 Random_;
  Incarnation Incarnation_{};
  std::unordered_map<std::uint64_t, Flow> Flows_;
  std::deque<Job> WaitingJobs_;
  std::size_t RunningJobs_ = 0;
  std::unordered_map<std::uint64_t, std::uint64_t> LatestAttempts_;
  std::unordered_map<std::uint64_t, Job> LatestJobs_;
  std::set<std::uint64_t> Completed_;
  std::set<std::uint64_t> Cancelled_;
  std::vector<std::uint64_t> ExecutedOnce_;
  std::vector<Sample> Samples_;
  std::uint64_t WrongService_ = 0;
  std::uint64_t Refused_ = 0;
  std::uint64_t Executed_ = 0;
  UdpSocket Socket_;
};

int run(int Count, char **Values) {
  cxxopts::Options Arguments("standin-upstream", "Simulates an upstream.");
  Arguments.add_options()("name", "name in the record",
                          cxxopts::value<std::string>())(
      "listen", "IP:PORT to listen on", cxxopts::value<std::string>())(
      "services", "names", cxxopts::value<std::vector<std::string>>())(
      "slots", "requests that run at once",
      cxxopts::value<std::size_t>()->default_value("1"))(
      "queue", "waiting requests before others are refused",
      cxxopts::value<std::size_t>()->default_value("64"))(
      "work-us", "mean duration of a request, in microseconds",
      cxxopts::value<std::int64_t>()->default_value("2000"))(
      "push-ms", "interval of pushes, in milliseconds; 0 for none",
      cxxopts::value<std::int64_t>()->default_value("0"))(
      "remembers", "deduplicate requests that are not repeatable")(
      "record", "file to write the record to at the end",
      cxxopts::value<std::string>());
  auto Parsed = parseStandinOptions(Arguments, Count, Values);
  Options O;
  O.Name_ = Parsed["name"].as<std::string>();
  O.Listen_ = parseEndpoint(Parsed["listen"].as<std::string>());
  for (const auto &S : Parsed["services"].as<std::vector<std::string>>())
    O.Services_.insert(nameId(S));
  O.Slots_ = Parsed["slots"].as<std::size_t>();
  O.QueueLimit_ = Parsed["queue"].as<std::size_t>();
  O.MeanWork_ = Micros(Parsed["work-us"].as<std::int64_t>());
  O.PushInterval_ =
      std::chrono::milliseconds(Parsed["push-ms"].as<std::int64_t>());
  O.Deduplicates_ = Parsed.count("remembers") != 0;
  O.RecordPath_ = Parsed["record"].as<std::string>();
  asio::io_context Context(1);
  StandinUpstream Upstream(Context, O);
  Context.run();
  return ExitSuccess;
}

} // namespace

int main(int Count, char **Values) {
  return runProgram([&] { return run(Count, Values); });
}

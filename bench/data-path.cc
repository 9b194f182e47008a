// Measures the throughput of a single-threaded proxy over loopback UDP. A plain
// relay and a balancer run in turn. A generator keeps a window of requests in
// flight, and an echo server answers them. Prints one JSON object per line.
#include "app-payload.h"
#include "thymewall/balancer.h"
#include "udp-socket.h"

#include <algorithm>
#include <asio/steady_timer.hpp>
#include <atomic>
#include <boost/leaf/handle_errors.hpp>
#include <iostream>
#include <thread>

using namespace thymewall;
using namespace thymewall::detail;

namespace {

using Clock = std::chrono::steady_clock;

constexpr auto RunTime = std::chrono::seconds(3);
constexpr std::size_t FullWindow = 256;
constexpr std::size_t PayloadBytes = 128;
const SecretKey Secret = {1, 2, 3};
const ServiceId Service = static_cast<ServiceId>(nameId("index"));
const Endpoint EchoAddress = parseEndpoint("127.0.0.1:9401");
const Endpoint ProxyAddress = parseEndpoint("127.0.0.1:9402");
const Endpoint ProxyUpstreamAddress = parseEndpoint("127.0.0.1:9403");

Moment now() {
  auto Mono =
      std::chrono::duration_cast<Micros>(Clock::now().time_since_epoch());
  auto Wall = std::chrono::duration_cast<Micros>(
      std::chrono::system_clock::now().time_since_epoch());
  return {MonoTime(Mono), WallTime(Wall)};
}

/// Runs an object with an I/O context on its own thread until destruction.
template <typename T> class ThreadRunner {
public:
  template <typename... Args>
  explicit ThreadRunner(const Args &...Arguments)
      : Context_(1), Body_(Context_, Arguments...),
        Thread_([this] { Context_.run(); }) {}
  ~ThreadRunner() {
    Context_.stop();
    Thread_.join();
  }
  asio::io_context Context_;
  T Body_;
  std::thread Thread_;
};

/// Sends each datagram back, unchanged or as an upstream's answer.
class Echo {
public:
  Echo(asio::io_context &Context, bool PlainEcho)
      : Socket_(Context, EchoAddress,
                [this, PlainEcho](const Endpoint &From,
                                  const std::uint8_t *Data, std::size_t Size) {
                  if (PlainEcho)
                    return Socket_.send(From, Data, Size);
                  answer(From, Data, Size);
                }) {}

private:
  void answer(const Endpoint &From, const std::uint8_t *Data,
              std::size_t Size) {
    Message M;
    if (decode(Data, Size, M) != ErrorKind::None)
      return;
    M.Kind_ = M.Kind_ == MessageKind::Open ? MessageKind::Opened
                                           : MessageKind::Answer;
    M.Incarnation_ = Incarnation{5};
    std::uint8_t Buffer[MaxDatagramSize];
    Socket_.send(From, Buffer, encode(M, Buffer, sizeof Buffer));
  }
  UdpSocket Socket_;
};

/// Forwards datagrams in both directions without decoding them.
class Relay {
public:
  explicit Relay(asio::io_context &Context)
      : UpstreamSocket_(Context, ProxyUpstreamAddress,
                        [this](const Endpoint &, const std::uint8_t *Data,
                               std::size_t Size) {
                          CallerSocket_.send(Caller_, Data, Size);
                        }),
        CallerSocket_(Context, ProxyAddress,
                      [this](const Endpoint &From, const std::uint8_t *Data,
                             std::size_t Size) {
                        Caller_ = From;
                        UpstreamSocket_.send(EchoAddress, Data, Size);
                      }) {}

private:
  Endpoint Caller_;
  UdpSocket UpstreamSocket_;
  UdpSocket CallerSocket_;
};

DeclarationPtr benchDeclaration() {
  return boost::leaf::try_handle_all(
      [] {
        return parseDeclaration(
            R"({"version": 1, "services": [{"name": "index", "port": 9402,
                "in_flight_per_slot": 10000}], "upstreams": [{"name": "up",
                "address": "127.0.0.1:9401", "data_hall": "h"}],
                "selectors": [{"service": "index", "terms":
                [{"key": "off", "op": "absent"}]}]})",
            "bench",
            [](const std::string &, WallTime) { return LocalMinute{}; });
      },
      []() -> DeclarationPtr { std::abort(); });
}

/// Data path of a balancer, with the sockets and the codec of its process.
class BalancerProxy {
public:
  explicit BalancerProxy(asio::io_context &Context)
      : Core_(BalancerBuilder()
                  .name("lb")
                  .dataAddress(parseEndpoint("127.0.0.1:9404"))
                  .incarnation(Incarnation{42})
                  .keys({Secret, Secret})
                  .zones([](const std::string &, WallTime) {
                    return LocalMinute{};
                  })
                  .build()),
        Sink_([this](const Action &A) { perform(A); }),
        UpstreamSocket_(Context, ProxyUpstreamAddress,
                        [this](const Endpoint &From, const std::uint8_t *Data,
                               std::size_t Size) {
                          FromUpstream E{From, {}};
                          if (decode(Data, Size, E.Message_) == ErrorKind::None)
                            Core_.handle(now(), E, Sink_);
                        }),
        CallerSocket_(Context, ProxyAddress,
                      [this](const Endpoint &From, const std::uint8_t *Data,
                             std::size_t Size) {
                        FromCaller E{From, {}, Size};
                        if (decode(Data, Size, E.Message_) != ErrorKind::None)
                          return;
                        E.Message_.Service_ = Service;
                        Core_.handle(now(), E, Sink_);
                      }),
        Timer_(Context) {
    Core_.handle(now(), DeclarationRead{benchDeclaration()}, Sink_);
    tick();
  }

private:
  void perform(const Action &A) {
    std::uint8_t Buffer[MaxDatagramSize + MaxHeaderSize];
    if (const auto *C = std::get_if<ToCaller>(&A))
      CallerSocket_.send(C->To_, Buffer,
                         encode(C->Message_, Buffer, sizeof Buffer));
    else if (const auto *U = std::get_if<ToUpstream>(&A))
      UpstreamSocket_.send(U->To_, Buffer,
                           encode(U->Message_, Buffer, sizeof Buffer));
  }
  void tick() {
    Core_.handle(now(), Tick{}, Sink_);
    Timer_.expires_after(Balancer::TickInterval);
    Timer_.async_wait([this](const asio::error_code &Error) {
      if (!Error)
        tick();
    });
  }
  Balancer Core_;
  ActionSink Sink_;
  UdpSocket UpstreamSocket_;
  UdpSocket CallerSocket_;
  asio::steady_timer Timer_;
};

/// Keeps a window of requests in flight, counts answers and records latencies.
class Generator {
public:
  Generator(asio::io_context &Context, std::size_t Window, bool Repeatable)
      : Window_(Window), Repeatable_(Repeatable),
        Socket_(Context, parseEndpoint("127.0.0.1:0"),
                [this](const Endpoint &, const std::uint8_t *Data,
                       std::size_t Size) { receive(Data, Size); }),
        Timer_(Context) {
    send(MessageKind::Open, 0);
    refillIfStalled();
  }
  std::uint64_t completed() const { return Completed_; }
  Micros quantile(double Fraction) {
    std::sort(Latencies_.begin(), Latencies_.end());
    auto Rank = static_cast<std::size_t>(
        Fraction * static_cast<double>(Latencies_.size()));
    return Latencies_.empty()
               ? Micros{}
               : Latencies_[std::min(Rank, Latencies_.size() - 1)];
  }

private:
  static constexpr std::size_t MaxLatencies = 2'000'000;

  void receive(const std::uint8_t *Data, std::size_t Size) {
    Message M;
    if (decode(Data, Size, M) != ErrorKind::None)
      return;
    if (M.Kind_ == MessageKind::Opened || M.Kind_ == MessageKind::Open) {
      if (Route_.Size_ != 0)
        return;
      // The relay returns no route; a route of equal size takes its place.
      Route_ = signRoute({}, Secret);
      if (M.Kind_ == MessageKind::Opened)
        std::copy_n(M.Route_.Data_, M.Route_.Size_, Route_.Bytes_.begin());
      sendWindow();
      return;
    }
    ++Completed_;
    LastAnswer_ = Clock::now();
    auto Sent = SentAt_[M.Request_ % SentAt_.size()];
    if (Latencies_.size() < MaxLatencies)
      Latencies_.push_back(
          std::chrono::duration_cast<Micros>(LastAnswer_ - Sent));
    send(MessageKind::Request, ++LastRequest_);
  }
  void sendWindow() {
    for (std::size_t I = 0; I < Window_; ++I)
      send(MessageKind::Request, ++LastRequest_);
  }
  /// Sends the window again when no answer arrives: its datagrams were lost.
  void refillIfStalled() {
    Timer_.expires_after(std::chrono::milliseconds(50));
    Timer_.async_wait([this](const asio::error_code &Error) {
      if (Error)
        return;
      if (Route_.Size_ == 0)
        send(MessageKind::Open, 0);
      else if (Clock::now() - LastAnswer_ > std::chrono::milliseconds(50))
        sendWindow();
      refillIfStalled();
    });
  }
  void send(MessageKind K, std::uint32_t Request) {
    std::uint8_t Payload[Balancer::MinOpenSize] = {};
    Message M;
    M.Kind_ = K;
    M.Flow_ = FlowId{77};
    M.Request_ = Request;
    M.Flags_ = Repeatable_ ? FlagRepeatable : 0;
    M.Route_ = Route_.bytes();
    M.Payload_ = {Payload,
                  K == MessageKind::Open ? sizeof Payload : PayloadBytes};
    std::uint8_t Buffer[MaxDatagramSize];
    SentAt_[Request % SentAt_.size()] = Clock::now();
    std::size_t Size = encode(M, Buffer, sizeof Buffer);
    Socket_.send(ProxyAddress, Buffer, Size);
  }

  std::size_t Window_;
  bool Repeatable_;
  std::array<Clock::time_point, 4096> SentAt_{};
  std::vector<Micros> Latencies_;
  SignedRoute Route_;
  std::uint32_t LastRequest_ = 0;
  std::atomic<std::uint64_t> Completed_{0};
  Clock::time_point LastAnswer_;
  UdpSocket Socket_;
  asio::steady_timer Timer_;
};

struct Result {
  double PerSecond_ = 0;
  Micros Median_{};
  Micros P99_{};
};

template <typename T>
Result measure(bool PlainEcho, std::size_t Window, bool Repeatable) {
  ThreadRunner<Echo> Upstream(PlainEcho);
  ThreadRunner<T> Proxy;
  ThreadRunner<Generator> Load(Window, Repeatable);
  std::this_thread::sleep_for(RunTime / 6);
  std::uint64_t Before = Load.Body_.completed();
  std::this_thread::sleep_for(RunTime);
  std::uint64_t After = Load.Body_.completed();
  Load.Context_.stop();
  std::this_thread::sleep_for(std::chrono::milliseconds(50));
  return {static_cast<double>(After - Before) /
              std::chrono::duration<double>(RunTime).count(),
          Load.Body_.quantile(0.5), Load.Body_.quantile(0.99)};
}

void print(const char *Proxy, std::size_t Window, const Result &R,
           double Ratio) {
  std::cout << R"({"bench": "data-path", "middle": ")" << Proxy
            << R"(", "window": )" << Window << R"(, "round_trips_per_second": )"
            << R.PerSecond_ << R"(, "p50_us": )" << R.Median_.count()
            << R"(, "p99_us": )" << R.P99_.count() << R"(, "of_relay": )"
            << Ratio << "}" << std::endl;
}

} // namespace

int main() {
  for (std::size_t Window : {FullWindow, std::size_t{1}})
    for (int Round = 0; Round < 3; ++Round) {
      Result RelayResult = measure<Relay>(true, Window, true);
      Result RepeatableResult = measure<BalancerProxy>(false, Window, true);
      Result OnceResult = measure<BalancerProxy>(false, Window, false);
      print("relay", Window, RelayResult, 1);
      print("balancer, repeatable", Window, RepeatableResult,
            RepeatableResult.PerSecond_ / RelayResult.PerSecond_);
      print("balancer, once", Window, OnceResult,
            OnceResult.PerSecond_ / RelayResult.PerSecond_);
    }
}

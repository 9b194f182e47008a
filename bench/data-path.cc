// Throughput of one thread in the middle, over loopback UDP: first a bare
// relay, then a balancer, alternating in one run. A generator keeps a window of
// requests open; an echo answers each. Prints one JSON object a line.
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

constexpr auto RunFor = std::chrono::seconds(3);
constexpr std::size_t FullWindow = 256;
constexpr std::size_t PayloadBytes = 128;
const SecretKey Secret = {1, 2, 3};
const ServiceId Index = static_cast<ServiceId>(nameId("index"));
const Endpoint EchoAt = parseEndpoint("127.0.0.1:9401");
const Endpoint MiddleAt = parseEndpoint("127.0.0.1:9402");
const Endpoint MiddleUpAt = parseEndpoint("127.0.0.1:9403");

Moment now() {
  auto Mono =
      std::chrono::duration_cast<Micros>(Clock::now().time_since_epoch());
  auto Wall = std::chrono::duration_cast<Micros>(
      std::chrono::system_clock::now().time_since_epoch());
  return {MonoTime(Mono), WallTime(Wall)};
}

/// Runs sockets on a thread of its own until it is destroyed.
template <typename T> class Threaded {
public:
  template <typename... Args>
  explicit Threaded(const Args &...Given)
      : Context_(1), Body_(Context_, Given...),
        Thread_([this] { Context_.run(); }) {}
  ~Threaded() {
    Context_.stop();
    Thread_.join();
  }
  asio::io_context Context_;
  T Body_;
  std::thread Thread_;
};

/// Sends everything back: as it is, or as an upstream answers.
class Echo {
public:
  Echo(asio::io_context &Context, bool Bare)
      : Socket_(Context, EchoAt,
                [this, Bare](const Endpoint &From, const std::uint8_t *Data,
                             std::size_t Size) {
                  if (Bare)
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

/// One socket each way, no look at what passes.
class Relay {
public:
  explicit Relay(asio::io_context &Context)
      : Up_(Context, MiddleUpAt,
            [this](const Endpoint &, const std::uint8_t *Data,
                   std::size_t Size) { Front_.send(Caller_, Data, Size); }),
        Front_(Context, MiddleAt,
               [this](const Endpoint &From, const std::uint8_t *Data,
                      std::size_t Size) {
                 Caller_ = From;
                 Up_.send(EchoAt, Data, Size);
               }) {}

private:
  Endpoint Caller_;
  UdpSocket Up_;
  UdpSocket Front_;
};

DeclarationPtr declaration() {
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

/// The balancer's data path: the same sockets and codec as its process.
class Middle {
public:
  explicit Middle(asio::io_context &Context)
      : Core_(BalancerBuilder()
                  .name("lb")
                  .dataAddress(parseEndpoint("127.0.0.1:9404"))
                  .incarnation(Incarnation{42})
                  .keys({Secret, Secret})
                  .zones([](const std::string &, WallTime) {
                    return LocalMinute{};
                  })
                  .build()),
        Sink_([this](const Action &A) { act(A); }),
        Up_(Context, MiddleUpAt,
            [this](const Endpoint &From, const std::uint8_t *Data,
                   std::size_t Size) {
              FromUpstream E{From, {}};
              if (decode(Data, Size, E.Message_) == ErrorKind::None)
                Core_.handle(now(), E, Sink_);
            }),
        Front_(Context, MiddleAt,
               [this](const Endpoint &From, const std::uint8_t *Data,
                      std::size_t Size) {
                 FromCaller E{From, {}, Size};
                 if (decode(Data, Size, E.Message_) != ErrorKind::None)
                   return;
                 E.Message_.Service_ = Index;
                 Core_.handle(now(), E, Sink_);
               }),
        Timer_(Context) {
    Core_.handle(now(), DeclarationRead{declaration()}, Sink_);
    tick();
  }

private:
  void act(const Action &A) {
    std::uint8_t Buffer[MaxDatagramSize + MaxHeaderSize];
    if (const auto *C = std::get_if<ToCaller>(&A))
      Front_.send(C->To_, Buffer, encode(C->Message_, Buffer, sizeof Buffer));
    else if (const auto *U = std::get_if<ToUpstream>(&A))
      Up_.send(U->To_, Buffer, encode(U->Message_, Buffer, sizeof Buffer));
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
  UdpSocket Up_;
  UdpSocket Front_;
  asio::steady_timer Timer_;
};

/// Keeps a window of requests open and counts what comes back.
class Generator {
public:
  Generator(asio::io_context &Context, std::size_t Open, bool Repeatable)
      : Window_(Open), Repeatable_(Repeatable),
        Socket_(Context, parseEndpoint("127.0.0.1:0"),
                [this](const Endpoint &, const std::uint8_t *Data,
                       std::size_t Size) { receive(Data, Size); }),
        Timer_(Context) {
    send(MessageKind::Open, 0);
    watch();
  }
  std::uint64_t done() const { return Done_; }
  Micros quantile(double Share) {
    std::sort(Delays_.begin(), Delays_.end());
    auto At =
        static_cast<std::size_t>(Share * static_cast<double>(Delays_.size()));
    return Delays_.empty() ? Micros{}
                           : Delays_[std::min(At, Delays_.size() - 1)];
  }

private:
  static constexpr std::size_t MaxDelays = 2'000'000;

  void receive(const std::uint8_t *Data, std::size_t Size) {
    Message M;
    if (decode(Data, Size, M) != ErrorKind::None)
      return;
    if (M.Kind_ == MessageKind::Opened || M.Kind_ == MessageKind::Open) {
      if (Route_.Size_ != 0)
        return;
      // The bare relay brings no route back: the same bytes stand in.
      Route_ = signRoute({}, Secret);
      if (M.Kind_ == MessageKind::Opened)
        std::copy_n(M.Route_.Data_, M.Route_.Size_, Route_.Bytes_.begin());
      fill();
      return;
    }
    ++Done_;
    Last_ = Clock::now();
    auto Sent = SentAt_[M.Request_ % SentAt_.size()];
    if (Delays_.size() < MaxDelays)
      Delays_.push_back(std::chrono::duration_cast<Micros>(Last_ - Sent));
    send(MessageKind::Request, ++Number_);
  }
  void fill() {
    for (std::size_t I = 0; I < Window_; ++I)
      send(MessageKind::Request, ++Number_);
  }
  /// A window that stands still lost its datagrams; it is filled again.
  void watch() {
    Timer_.expires_after(std::chrono::milliseconds(50));
    Timer_.async_wait([this](const asio::error_code &Error) {
      if (Error)
        return;
      if (Route_.Size_ == 0)
        send(MessageKind::Open, 0);
      else if (Clock::now() - Last_ > std::chrono::milliseconds(50))
        fill();
      watch();
    });
  }
  void send(MessageKind K, std::uint32_t Number) {
    std::uint8_t Payload[Balancer::MinOpenSize] = {};
    Message M;
    M.Kind_ = K;
    M.Flow_ = FlowId{77};
    M.Request_ = Number;
    M.Flags_ = Repeatable_ ? FlagRepeatable : 0;
    M.Route_ = Route_.bytes();
    M.Payload_ = {Payload,
                  K == MessageKind::Open ? sizeof Payload : PayloadBytes};
    std::uint8_t Buffer[MaxDatagramSize];
    SentAt_[Number % SentAt_.size()] = Clock::now();
    std::size_t Size = encode(M, Buffer, sizeof Buffer);
    Socket_.send(MiddleAt, Buffer, Size);
  }

  std::size_t Window_;
  bool Repeatable_;
  std::array<Clock::time_point, 4096> SentAt_{};
  std::vector<Micros> Delays_;
  SignedRoute Route_;
  std::uint32_t Number_ = 0;
  std::atomic<std::uint64_t> Done_{0};
  Clock::time_point Last_;
  UdpSocket Socket_;
  asio::steady_timer Timer_;
};

struct Result {
  double PerSecond_ = 0;
  Micros Median_{};
  Micros P99_{};
};

template <typename T>
Result measure(bool Bare, std::size_t Open, bool Repeatable) {
  Threaded<Echo> Upstream(Bare);
  Threaded<T> InMiddle;
  Threaded<Generator> Source(Open, Repeatable);
  std::this_thread::sleep_for(RunFor / 6);
  std::uint64_t Before = Source.Body_.done();
  std::this_thread::sleep_for(RunFor);
  std::uint64_t After = Source.Body_.done();
  Source.Context_.stop();
  std::this_thread::sleep_for(std::chrono::milliseconds(50));
  return {static_cast<double>(After - Before) /
              std::chrono::duration<double>(RunFor).count(),
          Source.Body_.quantile(0.5), Source.Body_.quantile(0.99)};
}

void print(const char *What, std::size_t Open, const Result &R, double Ratio) {
  std::cout << R"({"bench": "data-path", "middle": ")" << What
            << R"(", "window": )" << Open << R"(, "round_trips_per_second": )"
            << R.PerSecond_ << R"(, "p50_us": )" << R.Median_.count()
            << R"(, "p99_us": )" << R.P99_.count() << R"(, "of_relay": )"
            << Ratio << "}" << std::endl;
}

} // namespace

int main() {
  for (std::size_t Open : {FullWindow, std::size_t{1}})
    for (int Round = 0; Round < 3; ++Round) {
      Result Bare = measure<Relay>(true, Open, true);
      Result Many = measure<Middle>(false, Open, true);
      Result Once = measure<Middle>(false, Open, false);
      print("relay", Open, Bare, 1);
      print("balancer, repeatable", Open, Many,
            Many.PerSecond_ / Bare.PerSecond_);
      print("balancer, once", Open, Once, Once.PerSecond_ / Bare.PerSecond_);
    }
}

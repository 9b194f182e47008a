// Cost of the core's decisions and tables, and their slopes over sizes. Prints
// one JSON object a line. All figures are of one thread.
#include "thymewall/balancer.h"
#include "thymewall/control.h"

#include <algorithm>
#include <boost/leaf/handle_errors.hpp>
#include <chrono>
#include <fstream>
#include <iostream>
#include <unistd.h>

using namespace thymewall;

namespace {

using Clock = std::chrono::steady_clock;

const SecretKey Secret = {1, 2, 3};
const Endpoint Caller = Endpoint::v4(1, 1000);
const ServiceId Index = static_cast<ServiceId>(nameId("index"));

TimeZoneClock noZones() {
  return [](const std::string &, WallTime) { return LocalMinute{}; };
}

std::string document(std::size_t Upstreams) {
  std::string Text = R"({"version": 1, "services": [{"name": "index",)"
                     R"( "port": 1, "in_flight_per_slot": 100000}],)"
                     R"( "upstreams": [)";
  for (std::size_t I = 0; I < Upstreams; ++I)
    Text += std::string(I == 0 ? "" : ",") + R"({"name": "up-)" +
            std::to_string(I) + R"(", "address": "10.)" +
            std::to_string(I >> 16) + "." + std::to_string(I >> 8 & 255) + "." +
            std::to_string(I & 255) +
            R"(:9000", "data_hall": "h", "slots": 3})";
  return Text + R"(], "selectors": [{"service": "index",)"
                R"( "terms": [{"key": "off", "op": "absent"}]}]})";
}

DeclarationPtr parse(const std::string &Text) {
  return boost::leaf::try_handle_all(
      [&] { return parseDeclaration(Text, "bench", noZones()); },
      []() -> DeclarationPtr { std::abort(); });
}

/// Resident bytes of this process.
double residentBytes() {
  std::ifstream In("/proc/self/statm");
  std::size_t Total = 0;
  std::size_t Resident = 0;
  In >> Total >> Resident;
  return static_cast<double>(Resident) *
         static_cast<double>(sysconf(_SC_PAGESIZE));
}

template <typename Function> double nanoseconds(std::size_t Count, Function F) {
  auto Start = Clock::now();
  for (std::size_t I = 0; I < Count; ++I)
    F(I);
  std::chrono::duration<double, std::nano> Took = Clock::now() - Start;
  return Took.count() / static_cast<double>(Count);
}

/// A core whose upstreams answer at once.
class Driver {
public:
  explicit Driver(const DeclarationPtr &D)
      : Core_(BalancerBuilder()
                  .name("lb")
                  .dataAddress(Endpoint::v4(2, 7100))
                  .incarnation(Incarnation{42})
                  .seed(1)
                  .keys({Secret, Secret})
                  .zones(noZones())
                  .build()),
        Sink_([this](const Action &A) { note(A); }) {
    give(DeclarationRead{D});
  }

  void give(const Event &What) { Core_.handle(Now_, What, Sink_); }
  void open(std::uint64_t Flow) {
    Message M;
    M.Kind_ = MessageKind::Open;
    M.Service_ = Index;
    M.Flow_ = FlowId{Flow};
    give(FromCaller{Caller, M, 200});
    reply(MessageKind::Opened);
  }
  void request(std::uint64_t Flow, std::uint32_t Number, bool Repeatable) {
    Message M;
    M.Kind_ = MessageKind::Request;
    M.Service_ = Index;
    M.Flow_ = FlowId{Flow};
    M.Request_ = Number;
    M.Flags_ = Repeatable ? FlagRepeatable : 0;
    M.Route_ = Route_.bytes();
    give(FromCaller{Caller, M, 200});
  }
  void reply(MessageKind K) {
    Message M = Up_;
    M.Kind_ = K;
    M.Incarnation_ = Incarnation{5};
    give(FromUpstream{UpAt_, M});
  }
  void tick() {
    Now_.Mono_ += Balancer::TickInterval;
    Now_.Wall_ += Balancer::TickInterval;
    give(Tick{});
  }
  Status status() const { return Core_.status(); }

private:
  void note(const Action &A) {
    if (const auto *U = std::get_if<ToUpstream>(&A)) {
      Up_ = U->Message_;
      UpAt_ = U->To_;
    } else if (const auto *C = std::get_if<ToCaller>(&A)) {
      Bytes R = C->Message_.Route_;
      if (R.empty())
        return;
      std::copy_n(R.Data_, R.Size_, Route_.Bytes_.begin());
      Route_.Size_ = R.Size_;
    }
  }

  Balancer Core_;
  ActionSink Sink_;
  Moment Now_{MonoTime(std::chrono::seconds(1000)),
              WallTime(std::chrono::hours(1))};
  Message Up_;
  Endpoint UpAt_;
  SignedRoute Route_;
};

void decisions() {
  constexpr std::uint32_t Rounds = 300'000;
  constexpr std::uint32_t TickAfter = 1000;
  for (bool Repeatable : {true, false}) {
    Driver D(parse(document(14)));
    D.open(1);
    double Both = nanoseconds(Rounds, [&](std::size_t I) {
      D.request(1, static_cast<std::uint32_t>(I + 1), Repeatable);
      D.reply(MessageKind::Answer);
      if (I % TickAfter == 0)
        D.tick();
    });
    std::cout << R"({"bench": "decision", "class": ")"
              << (Repeatable ? "repeatable" : "once")
              << R"(", "ns_per_event": )" << Both / 2 << "}\n";
  }
}

void codec() {
  std::uint8_t Buffer[MaxDatagramSize];
  std::uint8_t Payload[128] = {};
  Message M;
  M.Kind_ = MessageKind::Request;
  M.Flow_ = FlowId{0x123456789abcdef};
  M.Payload_ = {Payload, sizeof Payload};
  SignedRoute R = signRoute({}, Secret);
  M.Route_ = R.bytes();
  std::size_t Size = 0;
  double Encode = nanoseconds(1'000'000, [&](std::size_t I) {
    M.Request_ = static_cast<std::uint32_t>(I);
    Size = encode(M, Buffer, sizeof Buffer);
  });
  Message Read;
  double Decode =
      nanoseconds(1'000'000, [&](std::size_t) { decode(Buffer, Size, Read); });
  std::cout << R"({"bench": "codec", "bytes": )" << Size << R"(, "encode_ns": )"
            << Encode << R"(, "decode_ns": )" << Decode << "}\n";
}

void flows() {
  for (std::size_t Count : {34'000, 100'000, 250'000, 500'000}) {
    double Before = residentBytes();
    Driver D(parse(document(14)));
    double Open = nanoseconds(Count, [&](std::size_t I) {
      D.open(I + 1);
      if (I % 1000 == 0)
        D.tick();
    });
    double Bytes = residentBytes() - Before;
    double TickNs = nanoseconds(1000, [&](std::size_t) { D.tick(); });
    std::cout << R"({"bench": "flows", "flows": )" << D.status().Flows_
              << R"(, "open_and_opened_ns": )" << Open
              << R"(, "table_bytes_per_flow": )"
              << static_cast<double>(D.status().MemoryBytes_) /
                     static_cast<double>(Count)
              << R"(, "resident_mb": )" << Bytes / 1e6 << R"(, "tick_ns": )"
              << TickNs << "}\n";
  }
}

void upstreams() {
  for (std::size_t Count : {14, 140, 1400, 5000}) {
    std::string Text = document(Count);
    double Before = residentBytes();
    auto Start = Clock::now();
    DeclarationPtr Read = parse(Text);
    std::chrono::duration<double, std::milli> Parse = Clock::now() - Start;
    Start = Clock::now();
    Driver D(Read);
    std::chrono::duration<double, std::milli> Apply = Clock::now() - Start;
    double Bytes = residentBytes() - Before;
    double Open = nanoseconds(2000, [&](std::size_t I) { D.open(I + 1); });
    std::cout << R"({"bench": "upstreams", "upstreams": )" << Count
              << R"(, "document_bytes": )" << Text.size() << R"(, "parse_ms": )"
              << Parse.count() << R"(, "apply_ms": )" << Apply.count()
              << R"(, "resident_mb": )" << Bytes / 1e6
              << R"(, "open_and_opened_ns": )" << Open << "}\n";
  }
}

HostList fleet(std::size_t Count) {
  HostList L;
  for (std::size_t I = 0; I < Count; ++I) {
    Host H;
    H.Name_ = "lb-" + std::to_string(I);
    H.DataHall_ = "hall-" + std::to_string(I % 15);
    L.Hosts_.push_back(H);
  }
  return L;
}

/// Steps until news from one balancer has reached all over peer links.
std::size_t stepsToAll(const HostList &L) {
  std::vector<std::vector<std::size_t>> Links(L.Hosts_.size());
  for (std::size_t I = 0; I < L.Hosts_.size(); ++I)
    for (const Host &P :
         choosePeers(L, L.Hosts_[I].Name_, L.Hosts_[I].DataHall_, 8)) {
      std::size_t J = std::stoul(P.Name_.substr(3));
      Links[I].push_back(J);
      Links[J].push_back(I);
    }
  std::vector<bool> Reached(L.Hosts_.size(), false);
  std::vector<std::size_t> Edge = {0};
  Reached[0] = true;
  std::size_t Left = L.Hosts_.size() - 1;
  std::size_t Steps = 0;
  for (; Left != 0 && !Edge.empty(); ++Steps) {
    std::vector<std::size_t> Next;
    for (std::size_t I : Edge)
      for (std::size_t J : Links[I])
        if (!Reached[J]) {
          Reached[J] = true;
          --Left;
          Next.push_back(J);
        }
    Edge = Next;
  }
  return Left == 0 ? Steps : 0;
}

void control() {
  Heartbeat H;
  H.Name_ = "lb-11999";
  H.Data_ = parseEndpoint("10.20.30.40:7100");
  H.Incarnation_ = Incarnation{~std::uint64_t{0}};
  H.Versions_ = {
      {{55'000'000, ~std::uint64_t{0}}, {17'000'000, ~std::uint64_t{0}}}};
  std::string Bytes = encodeControl(H, Secret);
  ControlMessage Read;
  double Send = nanoseconds(
      100'000, [&](std::size_t) { Bytes = encodeControl(H, Secret); });
  double Receive = nanoseconds(100'000, [&](std::size_t) {
    decodeControl(Bytes, {Secret, Secret}, Read);
  });
  std::cout << R"({"bench": "heartbeat", "bytes": )" << Bytes.size()
            << R"(, "encode_ns": )" << Send << R"(, "decode_ns": )" << Receive
            << "}\n";
  for (std::size_t Count : {8, 100, 1000, 3000}) {
    HostList L = fleet(Count);
    double Choose = nanoseconds(20, [&](std::size_t I) {
      choosePeers(L, "lb-" + std::to_string(I % Count), "hall-0", 8);
    });
    std::cout << R"({"bench": "peers", "balancers": )" << Count
              << R"(, "choose_us": )" << Choose / 1000
              << R"(, "steps_to_all": )" << stepsToAll(L) << "}\n";
  }
}

} // namespace

int main() {
  decisions();
  codec();
  flows();
  upstreams();
  control();
}

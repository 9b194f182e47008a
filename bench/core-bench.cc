// Benchmarks the core's decisions, codecs and tables on one thread, for several
// table and fleet sizes. Prints one JSON object per line.
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
const ServiceId Service = static_cast<ServiceId>(nameId("index"));

TimeZoneClock stubZoneClock() {
  return [](const std::string &, WallTime) { return LocalMinute{}; };
}

std::string declarationText(std::size_t Upstreams) {
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

DeclarationPtr parseOrAbort(const std::string &Text) {
  return boost::leaf::try_handle_all(
      [&] { return parseDeclaration(Text, "bench", stubZoneClock()); },
      []() -> DeclarationPtr { std::abort(); });
}

/// Returns the resident memory of this process in bytes.
double residentBytes() {
  std::ifstream In("/proc/self/statm");
  std::size_t Total = 0;
  std::size_t Resident = 0;
  In >> Total >> Resident;
  return static_cast<double>(Resident) *
         static_cast<double>(sysconf(_SC_PAGESIZE));
}

template <typename Function>
double nanosecondsPerCall(std::size_t Count, Function F) {
  auto Start = Clock::now();
  for (std::size_t I = 0; I < Count; ++I)
    F(I);
  std::chrono::duration<double, std::nano> Elapsed = Clock::now() - Start;
  return Elapsed.count() / static_cast<double>(Count);
}

/// Drives a balancer core by events, with simulated upstream replies.
class CoreDriver {
public:
  explicit CoreDriver(const DeclarationPtr &D)
      : Core_(BalancerBuilder()
                  .name("lb")
                  .dataAddress(Endpoint::v4(2, 7100))
                  .incarnation(Incarnation{42})
                  .seed(1)
                  .keys({Secret, Secret})
                  .zones(stubZoneClock())
                  .build()),
        Sink_([this](const Action &A) { recordAction(A); }) {
    handle(DeclarationRead{D});
  }

  void handle(const Event &Input) { Core_.handle(Now_, Input, Sink_); }
  void open(std::uint64_t Flow) {
    Message M;
    M.Kind_ = MessageKind::Open;
    M.Service_ = Service;
    M.Flow_ = FlowId{Flow};
    handle(FromCaller{Caller, M, 200});
    reply(MessageKind::Opened);
  }
  void request(std::uint64_t Flow, std::uint32_t Number, bool Repeatable) {
    Message M;
    M.Kind_ = MessageKind::Request;
    M.Service_ = Service;
    M.Flow_ = FlowId{Flow};
    M.Request_ = Number;
    M.Flags_ = Repeatable ? FlagRepeatable : 0;
    M.Route_ = Route_.bytes();
    handle(FromCaller{Caller, M, 200});
  }
  void reply(MessageKind K) {
    Message M = UpstreamMessage_;
    M.Kind_ = K;
    M.Incarnation_ = Incarnation{5};
    handle(FromUpstream{UpstreamAddress_, M});
  }
  void tick() {
    Now_.Mono_ += Balancer::TickInterval;
    Now_.Wall_ += Balancer::TickInterval;
    handle(Tick{});
  }
  Status status() const { return Core_.status(); }

private:
  void recordAction(const Action &A) {
    if (const auto *U = std::get_if<ToUpstream>(&A)) {
      UpstreamMessage_ = U->Message_;
      UpstreamAddress_ = U->To_;
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
  Message UpstreamMessage_;
  Endpoint UpstreamAddress_;
  SignedRoute Route_;
};

void benchDecisions() {
  constexpr std::uint32_t Rounds = 300'000;
  constexpr std::uint32_t RequestsPerTick = 1000;
  for (bool Repeatable : {true, false}) {
    CoreDriver D(parseOrAbort(declarationText(14)));
    D.open(1);
    double NsPerRequest = nanosecondsPerCall(Rounds, [&](std::size_t I) {
      D.request(1, static_cast<std::uint32_t>(I + 1), Repeatable);
      D.reply(MessageKind::Answer);
      if (I % RequestsPerTick == 0)
        D.tick();
    });
    std::cout << R"({"bench": "decision", "class": ")"
              << (Repeatable ? "repeatable" : "once")
              << R"(", "ns_per_event": )" << NsPerRequest / 2 << "}\n";
  }
}

void benchCodec() {
  std::uint8_t Buffer[MaxDatagramSize];
  std::uint8_t Payload[128] = {};
  Message M;
  M.Kind_ = MessageKind::Request;
  M.Flow_ = FlowId{0x123456789abcdef};
  M.Payload_ = {Payload, sizeof Payload};
  SignedRoute R = signRoute({}, Secret);
  M.Route_ = R.bytes();
  std::size_t Size = 0;
  double EncodeNs = nanosecondsPerCall(1'000'000, [&](std::size_t I) {
    M.Request_ = static_cast<std::uint32_t>(I);
    Size = encode(M, Buffer, sizeof Buffer);
  });
  Message Decoded;
  double DecodeNs = nanosecondsPerCall(
      1'000'000, [&](std::size_t) { decode(Buffer, Size, Decoded); });
  std::cout << R"({"bench": "codec", "bytes": )" << Size << R"(, "encode_ns": )"
            << EncodeNs << R"(, "decode_ns": )" << DecodeNs << "}\n";
}

void benchFlows() {
  for (std::size_t Count : {34'000, 100'000, 250'000, 500'000}) {
    double BytesBefore = residentBytes();
    CoreDriver D(parseOrAbort(declarationText(14)));
    double OpenNs = nanosecondsPerCall(Count, [&](std::size_t I) {
      D.open(I + 1);
      if (I % 1000 == 0)
        D.tick();
    });
    double ResidentBytes = residentBytes() - BytesBefore;
    double TickNs = nanosecondsPerCall(1000, [&](std::size_t) { D.tick(); });
    std::cout << R"({"bench": "flows", "flows": )" << D.status().Flows_
              << R"(, "open_and_opened_ns": )" << OpenNs
              << R"(, "table_bytes_per_flow": )"
              << static_cast<double>(D.status().MemoryBytes_) /
                     static_cast<double>(Count)
              << R"(, "resident_mb": )" << ResidentBytes / 1e6
              << R"(, "tick_ns": )" << TickNs << "}\n";
  }
}

void benchUpstreams() {
  for (std::size_t Count : {14, 140, 1400, 5000}) {
    std::string Text = declarationText(Count);
    double BytesBefore = residentBytes();
    auto Start = Clock::now();
    DeclarationPtr Declaration = parseOrAbort(Text);
    std::chrono::duration<double, std::milli> ParseTime = Clock::now() - Start;
    Start = Clock::now();
    CoreDriver D(Declaration);
    std::chrono::duration<double, std::milli> ApplyTime = Clock::now() - Start;
    double ResidentBytes = residentBytes() - BytesBefore;
    double OpenNs =
        nanosecondsPerCall(2000, [&](std::size_t I) { D.open(I + 1); });
    std::cout << R"({"bench": "upstreams", "upstreams": )" << Count
              << R"(, "document_bytes": )" << Text.size() << R"(, "parse_ms": )"
              << ParseTime.count() << R"(, "apply_ms": )" << ApplyTime.count()
              << R"(, "resident_mb": )" << ResidentBytes / 1e6
              << R"(, "open_and_opened_ns": )" << OpenNs << "}\n";
  }
}

HostList hostList(std::size_t Count) {
  HostList L;
  for (std::size_t I = 0; I < Count; ++I) {
    Host H;
    H.Name_ = "lb-" + std::to_string(I);
    H.DataHall_ = "hall-" + std::to_string(I % 15);
    L.Hosts_.push_back(H);
  }
  return L;
}

/// Returns the number of hops over peer links after which news from the first
/// balancer has reached all balancers, or 0 if some are unreachable.
std::size_t hopsToReachAll(const HostList &L) {
  std::vector<std::vector<std::size_t>> Links(L.Hosts_.size());
  for (std::size_t I = 0; I < L.Hosts_.size(); ++I)
    for (const Host &P :
         choosePeers(L, L.Hosts_[I].Name_, L.Hosts_[I].DataHall_, 8)) {
      std::size_t J = std::stoul(P.Name_.substr(3));
      Links[I].push_back(J);
      Links[J].push_back(I);
    }
  std::vector<bool> Reached(L.Hosts_.size(), false);
  std::vector<std::size_t> Frontier = {0};
  Reached[0] = true;
  std::size_t Unreached = L.Hosts_.size() - 1;
  std::size_t Hops = 0;
  for (; Unreached != 0 && !Frontier.empty(); ++Hops) {
    std::vector<std::size_t> Next;
    for (std::size_t I : Frontier)
      for (std::size_t J : Links[I])
        if (!Reached[J]) {
          Reached[J] = true;
          --Unreached;
          Next.push_back(J);
        }
    Frontier = Next;
  }
  return Unreached == 0 ? Hops : 0;
}

void benchControl() {
  Heartbeat H;
  H.Name_ = "lb-11999";
  H.Data_ = parseEndpoint("10.20.30.40:7100");
  H.Incarnation_ = Incarnation{~std::uint64_t{0}};
  H.Versions_ = {
      {{55'000'000, ~std::uint64_t{0}}, {17'000'000, ~std::uint64_t{0}}}};
  std::string Bytes = encodeControl(H, Secret);
  ControlMessage Decoded;
  double EncodeNs = nanosecondsPerCall(
      100'000, [&](std::size_t) { Bytes = encodeControl(H, Secret); });
  double DecodeNs = nanosecondsPerCall(100'000, [&](std::size_t) {
    decodeControl(Bytes, {Secret, Secret}, Decoded);
  });
  std::cout << R"({"bench": "heartbeat", "bytes": )" << Bytes.size()
            << R"(, "encode_ns": )" << EncodeNs << R"(, "decode_ns": )"
            << DecodeNs << "}\n";
  for (std::size_t Count : {8, 100, 1000, 3000}) {
    HostList L = hostList(Count);
    double ChooseNs = nanosecondsPerCall(20, [&](std::size_t I) {
      choosePeers(L, "lb-" + std::to_string(I % Count), "hall-0", 8);
    });
    std::cout << R"({"bench": "peers", "balancers": )" << Count
              << R"(, "choose_us": )" << ChooseNs / 1000
              << R"(, "steps_to_all": )" << hopsToReachAll(L) << "}\n";
  }
}

} // namespace

int main() {
  benchDecisions();
  benchCodec();
  benchFlows();
  benchUpstreams();
  benchControl();
}

/// \file
/// One request balancer with a caller, upstreams and a clock of its own. For
/// focused tests of its decisions.
#ifndef THYMEWALL_TEST_BALANCER_BENCH_H
#define THYMEWALL_TEST_BALANCER_BENCH_H

#include "thymewall/balancer.h"

#include <boost/leaf/handle_errors.hpp>
#include <doctest/doctest.h>
#include <optional>

namespace thymewall::test {

using std::chrono::milliseconds;

inline const Endpoint Caller = Endpoint::v4(1, 1000);
inline const Endpoint Peer = Endpoint::v4(3, 7100);
const SecretKey Secret = {1, 2, 3};
inline const ServiceId Index = static_cast<ServiceId>(nameId("index"));

inline TimeZoneClock noZones() {
  return [](const std::string &, WallTime) { return LocalMinute{}; };
}

inline DeclarationPtr declaration(int Version, int Upstreams,
                                  const std::string &Extra = "") {
  std::string Text = "{\"version\": " + std::to_string(Version) +
                     R"(, "services": [{"name": "index", "port": 1,)" + Extra +
                     R"( "deadline_ms": 1000}], "upstreams": [)";
  for (int I = 0; I < Upstreams; ++I)
    Text += std::string(I == 0 ? "" : ",") + R"({"name": "up-)" +
            std::to_string(I) + R"(", "address": "10.0.0.)" +
            std::to_string(I + 1) + R"(:9000", "data_hall": "h"})";
  Text += R"(], "selectors": [{"service": "index",)"
          R"( "terms": [{"key": "off", "op": "absent"}]}]})";
  return boost::leaf::try_handle_all(
      [&] { return parseDeclaration(Text, "test", noZones()); },
      [] { return DeclarationPtr(); });
}

/// One core, the time, and what it last sent to each side.
class Bench {
public:
  explicit Bench(std::uint64_t Self = 42,
                 const DeclarationPtr &D = declaration(1, 2))
      : Core_(BalancerBuilder()
                  .name("lb")
                  .dataAddress(
                      Endpoint::v4(static_cast<std::uint32_t>(Self), 7100))
                  .incarnation(Incarnation{Self})
                  .seed(1)
                  .keys({Secret, Secret})
                  .zones(noZones())
                  .build()),
        Sink_([this](const Action &A) { note(A); }) {
    if (D)
      give(DeclarationRead{D});
  }

  void give(const Event &What) { Core_.handle(now(), What, Sink_); }
  Moment now() const {
    return {MonoTime(Now_), WallTime(Now_ + std::chrono::hours(1))};
  }
  void pass(Micros Time) {
    for (Micros End = Now_ + Time; Now_ < End;) {
      Now_ += Balancer::TickEvery;
      give(Tick{});
    }
  }
  void sleep(Micros Time) { Now_ += Time; }

  void fromCaller(Message M, std::size_t Size = 200) {
    M.Service_ = Index;
    M.Flow_ = FlowId{7};
    give(FromCaller{Caller, M, Size});
  }
  void open() {
    Message M;
    M.Kind_ = Kind::Open;
    fromCaller(M);
  }
  /// Lets the upstream that was last sent to reply.
  void reply(Kind K, std::uint16_t Part = 0, std::uint16_t Parts = 0) {
    Message M = Up_->Message_;
    M.Kind_ = K;
    M.Part_ = Part;
    M.Parts_ = Parts;
    M.Payload_ = {};
    M.Incarnation_ = Incarnation{5};
    give(FromUpstream{Up_->To_, M});
  }
  void openFlow() {
    open();
    reply(Kind::Opened);
    Route_ = Sealed_;
  }
  Message request(std::uint32_t Number, bool Repeatable = false) {
    Message M;
    M.Kind_ = Kind::Request;
    M.Request_ = Number;
    M.Flags_ = Repeatable ? FlagRepeatable : 0;
    M.Deadline_ = now().Wall_ + milliseconds(900);
    M.Route_ = Route_.bytes();
    return M;
  }
  std::uint64_t errors(ErrorKind K) const {
    return Core_.counters().Errors_[static_cast<std::size_t>(K)];
  }

  void note(const Action &A) {
    if (const auto *C = std::get_if<ToCaller>(&A)) {
      Caller_ = *C;
      ++ToCallers_;
      if (!C->Message_.Route_.empty()) {
        Bytes R = C->Message_.Route_;
        std::copy_n(R.Data_, R.Size_, Sealed_.Bytes_.begin());
        Sealed_.Size_ = R.Size_;
      }
    } else if (const auto *U = std::get_if<ToUpstream>(&A)) {
      Up_ = *U;
      ++ToUpstreams_;
    } else if (const auto *P = std::get_if<ToPeer>(&A)) {
      Peer_ = *P;
      ++ToPeers_;
    } else if (const auto *R = std::get_if<RereadSources>(&A)) {
      Asked_ = R->Asked_;
    }
  }

  Balancer Core_;
  ActionSink Sink_;
  Micros Now_ = std::chrono::seconds(1000);
  SignedRoute Route_;
  SignedRoute Sealed_;
  std::optional<ToCaller> Caller_;
  std::optional<ToUpstream> Up_;
  std::optional<ToPeer> Peer_;
  int ToCallers_ = 0;
  int ToUpstreams_ = 0;
  int ToPeers_ = 0;
  std::uint64_t Asked_ = 0;
};

inline bool notRun(const Bench &B) {
  return (B.Caller_->Message_.Flags_ & FlagNotRun) != 0;
}

} // namespace thymewall::test

#endif

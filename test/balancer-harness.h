/// \file
/// A test harness for one request balancer with a caller, upstreams and a
/// virtual clock.
#ifndef THYMEWALL_TEST_BALANCER_HARNESS_H
#define THYMEWALL_TEST_BALANCER_HARNESS_H

#include "thymewall/balancer.h"

#include <boost/leaf/handle_errors.hpp>
#include <doctest/doctest.h>
#include <optional>

namespace thymewall::test {

using std::chrono::milliseconds;

inline const Endpoint CallerAddress = Endpoint::v4(1, 1000);
inline const Endpoint PeerAddress = Endpoint::v4(3, 7100);
const SecretKey Secret = {1, 2, 3};
inline const ServiceId IndexService = static_cast<ServiceId>(nameId("index"));

inline TimeZoneClock noZones() {
  return [](const std::string &, WallTime) { return LocalMinute{}; };
}

inline DeclarationPtr makeDeclaration(int Version, int Upstreams,
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

/// Drives one core and records the last message to each destination.
class BalancerHarness {
public:
  explicit BalancerHarness(std::uint64_t Self = 42,
                           const DeclarationPtr &D = makeDeclaration(1, 2))
      : Core_(BalancerBuilder()
                  .name("lb")
                  .dataAddress(
                      Endpoint::v4(static_cast<std::uint32_t>(Self), 7100))
                  .incarnation(Incarnation{Self})
                  .seed(1)
                  .keys({Secret, Secret})
                  .zones(noZones())
                  .build()),
        Sink_([this](const Action &A) { record(A); }) {
    if (D)
      handle(DeclarationRead{D});
  }

  void handle(const Event &What) { Core_.handle(now(), What, Sink_); }
  Moment now() const {
    return {MonoTime(Now_), WallTime(Now_ + std::chrono::hours(1))};
  }
  void advance(Micros Time) {
    for (Micros End = Now_ + Time; Now_ < End;) {
      Now_ += Balancer::TickInterval;
      handle(Tick{});
    }
  }
  void pauseProcess(Micros Time) { Now_ += Time; }

  void fromCaller(Message M, std::size_t Size = 200) {
    M.Service_ = IndexService;
    M.Flow_ = FlowId{7};
    handle(FromCaller{CallerAddress, M, Size});
  }
  void open() {
    Message M;
    M.Kind_ = MessageKind::Open;
    fromCaller(M);
  }
  /// Replies from the upstream that the last datagram was sent to.
  void reply(MessageKind K, std::uint16_t Part = 0, std::uint16_t Parts = 0) {
    Message M = LastToUpstream_->Message_;
    M.Kind_ = K;
    M.Part_ = Part;
    M.Parts_ = Parts;
    M.Payload_ = {};
    M.Incarnation_ = Incarnation{5};
    handle(FromUpstream{LastToUpstream_->To_, M});
  }
  void openFlow() {
    open();
    reply(MessageKind::Opened);
    Route_ = LastRoute_;
  }
  Message request(std::uint32_t Number, bool Repeatable = false) {
    Message M;
    M.Kind_ = MessageKind::Request;
    M.Request_ = Number;
    M.Flags_ = Repeatable ? FlagRepeatable : 0;
    M.Deadline_ = now().Wall_ + milliseconds(900);
    M.Route_ = Route_.bytes();
    return M;
  }
  std::uint64_t errorCount(ErrorKind K) const {
    return Core_.counters().Errors_[static_cast<std::size_t>(K)];
  }

  void record(const Action &A) {
    if (const auto *C = std::get_if<ToCaller>(&A)) {
      LastToCaller_ = *C;
      ++ToCallerCount_;
      if (!C->Message_.Route_.empty()) {
        Bytes R = C->Message_.Route_;
        std::copy_n(R.Data_, R.Size_, LastRoute_.Bytes_.begin());
        LastRoute_.Size_ = R.Size_;
      }
    } else if (const auto *U = std::get_if<ToUpstream>(&A)) {
      LastToUpstream_ = *U;
      ++ToUpstreamCount_;
    } else if (const auto *P = std::get_if<ToPeer>(&A)) {
      LastToPeer_ = *P;
      ++ToPeerCount_;
    } else if (const auto *R = std::get_if<RefreshDocuments>(&A)) {
      RefreshId_ = R->RefreshId_;
    }
  }

  Balancer Core_;
  ActionSink Sink_;
  Micros Now_ = std::chrono::seconds(1000);
  SignedRoute Route_;
  SignedRoute LastRoute_;
  std::optional<ToCaller> LastToCaller_;
  std::optional<ToUpstream> LastToUpstream_;
  std::optional<ToPeer> LastToPeer_;
  int ToCallerCount_ = 0;
  int ToUpstreamCount_ = 0;
  int ToPeerCount_ = 0;
  std::uint64_t RefreshId_ = 0;
};

inline bool notRun(const BalancerHarness &B) {
  return (B.LastToCaller_->Message_.Flags_ & FlagNotRun) != 0;
}

} // namespace thymewall::test

#endif

#include "thymewall/packet-settings.h"

#include "json-reader.h"

#include <boost/leaf/error.hpp>

namespace thymewall {

namespace {

/// One day; a longer time is probably given in the wrong unit.
constexpr std::int64_t MaxTimeMs = 86'400'000;

/// Upper bounds that catch typing errors.
constexpr double MaxColdBurstFactor = 100;
constexpr double MaxRequestsPerSlot = 1000;
constexpr double MaxColdBurstAllowance = 100'000;

Micros readMs(detail::ObjectReader &Reader, const char *Key) {
  return std::chrono::milliseconds(Reader.integer(Key, 1, MaxTimeMs));
}

/// Reads one of the named values of \p Choices; the first is the default.
template <typename Value>
Value readChoice(detail::ObjectReader &Reader, const char *Key,
                 std::initializer_list<std::pair<const char *, Value>> Choices,
                 detail::ProblemList &Found) {
  std::string Name = Reader.stringOr(Key, Choices.begin()->first);
  std::string Names;
  for (const auto &[Known, Result] : Choices) {
    if (Name == Known)
      return Result;
    Names += (Names.empty() ? "" : ", ") + std::string(Known);
  }
  if (!Name.empty())
    Found.add(Key, "must be one of: " + Names);
  return Choices.begin()->second;
}

} // namespace

bool operator==(const PacketSettings &A, const PacketSettings &B) {
  auto Fields = [](const PacketSettings &S) {
    return std::tie(S.Name_, S.DataHall_, S.PacketAddress_, S.ReadinessAddress_,
                    S.ControlAddress_, S.AdvertisedControlAddress_,
                    S.ConfigServiceAddress_, S.MetricsPort_, S.Seeds_,
                    S.MaxRoutingDelay_, S.StopTimeout_, S.MaxFlowAge_,
                    S.ColdBurstFactor_, S.ColdBurstAllowance_, S.Placement_,
                    S.Admission_, S.StepsBack_, S.RequestsPerSlot_);
  };
  return Fields(A) == Fields(B);
}

boost::leaf::result<PacketSettings>
parsePacketSettings(const std::string &Text, const std::string &File) {
  detail::ProblemList Found(File);
  detail::Json Root = detail::parseJson(Text, Found);
  if (!Found.empty())
    return boost::leaf::new_error(Found.all());
  detail::ObjectReader Reader(Root, "", Found);
  PacketSettings S;
  S.Name_ = Reader.string("name");
  S.DataHall_ = Reader.string("data_hall");
  S.PacketAddress_ = Reader.endpoint("packets");
  S.ReadinessAddress_ = Reader.endpoint("readiness");
  S.ControlAddress_ = Reader.endpoint("control");
  S.AdvertisedControlAddress_ = Reader.has("advertised_control")
                                    ? Reader.endpoint("advertised_control")
                                    : S.ControlAddress_;
  S.ConfigServiceAddress_ = Reader.endpoint("configuration");
  S.MetricsPort_ =
      static_cast<std::uint16_t>(Reader.integer("metrics_port", 1, 65535));
  S.Seeds_ = detail::readEndpoints(Reader, "seeds", true, Found);
  S.MaxRoutingDelay_ = readMs(Reader, "routing_within_ms");
  S.StopTimeout_ = readMs(Reader, "stop_within_ms");
  S.MaxFlowAge_ = readMs(Reader, "flow_limit_ms");
  S.ColdBurstFactor_ = Reader.numberOr("cold_over", 1, 0, MaxColdBurstFactor);
  S.ColdBurstAllowance_ =
      Reader.numberOr("cold_slack", 0, 0, MaxColdBurstAllowance);
  S.Placement_ = readChoice<Placement>(
      Reader, "placement",
      {{"two_draws", Placement::TwoDraws}, {"apertures", Placement::Apertures}},
      Found);
  S.Admission_ = readChoice<Admission>(
      Reader, "admission",
      {{"open", Admission::Open}, {"backlog", Admission::Backlog}}, Found);
  S.StepsBack_ = Reader.booleanOr("step_back", false);
  S.RequestsPerSlot_ = Reader.numberOr("requests_per_slot", S.RequestsPerSlot_,
                                       1, MaxRequestsPerSlot);
  Reader.finish();
  if (!Found.empty())
    return boost::leaf::new_error(Found.all());
  return S;
}

std::vector<std::string> keysNeedingRestart(const PacketSettings &Running,
                                            const PacketSettings &Changed) {
  std::vector<std::string> Keys;
  auto Compare = [&](const char *Key, bool Same) {
    if (!Same)
      Keys.emplace_back(Key);
  };
  Compare("name", Running.Name_ == Changed.Name_);
  Compare("data_hall", Running.DataHall_ == Changed.DataHall_);
  Compare("packets", Running.PacketAddress_ == Changed.PacketAddress_);
  Compare("readiness", Running.ReadinessAddress_ == Changed.ReadinessAddress_);
  Compare("control", Running.ControlAddress_ == Changed.ControlAddress_);
  Compare("advertised_control", Running.AdvertisedControlAddress_ ==
                                    Changed.AdvertisedControlAddress_);
  Compare("configuration",
          Running.ConfigServiceAddress_ == Changed.ConfigServiceAddress_);
  Compare("metrics_port", Running.MetricsPort_ == Changed.MetricsPort_);
  return Keys;
}

} // namespace thymewall

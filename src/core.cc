#include "thymewall/core.h"

#include <arpa/inet.h>
#include <charconv>
#include <cstring>
#include <xxhash.h>

namespace thymewall {

std::uint32_t nameId(std::string_view Name) {
  std::uint64_t Hash = XXH64(Name.data(), Name.size(), 0);
  return static_cast<std::uint32_t>(Hash ^ (Hash >> 32));
}

std::uint64_t hashPair(std::uint64_t A, std::uint64_t B) {
  std::uint64_t Values[2] = {A, B};
  return XXH64(Values, sizeof Values, 0);
}

namespace {

using namespace std::chrono_literals;

constexpr Micros NoDelay = 0us;
constexpr Micros ShortDelay = 200ms;
constexpr Micros LongDelay = 1s;

constexpr ErrorRow ErrorRows[] = {
    {ErrorKind::None, "none", ErrorResponse::Drop, NoDelay},
    {ErrorKind::Malformed, "malformed", ErrorResponse::Drop, NoDelay},
    {ErrorKind::Oversized, "oversized", ErrorResponse::Drop, NoDelay},
    {ErrorKind::ForgedRoute, "forged_route", ErrorResponse::Drop, NoDelay},
    {ErrorKind::UnknownService, "unknown_service", ErrorResponse::Drop,
     NoDelay},
    {ErrorKind::NotReady, "not_ready", ErrorResponse::NotRun, ShortDelay},
    {ErrorKind::NoUpstream, "no_upstream", ErrorResponse::NotRun, LongDelay},
    {ErrorKind::Overloaded, "overloaded", ErrorResponse::NotRun, ShortDelay},
    {ErrorKind::UpstreamRefused, "upstream_refused", ErrorResponse::NotRun,
     ShortDelay},
    {ErrorKind::FlowUnknown, "flow_unknown", ErrorResponse::NotRun, NoDelay},
    {ErrorKind::DeadlinePassed, "deadline_passed", ErrorResponse::NotRun,
     NoDelay},
    {ErrorKind::DeadlineTooFar, "deadline_too_far", ErrorResponse::NotRun,
     NoDelay},
    {ErrorKind::NoAnswer, "no_answer", ErrorResponse::OutcomeUnknown,
     ShortDelay},
    {ErrorKind::HomeUnreachable, "home_unreachable",
     ErrorResponse::OutcomeUnknown, NoDelay},
    {ErrorKind::NumberUsed, "number_used", ErrorResponse::OutcomeUnknown,
     NoDelay},
    {ErrorKind::RouteRequired, "route_required", ErrorResponse::OutcomeUnknown,
     NoDelay},
    {ErrorKind::LateAnswer, "late_answer", ErrorResponse::Drop, NoDelay},
    {ErrorKind::RepeatedPart, "repeated_part", ErrorResponse::Drop, NoDelay},
    {ErrorKind::UnknownSender, "unknown_sender", ErrorResponse::Drop, NoDelay},
    {ErrorKind::BadTag, "bad_tag", ErrorResponse::Drop, NoDelay},
    {ErrorKind::NotFromCaller, "not_from_caller", ErrorResponse::Drop, NoDelay},
    {ErrorKind::UnknownAddress, "unknown_address", ErrorResponse::Reset,
     NoDelay},
    {ErrorKind::TableNotFresh, "table_not_fresh", ErrorResponse::Drop, NoDelay},
    {ErrorKind::UnknownCookie, "unknown_cookie", ErrorResponse::Drop, NoDelay},
    {ErrorKind::NoneLeft, "none_left", ErrorResponse::Drop, NoDelay},
    {ErrorKind::UpstreamDead, "upstream_dead", ErrorResponse::Reset, NoDelay},
    {ErrorKind::AllEvacuated, "all_evacuated", ErrorResponse::Reset, NoDelay},
    {ErrorKind::AllCold, "all_cold", ErrorResponse::Reset, NoDelay},
    {ErrorKind::ServiceFull, "service_full", ErrorResponse::Reset, NoDelay},
};
static_assert(sizeof ErrorRows / sizeof ErrorRows[0] ==
                  static_cast<std::size_t>(ErrorKind::Count),
              "every error kind has a row");

} // namespace

const ErrorRow &errorRow(ErrorKind Kind) {
  if (Kind >= ErrorKind::Count)
    return ErrorRows[static_cast<std::size_t>(ErrorKind::Malformed)];
  return ErrorRows[static_cast<std::size_t>(Kind)];
}

Endpoint parseEndpoint(std::string_view Text) {
  std::size_t Colon = Text.rfind(':');
  if (Colon == std::string_view::npos)
    return {};
  std::string_view PortText = Text.substr(Colon + 1);
  std::uint16_t Port = 0;
  auto [End, Error] =
      std::from_chars(PortText.data(), PortText.data() + PortText.size(), Port);
  if (Error != std::errc() || End != PortText.data() + PortText.size())
    return {};
  std::string Address(Text.substr(0, Colon));
  in_addr Ipv4{};
  if (inet_pton(AF_INET, Address.c_str(), &Ipv4) == 1)
    return Endpoint::v4(ntohl(Ipv4.s_addr), Port);
  if (Address.size() < 2 || Address.front() != '[' || Address.back() != ']')
    return {};
  Address = Address.substr(1, Address.size() - 2);
  Endpoint Result;
  if (inet_pton(AF_INET6, Address.c_str(), Result.Ip_.data()) != 1)
    return {};
  Result.Port_ = Port;
  return Result;
}

std::string formatEndpoint(const Endpoint &Value) {
  static constexpr std::array<std::uint8_t, 12> Mapped = {
      0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0xff, 0xff};
  char Text[INET6_ADDRSTRLEN];
  bool IsIpv4 =
      std::memcmp(Value.Ip_.data(), Mapped.data(), Mapped.size()) == 0;
  if (IsIpv4) {
    inet_ntop(AF_INET, Value.Ip_.data() + 12, Text, sizeof Text);
    return std::string(Text) + ":" + std::to_string(Value.Port_);
  }
  inet_ntop(AF_INET6, Value.Ip_.data(), Text, sizeof Text);
  return "[" + std::string(Text) + "]:" + std::to_string(Value.Port_);
}

} // namespace thymewall

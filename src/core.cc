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
  std::uint64_t Both[2] = {A, B};
  return XXH64(Both, sizeof Both, 0);
}

namespace {

using namespace std::chrono_literals;

constexpr Micros Now = 0us;
constexpr Micros Soon = 200ms;
constexpr Micros Later = 1s;

constexpr ErrorRow Rows[] = {
    {ErrorKind::None, "none", ErrorResponse::Drop, Now},
    {ErrorKind::Malformed, "malformed", ErrorResponse::Drop, Now},
    {ErrorKind::Oversized, "oversized", ErrorResponse::Drop, Now},
    {ErrorKind::ForgedRoute, "forged_route", ErrorResponse::Drop, Now},
    {ErrorKind::UnknownService, "unknown_service", ErrorResponse::Drop, Now},
    {ErrorKind::NotReady, "not_ready", ErrorResponse::NotRun, Soon},
    {ErrorKind::NoUpstream, "no_upstream", ErrorResponse::NotRun, Later},
    {ErrorKind::Overloaded, "overloaded", ErrorResponse::NotRun, Soon},
    {ErrorKind::UpstreamRefused, "upstream_refused", ErrorResponse::NotRun,
     Soon},
    {ErrorKind::FlowUnknown, "flow_unknown", ErrorResponse::NotRun, Now},
    {ErrorKind::DeadlinePassed, "deadline_passed", ErrorResponse::NotRun, Now},
    {ErrorKind::DeadlineTooFar, "deadline_too_far", ErrorResponse::NotRun, Now},
    {ErrorKind::NoAnswer, "no_answer", ErrorResponse::OutcomeUnknown, Soon},
    {ErrorKind::HomeUnreachable, "home_unreachable",
     ErrorResponse::OutcomeUnknown, Now},
    {ErrorKind::NumberUsed, "number_used", ErrorResponse::OutcomeUnknown, Now},
    {ErrorKind::RouteRequired, "route_required", ErrorResponse::OutcomeUnknown,
     Now},
    {ErrorKind::LateAnswer, "late_answer", ErrorResponse::Drop, Now},
    {ErrorKind::RepeatedPart, "repeated_part", ErrorResponse::Drop, Now},
    {ErrorKind::UnknownSender, "unknown_sender", ErrorResponse::Drop, Now},
    {ErrorKind::BadTag, "bad_tag", ErrorResponse::Drop, Now},
    {ErrorKind::NotFromCaller, "not_from_caller", ErrorResponse::Drop, Now},
    {ErrorKind::UnknownAddress, "unknown_address", ErrorResponse::Reset, Now},
    {ErrorKind::TableNotFresh, "table_not_fresh", ErrorResponse::Drop, Now},
    {ErrorKind::UnknownCookie, "unknown_cookie", ErrorResponse::Drop, Now},
    {ErrorKind::NoneLeft, "none_left", ErrorResponse::Drop, Now},
    {ErrorKind::UpstreamDead, "upstream_dead", ErrorResponse::Reset, Now},
    {ErrorKind::AllEvacuated, "all_evacuated", ErrorResponse::Reset, Now},
    {ErrorKind::AllCold, "all_cold", ErrorResponse::Reset, Now},
};
static_assert(sizeof Rows / sizeof Rows[0] ==
                  static_cast<std::size_t>(ErrorKind::Count),
              "every error kind has a row");

} // namespace

const ErrorRow &errorRow(ErrorKind Kind) {
  if (Kind >= ErrorKind::Count)
    return Rows[static_cast<std::size_t>(ErrorKind::Malformed)];
  return Rows[static_cast<std::size_t>(Kind)];
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
  std::string Host(Text.substr(0, Colon));
  in_addr Four{};
  if (inet_pton(AF_INET, Host.c_str(), &Four) == 1)
    return Endpoint::v4(ntohl(Four.s_addr), Port);
  if (Host.size() < 2 || Host.front() != '[' || Host.back() != ']')
    return {};
  Host = Host.substr(1, Host.size() - 2);
  Endpoint Result;
  if (inet_pton(AF_INET6, Host.c_str(), Result.Ip_.data()) != 1)
    return {};
  Result.Port_ = Port;
  return Result;
}

std::string formatEndpoint(const Endpoint &Where) {
  static constexpr std::array<std::uint8_t, 12> Mapped = {
      0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0xff, 0xff};
  char Text[INET6_ADDRSTRLEN];
  bool IsFour =
      std::memcmp(Where.Ip_.data(), Mapped.data(), Mapped.size()) == 0;
  if (IsFour) {
    inet_ntop(AF_INET, Where.Ip_.data() + 12, Text, sizeof Text);
    return std::string(Text) + ":" + std::to_string(Where.Port_);
  }
  inet_ntop(AF_INET6, Where.Ip_.data(), Text, sizeof Text);
  return "[" + std::string(Text) + "]:" + std::to_string(Where.Port_);
}

} // namespace thymewall

#include "upstream-codec.h"

#include <algorithm>

namespace thymewall::detail {

namespace {

using Json = nlohmann::json;

constexpr std::size_t V4Start = 12; ///< Of an IPv4 address in `Ip_`.
/// Fields of a change without an entry, and with one.
constexpr std::size_t EndFields = 2;
constexpr std::size_t EntryFields = 10;

std::int64_t millisLeft(MonoTime Until, MonoTime Now) {
  auto Left =
      std::chrono::duration_cast<std::chrono::milliseconds>(Until - Now);
  return std::max<std::int64_t>(Left.count(), 0);
}

bool isV4(const Endpoint &At) {
  Endpoint Mapped = Endpoint::v4(0, 0);
  return std::equal(At.Ip_.begin(), At.Ip_.begin() + V4Start,
                    Mapped.Ip_.begin());
}

/// An IPv4 address and its port as one number, others as text.
Json encodeAddress(const Endpoint &At) {
  if (!isV4(At))
    return formatEndpoint(At);
  std::uint64_t Number = 0;
  for (std::size_t I = V4Start; I < At.Ip_.size(); ++I)
    Number = Number << 8 | At.Ip_[I];
  return Number << 16 | At.Port_;
}

Endpoint decodeAddress(const Json &J) {
  if (J.is_string())
    return decodeEndpoint(J);
  auto Number = J.get<std::uint64_t>();
  return Endpoint::v4(static_cast<std::uint32_t>(Number >> 16),
                      static_cast<std::uint16_t>(Number));
}

/// What many changes of a message share and name by its place.
struct Shared {
  std::vector<std::string> Halls_;
  std::vector<std::uint32_t> Services_;
};

/// The place of a value, which is added if need be.
template <typename T>
std::size_t placeOf(const T &Value, std::vector<T> &Values) {
  auto Known = std::find(Values.begin(), Values.end(), Value);
  if (Known != Values.end())
    return static_cast<std::size_t>(Known - Values.begin());
  Values.push_back(Value);
  return Values.size() - 1;
}

Json encodeChange(const UpstreamChange &Change, MonoTime Now, Shared &Names) {
  if (!Change.Entry_)
    return Json::array({raw(Change.Incarnation_), Change.At_});
  const UpstreamEntry &E = *Change.Entry_;
  return Json::array({raw(Change.Incarnation_), Change.At_,
                      placeOf(raw(E.Service_), Names.Services_),
                      encodeAddress(E.At_), placeOf(E.DataHall_, Names.Halls_),
                      E.Slots_, E.Draining_, millisLeft(E.WarmAt_, Now),
                      E.BornMs_, E.Part_});
}

UpstreamChange decodeChange(const Json &J, MonoTime Now, const Shared &Names) {
  UpstreamChange Change;
  Change.Incarnation_ = static_cast<Incarnation>(J.at(0).get<std::uint64_t>());
  Change.At_ = J.at(1).get<Revision>();
  if (J.size() == EndFields)
    return Change;
  if (J.size() != EntryFields)
    throw std::invalid_argument("not a change");
  UpstreamEntry E;
  E.Incarnation_ = Change.Incarnation_;
  E.Service_ =
      static_cast<ServiceId>(Names.Services_.at(J.at(2).get<std::size_t>()));
  E.At_ = decodeAddress(J.at(3));
  E.DataHall_ = Names.Halls_.at(J.at(4).get<std::size_t>());
  E.Slots_ = J.at(5).get<std::uint32_t>();
  E.Draining_ = J.at(6).get<bool>();
  E.WarmAt_ = Now + std::chrono::milliseconds(J.at(7).get<std::uint32_t>());
  E.BornMs_ = J.at(8).get<std::uint64_t>();
  E.Part_ = J.at(9).get<std::uint8_t>();
  Change.Entry_ = E;
  return Change;
}

} // namespace

Endpoint decodeEndpoint(const Json &J) {
  Endpoint Where = parseEndpoint(J.get_ref<const std::string &>());
  if (Where.empty())
    throw std::invalid_argument("no address");
  return Where;
}

Json encodeChanges(const std::vector<UpstreamChange> &Changes, MonoTime Now) {
  Shared Names;
  Json Rows = Json::array();
  for (const UpstreamChange &Change : Changes)
    Rows.push_back(encodeChange(Change, Now, Names));
  return Json::array({Names.Halls_, Names.Services_, std::move(Rows)});
}

std::vector<UpstreamChange> decodeChanges(const Json &J, MonoTime Now) {
  Shared Names{J.at(0).get<std::vector<std::string>>(),
               J.at(1).get<std::vector<std::uint32_t>>()};
  std::vector<UpstreamChange> Changes;
  for (const Json &Row : J.at(2))
    Changes.push_back(decodeChange(Row, Now, Names));
  return Changes;
}

} // namespace thymewall::detail

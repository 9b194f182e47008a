#include "upstream-codec.h"

#include <algorithm>

namespace thymewall::detail {

namespace {

using Json = nlohmann::json;

constexpr std::size_t V4Start = 12; ///< Offset of an IPv4 address.
/// Number of fields of a removal and of a change with an entry.
constexpr std::size_t RemovalFields = 2;
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

/// Encodes an IPv4 address and port as one number, others as text.
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

/// Values of a message that its changes refer to by index.
struct ValueTable {
  std::vector<std::string> DataHalls_;
  std::vector<std::uint32_t> Services_;
};

/// Returns the index of a value, which is appended if it is missing.
template <typename T>
std::size_t indexOrAppend(const T &Value, std::vector<T> &Values) {
  auto Known = std::find(Values.begin(), Values.end(), Value);
  if (Known != Values.end())
    return static_cast<std::size_t>(Known - Values.begin());
  Values.push_back(Value);
  return Values.size() - 1;
}

Json encodeChange(const UpstreamChange &Change, MonoTime Now,
                  ValueTable &Table) {
  if (!Change.Entry_)
    return Json::array({raw(Change.Incarnation_), Change.Revision_});
  const UpstreamEntry &E = *Change.Entry_;
  return Json::array({raw(Change.Incarnation_), Change.Revision_,
                      indexOrAppend(raw(E.Service_), Table.Services_),
                      encodeAddress(E.Address_),
                      indexOrAppend(E.DataHall_, Table.DataHalls_), E.Slots_,
                      E.Draining_, millisLeft(E.WarmAt_, Now), E.StartTimeMs_,
                      E.Part_});
}

UpstreamChange decodeChange(const Json &J, MonoTime Now,
                            const ValueTable &Table) {
  UpstreamChange Change;
  Change.Incarnation_ = static_cast<Incarnation>(J.at(0).get<std::uint64_t>());
  Change.Revision_ = J.at(1).get<Revision>();
  if (J.size() == RemovalFields)
    return Change;
  if (J.size() != EntryFields)
    throw std::invalid_argument("upstream change has a wrong number of fields");
  UpstreamEntry E;
  E.Incarnation_ = Change.Incarnation_;
  E.Service_ =
      static_cast<ServiceId>(Table.Services_.at(J.at(2).get<std::size_t>()));
  E.Address_ = decodeAddress(J.at(3));
  E.DataHall_ = Table.DataHalls_.at(J.at(4).get<std::size_t>());
  E.Slots_ = J.at(5).get<std::uint32_t>();
  E.Draining_ = J.at(6).get<bool>();
  E.WarmAt_ = Now + std::chrono::milliseconds(J.at(7).get<std::uint32_t>());
  E.StartTimeMs_ = J.at(8).get<std::uint64_t>();
  E.Part_ = J.at(9).get<std::uint8_t>();
  Change.Entry_ = E;
  return Change;
}

} // namespace

Endpoint decodeEndpoint(const Json &J) {
  Endpoint Parsed = parseEndpoint(J.get_ref<const std::string &>());
  if (Parsed.empty())
    throw std::invalid_argument("invalid address or port");
  return Parsed;
}

Json encodeChanges(const std::vector<UpstreamChange> &Changes, MonoTime Now) {
  ValueTable Table;
  Json Rows = Json::array();
  for (const UpstreamChange &Change : Changes)
    Rows.push_back(encodeChange(Change, Now, Table));
  return Json::array({Table.DataHalls_, Table.Services_, std::move(Rows)});
}

std::vector<UpstreamChange> decodeChanges(const Json &J, MonoTime Now) {
  ValueTable Table{J.at(0).get<std::vector<std::string>>(),
                   J.at(1).get<std::vector<std::uint32_t>>()};
  std::vector<UpstreamChange> Changes;
  for (const Json &Row : J.at(2))
    Changes.push_back(decodeChange(Row, Now, Table));
  return Changes;
}

} // namespace thymewall::detail

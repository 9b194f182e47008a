#include "thymewall/control.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <sodium.h>

namespace thymewall {

namespace {

using Json = nlohmann::json;

constexpr std::size_t TagSize = crypto_shorthash_siphashx24_BYTES;
constexpr std::size_t MaxSuccessors = 64;

enum class MessageType : std::uint8_t {
  Heartbeat = 1,
  DocumentRequest,
  Document,
  Succession,
  HeartbeatRequest
};

Json toJson(const Heartbeat &M) {
  Json Versions = Json::array();
  for (const DocumentVersion &V : M.Versions_)
    Versions.push_back({V.Version_, V.Digest_});
  Json Watchers = Json::array();
  for (const WatcherAge &W : M.Watchers_)
    Watchers.push_back(Json::array({raw(W.Watcher_), W.AgeMs_}));
  return {raw(MessageType::Heartbeat),
          M.Name_,
          formatEndpoint(M.Data_),
          raw(M.Incarnation_),
          M.Leaving_,
          Versions,
          Watchers,
          M.RefreshId_};
}

Json toJson(const HeartbeatRequest &M) {
  return {raw(MessageType::HeartbeatRequest), M.RefreshId_};
}

Json toJson(const DocumentRequest &M) {
  return {raw(MessageType::DocumentRequest), raw(M.Kind_)};
}

Json toJson(const DocumentMessage &M) {
  return {raw(MessageType::Document), raw(M.Kind_), M.Text_};
}

Json toJson(const SuccessionMessage &M) {
  Json Successors = Json::array();
  for (const Successor &S : M.Succession_.Successors_)
    Successors.push_back({formatEndpoint(S.Data_), raw(S.Incarnation_)});
  return {raw(MessageType::Succession), raw(M.Succession_.Home_),
          M.Succession_.Fence_.time_since_epoch().count(), Successors};
}

/// Thrown for fields out of range. The JSON library throws its own exceptions
/// for wrong types.
struct OutOfRange : std::exception {};

void require(bool Condition) {
  if (!Condition)
    throw OutOfRange();
}

Endpoint endpointFrom(const Json &Value) {
  Endpoint Where = parseEndpoint(Value.get_ref<const std::string &>());
  require(!Where.empty());
  return Where;
}

DocumentKind kindFrom(const Json &Value) {
  auto Number = Value.get<std::uint8_t>();
  require(Number < DocumentKindCount);
  return static_cast<DocumentKind>(Number);
}

ControlMessage heartbeatFrom(const Json &J) {
  Heartbeat M;
  M.Name_ = J.at(1).get<std::string>();
  M.Data_ = endpointFrom(J.at(2));
  M.Incarnation_ = static_cast<Incarnation>(J.at(3).get<std::uint64_t>());
  M.Leaving_ = J.at(4).get<bool>();
  for (std::size_t I = 0; I < DocumentKindCount; ++I)
    M.Versions_[I] = {J.at(5).at(I).at(0).get<Version>(),
                      J.at(5).at(I).at(1).get<std::uint64_t>()};
  require(J.at(6).is_array() && J.at(6).size() <= MaxWatcherAges);
  for (const Json &Item : J.at(6))
    M.Watchers_.push_back(
        {static_cast<BalancerId>(Item.at(0).get<std::uint32_t>()),
         Item.at(1).get<std::uint32_t>()});
  M.RefreshId_ = J.at(7).get<std::uint64_t>();
  return M;
}

ControlMessage successionFrom(const Json &J) {
  Succession S;
  S.Home_ = static_cast<Incarnation>(J.at(1).get<std::uint64_t>());
  S.Fence_ = WallTime(Micros(J.at(2).get<std::int64_t>()));
  const Json &Successors = J.at(3);
  require(Successors.is_array() && !Successors.empty() &&
          Successors.size() <= MaxSuccessors);
  for (const Json &Item : Successors)
    S.Successors_.push_back(
        {endpointFrom(Item.at(0)),
         static_cast<Incarnation>(Item.at(1).get<std::uint64_t>())});
  return SuccessionMessage{S};
}

ControlMessage fromJson(const Json &J) {
  switch (static_cast<MessageType>(J.at(0).get<std::uint8_t>())) {
  case MessageType::Heartbeat:
    return heartbeatFrom(J);
  case MessageType::DocumentRequest:
    return DocumentRequest{kindFrom(J.at(1))};
  case MessageType::Document:
    return DocumentMessage{kindFrom(J.at(1)), J.at(2).get<std::string>()};
  case MessageType::Succession:
    return successionFrom(J);
  case MessageType::HeartbeatRequest:
    return HeartbeatRequest{J.at(1).get<std::uint64_t>()};
  }
  throw OutOfRange();
}

void makeTag(const char *Data, std::size_t Size, const SecretKey &Secret,
             unsigned char *Tag) {
  crypto_shorthash_siphashx24(
      Tag, reinterpret_cast<const unsigned char *>(Data), Size, Secret.data());
}

/// Returns the balancers that are not leaving, by descending rendezvous score.
std::vector<Host> rankBalancers(const HostList &Hosts, std::uint64_t Salt) {
  std::vector<Host> Result;
  for (const Host &H : Hosts.Hosts_)
    if (H.Role_ == Host::Role::Balancer && !H.Leaving_)
      Result.push_back(H);
  auto Score = [Salt](const Host &H) {
    return hashPair(Salt, nameId(H.Name_));
  };
  std::sort(Result.begin(), Result.end(),
            [&](const Host &A, const Host &B) { return Score(A) > Score(B); });
  return Result;
}

} // namespace

std::string encodeControl(const ControlMessage &M, const SecretKey &Secret) {
  Json J = std::visit([](const auto &Typed) { return toJson(Typed); }, M);
  std::string Result(TagSize, '\0');
  Json::to_cbor(J, Result);
  makeTag(Result.data() + TagSize, Result.size() - TagSize, Secret,
          reinterpret_cast<unsigned char *>(Result.data()));
  return Result;
}

ErrorKind decodeControl(const std::string &Bytes,
                        const std::array<SecretKey, 2> &Keys,
                        ControlMessage &M) {
  if (Bytes.size() > MaxControlMessageBytes)
    return ErrorKind::Oversized;
  if (Bytes.size() <= TagSize)
    return ErrorKind::Malformed;
  bool TagMatches = false;
  for (const SecretKey &Secret : Keys) {
    unsigned char Tag[TagSize];
    makeTag(Bytes.data() + TagSize, Bytes.size() - TagSize, Secret, Tag);
    TagMatches = TagMatches || sodium_memcmp(Tag, Bytes.data(), TagSize) == 0;
  }
  if (!TagMatches)
    return ErrorKind::BadTag;
  try {
    M = fromJson(Json::from_cbor(Bytes.begin() + TagSize, Bytes.end()));
    return ErrorKind::None;
  } catch (const std::exception &) {
    return ErrorKind::Malformed;
  }
}

std::vector<Host> choosePeers(const HostList &Hosts, const std::string &Self,
                              const std::string &DataHall, std::size_t Limit) {
  std::vector<Host> SameHall;
  std::vector<Host> OtherHalls;
  for (Host &H : rankBalancers(Hosts, nameId(Self)))
    if (H.Name_ != Self)
      (H.DataHall_ == DataHall ? SameHall : OtherHalls).push_back(std::move(H));
  std::size_t OtherCount = std::min(OtherHalls.size(), (Limit + 1) / 2);
  std::size_t SameCount = std::min(SameHall.size(), Limit - OtherCount);
  OtherCount = std::min(OtherHalls.size(), Limit - SameCount);
  std::vector<Host> Result(SameHall.begin(),
                           SameHall.begin() + static_cast<long>(SameCount));
  Result.insert(Result.end(), OtherHalls.begin(),
                OtherHalls.begin() + static_cast<long>(OtherCount));
  return Result;
}

bool watchesPlatform(const HostList &Hosts, const std::string &Self,
                     const std::string &DataHall, std::size_t PerHall,
                     const std::vector<std::string> &Stale) {
  std::size_t Rank = 0;
  for (const Host &H : rankBalancers(Hosts, nameId(DataHall))) {
    if (H.Name_ == Self)
      return Rank < PerHall;
    bool Recent = std::find(Stale.begin(), Stale.end(), H.Name_) == Stale.end();
    if (H.DataHall_ == DataHall && Recent)
      ++Rank;
  }
  return true; // not listed yet
}

} // namespace thymewall

#include "thymewall/route.h"

#include "mechanism.h"

#include <cstring>
#include <sodium.h>

namespace thymewall {

bool operator==(const Route &A, const Route &B) {
  auto Fields = [](const Route &R) {
    return std::tie(R.Service_, R.Flow_, R.Upstream_, R.UpstreamAddress_,
                    R.UpstreamIncarnation_, R.PlacedVersion_, R.HomeAddress_,
                    R.HomeIncarnation_, R.Epoch_);
  };
  return Fields(A) == Fields(B);
}

namespace {

constexpr std::uint8_t LayoutVersion = 1;
constexpr std::size_t TagSize = crypto_shorthash_siphash24_BYTES;
constexpr std::size_t BodySize = 1 + 4 + 18 + 8 + 8 + 18 + 8 + 4;
constexpr std::size_t RouteSize = BodySize + TagSize;
constexpr std::size_t IdsSize = 4 + 8;
static_assert(RouteSize <= MaxRouteSize);
static_assert(crypto_shorthash_siphash24_KEYBYTES == sizeof(SecretKey));

/// Reads or writes big-endian fields in sequence.
template <typename Byte> class Cursor {
public:
  explicit Cursor(Byte *Position) : Position_(Position) {}
  template <typename T> void put(T Value) {
    for (std::size_t I = sizeof(T); I-- > 0;)
      *Position_++ = static_cast<std::uint8_t>(Value >> (8 * I));
  }
  void put(const Endpoint &Value) {
    std::memcpy(Position_, Value.Ip_.data(), Value.Ip_.size());
    Position_ += Value.Ip_.size();
    put(Value.Port_);
  }
  template <typename T> T get() {
    T Value = 0;
    for (std::size_t I = 0; I < sizeof(T); ++I)
      Value = static_cast<T>((Value << 8) | *Position_++);
    return Value;
  }
  Endpoint getEndpoint() {
    Endpoint Value;
    std::memcpy(Value.Ip_.data(), Position_, Value.Ip_.size());
    Position_ += Value.Ip_.size();
    Value.Port_ = get<std::uint16_t>();
    return Value;
  }

private:
  Byte *Position_;
};

/// Computes the tag over the body, the service and the flow. The service and
/// the flow are not part of the route; every reader knows them.
void makeTag(const std::uint8_t *Body, ServiceId Service, FlowId Flow,
             const SecretKey &Secret, std::uint8_t *Tag) {
  std::uint8_t Input[BodySize + IdsSize];
  std::memcpy(Input, Body, BodySize);
  Cursor<std::uint8_t> Ids(Input + BodySize);
  Ids.put(raw(Service));
  Ids.put(raw(Flow));
  crypto_shorthash_siphash24(Tag, Input, sizeof Input, Secret.data());
}

} // namespace

SignedRoute signRoute(const Route &R, const SecretKey &Secret) {
  SignedRoute Signed;
  Cursor<std::uint8_t> C(Signed.Bytes_.data());
  C.put(LayoutVersion);
  C.put(raw(R.Upstream_));
  C.put(R.UpstreamAddress_);
  C.put(raw(R.UpstreamIncarnation_));
  C.put(R.PlacedVersion_);
  C.put(R.HomeAddress_);
  C.put(raw(R.HomeIncarnation_));
  C.put(R.Epoch_);
  makeTag(Signed.Bytes_.data(), R.Service_, R.Flow_, Secret,
          Signed.Bytes_.data() + BodySize);
  Signed.Size_ = RouteSize;
  return Signed;
}

ErrorKind verifyRoute(Bytes Signed, const KeyPair &Keys, ServiceId Service,
                      FlowId Flow, Route &R) {
  if (Signed.Size_ != RouteSize || Signed.Data_[0] != LayoutVersion)
    return ErrorKind::ForgedRoute;
  bool TagMatches = false;
  for (const SecretKey &Secret : Keys) {
    std::uint8_t Tag[TagSize];
    makeTag(Signed.Data_, Service, Flow, Secret, Tag);
    TagMatches =
        TagMatches || sodium_memcmp(Tag, Signed.Data_ + BodySize, TagSize) == 0;
  }
  if (!TagMatches && detail::isEnabled(detail::Mechanism::RouteTag))
    return ErrorKind::ForgedRoute;
  Cursor<const std::uint8_t> C(Signed.Data_);
  C.get<std::uint8_t>();
  R.Service_ = Service;
  R.Flow_ = Flow;
  R.Upstream_ = static_cast<UpstreamId>(C.get<std::uint32_t>());
  R.UpstreamAddress_ = C.getEndpoint();
  R.UpstreamIncarnation_ = static_cast<Incarnation>(C.get<std::uint64_t>());
  R.PlacedVersion_ = C.get<std::uint64_t>();
  R.HomeAddress_ = C.getEndpoint();
  R.HomeIncarnation_ = static_cast<Incarnation>(C.get<std::uint64_t>());
  R.Epoch_ = C.get<std::uint32_t>();
  return ErrorKind::None;
}

} // namespace thymewall

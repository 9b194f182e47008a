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

constexpr std::uint8_t Layout = 1;
constexpr std::size_t TagSize = crypto_shorthash_siphash24_BYTES;
constexpr std::size_t BodySize = 1 + 4 + 18 + 8 + 8 + 18 + 8 + 4;
constexpr std::size_t RouteSize = BodySize + TagSize;
constexpr std::size_t NameSize = 4 + 8;
static_assert(RouteSize <= MaxRoute);
static_assert(crypto_shorthash_siphash24_KEYBYTES == sizeof(SecretKey));

/// Big-endian cursor over a fixed layout, for both directions.
template <typename Byte> class Cursor {
public:
  explicit Cursor(Byte *At) : At_(At) {}
  template <typename T> void put(T Value) {
    for (std::size_t I = sizeof(T); I-- > 0;)
      *At_++ = static_cast<std::uint8_t>(Value >> (8 * I));
  }
  void put(const Endpoint &Where) {
    std::memcpy(At_, Where.Ip_.data(), Where.Ip_.size());
    At_ += Where.Ip_.size();
    put(Where.Port_);
  }
  template <typename T> T get() {
    T Value = 0;
    for (std::size_t I = 0; I < sizeof(T); ++I)
      Value = static_cast<T>((Value << 8) | *At_++);
    return Value;
  }
  Endpoint getEndpoint() {
    Endpoint Where;
    std::memcpy(Where.Ip_.data(), At_, Where.Ip_.size());
    At_ += Where.Ip_.size();
    Where.Port_ = get<std::uint16_t>();
    return Where;
  }

private:
  Byte *At_;
};

/// The tag covers the body, the service and the flow; the last two are known
/// to every reader and so need not travel.
void makeTag(const std::uint8_t *Body, ServiceId Service, FlowId Flow,
             const SecretKey &Secret, std::uint8_t *Tag) {
  std::uint8_t Whole[BodySize + NameSize];
  std::memcpy(Whole, Body, BodySize);
  Cursor<std::uint8_t> Name(Whole + BodySize);
  Name.put(raw(Service));
  Name.put(raw(Flow));
  crypto_shorthash_siphash24(Tag, Whole, sizeof Whole, Secret.data());
}

} // namespace

SignedRoute signRoute(const Route &R, const SecretKey &Secret) {
  SignedRoute Sealed;
  Cursor<std::uint8_t> C(Sealed.Bytes_.data());
  C.put(Layout);
  C.put(raw(R.Upstream_));
  C.put(R.UpstreamAddress_);
  C.put(raw(R.UpstreamIncarnation_));
  C.put(R.PlacedVersion_);
  C.put(R.HomeAddress_);
  C.put(raw(R.HomeIncarnation_));
  C.put(R.Epoch_);
  makeTag(Sealed.Bytes_.data(), R.Service_, R.Flow_, Secret,
          Sealed.Bytes_.data() + BodySize);
  Sealed.Size_ = RouteSize;
  return Sealed;
}

ErrorKind verifyRoute(Bytes Sealed, const KeyPair &Keys, ServiceId Service,
                      FlowId Flow, Route &R) {
  if (Sealed.Size_ != RouteSize || Sealed.Data_[0] != Layout)
    return ErrorKind::ForgedRoute;
  bool Known = false;
  for (const SecretKey &Secret : Keys) {
    std::uint8_t Tag[TagSize];
    makeTag(Sealed.Data_, Service, Flow, Secret, Tag);
    Known = Known || sodium_memcmp(Tag, Sealed.Data_ + BodySize, TagSize) == 0;
  }
  if (!Known && detail::has(detail::Mechanism::RouteTag))
    return ErrorKind::ForgedRoute;
  Cursor<const std::uint8_t> C(Sealed.Data_);
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

#include "thymewall/route.h"

#include <doctest/doctest.h>

using namespace thymewall;

namespace {

Route sample() {
  Route R;
  R.Service_ = ServiceId{1};
  R.Flow_ = FlowId{2};
  R.Upstream_ = UpstreamId{3};
  R.UpstreamAddress_ = parseEndpoint("192.0.2.7:9000");
  R.UpstreamIncarnation_ = Incarnation{4};
  R.PlacedVersion_ = 5;
  R.HomeAddress_ = parseEndpoint("[2001:db8::1]:7100");
  R.HomeIncarnation_ = Incarnation{6};
  R.Epoch_ = 7;
  return R;
}

const SecretKey Old = {1};
const SecretKey New = {2};

} // namespace

TEST_CASE("a route is verified with the current and the previous key") {
  SignedRoute Signed = signRoute(sample(), Old);
  Route R;
  CHECK(verifyRoute(Signed.bytes(), {Old, Old}, ServiceId{1}, FlowId{2}, R) ==
        ErrorKind::None);
  CHECK(R == sample());
  CHECK(verifyRoute(Signed.bytes(), {New, Old}, ServiceId{1}, FlowId{2}, R) ==
        ErrorKind::None);
  CHECK(verifyRoute(Signed.bytes(), {New, New}, ServiceId{1}, FlowId{2}, R) ==
        ErrorKind::ForgedRoute);
}

TEST_CASE("a route of another service or flow is rejected") {
  SignedRoute Signed = signRoute(sample(), Old);
  Route R;
  CHECK(verifyRoute(Signed.bytes(), {Old, Old}, ServiceId{2}, FlowId{2}, R) ==
        ErrorKind::ForgedRoute);
  CHECK(verifyRoute(Signed.bytes(), {Old, Old}, ServiceId{1}, FlowId{3}, R) ==
        ErrorKind::ForgedRoute);
}

TEST_CASE("a route with a flipped bit or a shorter length is rejected") {
  SignedRoute Signed = signRoute(sample(), Old);
  Route R;
  for (std::size_t Bit = 0; Bit < Signed.Size_ * 8; ++Bit) {
    SignedRoute Forged = Signed;
    Forged.Bytes_[Bit / 8] ^= static_cast<std::uint8_t>(1 << (Bit % 8));
    CHECK(verifyRoute(Forged.bytes(), {Old, New}, ServiceId{1}, FlowId{2}, R) ==
          ErrorKind::ForgedRoute);
  }
  for (std::size_t Size = 0; Size < Signed.Size_; ++Size)
    CHECK(verifyRoute({Signed.Bytes_.data(), Size}, {Old, New}, ServiceId{1},
                      FlowId{2}, R) == ErrorKind::ForgedRoute);
}

#include "upstream-codec.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace thymewall;
using namespace thymewall::detail;

namespace {

const MonoTime Now{std::chrono::seconds(50)};

UpstreamChange listed(std::uint64_t Id) {
  UpstreamEntry E;
  E.Incarnation_ = Incarnation{0x7f3a91c200 + Id};
  E.StartTimeMs_ = 1772424720123 + Id;
  E.Service_ = ServiceId{0x9e3779b9};
  E.Address_ = Endpoint::v4(static_cast<std::uint32_t>(0x0a034000 + Id), 8241);
  E.DataHall_ = "ams-hall-" + std::string(1, static_cast<char>('a' + Id % 5));
  E.Slots_ = 2;
  E.WarmAt_ = Now;
  E.Part_ = static_cast<std::uint8_t>(Id);
  return {E.Incarnation_, 6000 + Id, E};
}

} // namespace

TEST_CASE("an upstream in a long list takes at most 40 bytes") {
  std::vector<UpstreamChange> Changes;
  for (std::uint64_t Id = 0; Id < 6000; ++Id)
    Changes.push_back(listed(Id));
  nlohmann::json J = encodeChanges(Changes, Now);
  CHECK(nlohmann::json::to_cbor(J).size() <= 40 * Changes.size());
  CHECK(decodeChanges(J, Now) == Changes);
}

TEST_CASE("corrupted changes are decoded or rejected by an exception") {
  std::vector<UpstreamChange> Changes = {
      listed(1), {Incarnation{9}, 7, std::nullopt}, listed(2)};
  auto Bytes = nlohmann::json::to_cbor(encodeChanges(Changes, Now));
  rc::check([&] {
    auto Damaged = Bytes;
    auto At = *rc::gen::inRange<std::size_t>(0, Damaged.size());
    Damaged[At] = *rc::gen::arbitrary<std::uint8_t>();
    try {
      decodeChanges(nlohmann::json::from_cbor(Damaged), Now);
    } catch (const std::exception &Error) {
      RC_ASSERT(Error.what() != nullptr);
    }
  });
}

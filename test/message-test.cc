#include "thymewall/message.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace thymewall;

namespace {

Message sample() {
  static const std::uint8_t RouteBytes[] = {1, 2, 3};
  static const std::uint8_t PayloadBytes[] = {9, 8, 7, 6};
  Message M;
  M.Kind_ = MessageKind::Answer;
  M.Service_ = ServiceId{7};
  M.Flow_ = FlowId{0xfedcba9876543210};
  M.Request_ = 70'000;
  M.Part_ = 2;
  M.Parts_ = 3;
  M.Flags_ = FlagRepeatable;
  M.Deadline_ = WallTime(Micros(1'800'000'000'000'000));
  M.Attempt_ = 99;
  M.Incarnation_ = Incarnation{5};
  M.Reason_ = ErrorKind::Overloaded;
  M.RetryAt_ = WallTime(Micros(12));
  M.OpenFlows_ = 4;
  M.Route_ = {RouteBytes, sizeof RouteBytes};
  M.Caller_ = parseEndpoint("192.0.2.1:4000");
  M.Payload_ = {PayloadBytes, sizeof PayloadBytes};
  return M;
}

SecretKey secret() { return {1, 2, 3}; }

} // namespace

TEST_CASE("decoding an encoded message gives the same message") {
  std::uint8_t Buffer[512];
  std::size_t Size = encode(sample(), Buffer, sizeof Buffer);
  REQUIRE(Size > 0);
  Message M;
  CHECK(decode(Buffer, Size, M) == ErrorKind::None);
  CHECK(M == sample());
}

TEST_CASE("encoding fails if the buffer is too small") {
  std::uint8_t Buffer[512];
  std::size_t Size = encode(sample(), Buffer, sizeof Buffer);
  for (std::size_t BufferSize = 0; BufferSize < Size; ++BufferSize)
    CHECK(encode(sample(), Buffer, BufferSize) == 0);
}

TEST_CASE("truncated, overlong and oversized datagrams are rejected") {
  std::uint8_t Buffer[4096] = {};
  std::size_t Size = encode(sample(), Buffer, sizeof Buffer);
  Message M;
  for (std::size_t Length = 0; Length < Size; ++Length)
    CHECK(decode(Buffer, Length, M) == ErrorKind::Malformed);
  CHECK(decode(Buffer, Size + 1, M) == ErrorKind::Malformed);
  CHECK(decode(Buffer, sizeof Buffer, M) == ErrorKind::Oversized);
}

TEST_CASE("part index beyond the number of parts is malformed") {
  Message Invalid = sample();
  Invalid.Part_ = 3;
  std::uint8_t Buffer[512];
  std::size_t Size = encode(Invalid, Buffer, sizeof Buffer);
  Message M;
  CHECK(decode(Buffer, Size, M) == ErrorKind::Malformed);
}

TEST_CASE(
    "decoders accept any bytes without a crash, and round-trip valid ones") {
  CHECK(rc::check("random and damaged bytes", [] {
    std::uint8_t Buffer[1024];
    std::size_t Size = encode(sample(), Buffer, sizeof Buffer);
    auto Damage = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, static_cast<int>(Size)),
                      rc::gen::inRange(0, 256)));
    for (auto [At, Value] : Damage)
      Buffer[At] = static_cast<std::uint8_t>(Value);
    Message M;
    if (decode(Buffer, Size, M) == ErrorKind::None) {
      std::uint8_t Again[1024];
      std::size_t Length = encode(M, Again, sizeof Again);
      Message Same;
      RC_ASSERT(decode(Again, Length, Same) == ErrorKind::None);
      RC_ASSERT(Same == M);
    }
    auto Random = *rc::gen::arbitrary<std::vector<std::uint8_t>>();
    decode(Random.data(), Random.size(), M);
    PeerDatagram D;
    decodePeer(Random.data(), Random.size(), {secret(), secret()}, D);
  }));
}

TEST_CASE("peer datagram is accepted under either key and no other") {
  std::uint8_t Buffer[1024];
  PeerDatagram D{PeerMessageKind::Delegated, sample()};
  std::size_t Size = encodePeer(D, secret(), Buffer, sizeof Buffer);
  PeerDatagram Read;
  CHECK(decodePeer(Buffer, Size, {secret(), SecretKey{}}, Read) ==
        ErrorKind::None);
  CHECK(decodePeer(Buffer, Size, {SecretKey{}, secret()}, Read) ==
        ErrorKind::None);
  CHECK(Read.Kind_ == PeerMessageKind::Delegated);
  CHECK(Read.Inner_ == sample());
  CHECK(decodePeer(Buffer, Size, {SecretKey{}, SecretKey{9}}, Read) ==
        ErrorKind::BadTag);
  Buffer[Size - 1] ^= 1;
  CHECK(decodePeer(Buffer, Size, {secret(), secret()}, Read) ==
        ErrorKind::BadTag);
}

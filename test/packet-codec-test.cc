#include "packet-codec.h"

#include <cstring>
#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace thymewall;
using namespace thymewall::platform;

namespace {

using Bytes = std::vector<std::uint8_t>;

/// The platform's example of an opening packet.
const Bytes OpeningBytes = {0xbb, 0x01, 0x07, 0x00, 0x40, 0x64, 0x01, 0x00,
                            0x12, 0xc6, 0x41, 0x9c, 0x00, 0x00, 0x44, 0x33,
                            0x22, 0x11, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00,
                            0x00, 0x00, 0x08, 0x00, 0xd5, 0xc3, 0xb2, 0xa1};
/// The platform's example of a reset, for the same flow.
const Bytes ResetBytes = {0x41, 0x9c, 0x01, 0x00, 0x12, 0xc6, 0x07, 0x00,
                          0x40, 0x64, 0xbb, 0x01, 0x00, 0x00, 0x00, 0x00,
                          0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00,
                          0x00, 0x00, 0x01, 0x00, 0x00, 0x00, 0x00, 0x00};

} // namespace

TEST_CASE("decodes the platform's example of an opening packet") {
  Packet P;
  REQUIRE(decodePacket(OpeningBytes.data(), OpeningBytes.size(), P));
  CHECK(P.Caller_ == parseEndpoint("100.64.0.7:40001"));
  CHECK(P.Service_ == parseEndpoint("198.18.0.1:443"));
  CHECK(P.Sequence_ == 0x11223344);
  CHECK(P.Opens_);
  CHECK_FALSE(P.Acknowledges_);
  CHECK_FALSE(P.Resets_);
}

TEST_CASE("encodes the platform's example of a reset") {
  std::uint8_t Buffer[HeaderSize];
  ResetFlow R{parseEndpoint("100.64.0.7:40001"),
              parseEndpoint("198.18.0.1:443"), 0, ErrorKind::UnknownAddress};
  REQUIRE(encodeReset(R, Buffer) == HeaderSize);
  CHECK(std::memcmp(Buffer, ResetBytes.data(), HeaderSize) == 0);
}

TEST_CASE("forwarding changes only the cookie of a packet") {
  Bytes Data = OpeningBytes;
  Data.insert(Data.end(), {1, 2, 3});
  Data[12] = 3; // length of the data
  std::uint8_t Buffer[HeaderSize + MaxPayload + PrefixSize];
  Forward F{{}, Incarnation{0x0102030405060708}, 0xa1b2c3d4};
  REQUIRE(encodeForward(F, Data.data(), Data.size(), Buffer) ==
          PrefixSize + Data.size());
  const std::uint8_t Prefix[] = {1, 2, 3, 4, 5, 6, 7, 8};
  CHECK(std::memcmp(Buffer, Prefix, PrefixSize) == 0);
  Bytes Sent(Buffer + PrefixSize, Buffer + PrefixSize + Data.size());
  const Bytes Cookie = {0xd4, 0xc3, 0xb2, 0xa1};
  CHECK(Bytes(Sent.begin() + 22, Sent.begin() + 26) == Cookie);
  std::copy_n(Data.begin() + 22, 4, Sent.begin() + 22);
  CHECK(Sent == Data);
}

TEST_CASE("decodes only packets whose size matches their header") {
  rc::check([] {
    auto Data = *rc::gen::container<Bytes>(rc::gen::arbitrary<std::uint8_t>());
    bool Exact = Data.size() >= HeaderSize &&
                 Data.size() <= HeaderSize + MaxPayload &&
                 Data[12] + 256U * Data[13] == Data.size() - HeaderSize;
    Packet P;
    RC_ASSERT(decodePacket(Data.data(), Data.size(), P) == Exact);
  });
  rc::check([] {
    Bytes Data = OpeningBytes;
    auto Extra = *rc::gen::inRange<std::size_t>(0, 2 * MaxPayload);
    Data.resize(HeaderSize + Extra);
    Data[12] = static_cast<std::uint8_t>(Extra);
    Data[13] = static_cast<std::uint8_t>(Extra >> 8);
    Packet P;
    RC_ASSERT(decodePacket(Data.data(), Data.size(), P) ==
              (Extra <= MaxPayload));
    Data.pop_back();
    RC_ASSERT(!decodePacket(Data.data(), Data.size(), P));
  });
}

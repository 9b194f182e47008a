/// \file
/// Factories of packets, routing tables and upstream changes for tests of the
/// packet balancer.
#ifndef THYMEWALL_TEST_PACKETS_H
#define THYMEWALL_TEST_PACKETS_H

#include "thymewall/packet-balancer.h"

#include <map>

namespace thymewall::test {

constexpr ServiceId IndexService{1};
constexpr ServiceId ArchiveService{2};
inline const Endpoint IndexAddress = Endpoint::v4(0xc6120001, 8443);
inline const Endpoint ArchiveAddress = Endpoint::v4(0xc6120002, 8443);

inline MonoTime at(std::chrono::milliseconds Time) {
  return MonoTime(std::chrono::seconds(100) + Time);
}

inline RoutingTablePtr
routingTable(Version V,
             const std::vector<std::pair<Endpoint, ServiceId>> &Routes) {
  auto Table = std::make_shared<RoutingTable>();
  Table->Version_ = V;
  for (const auto &[Where, Service] : Routes)
    Table->Addresses_[Where] = {{Service, 1}};
  return Table;
}

inline UpstreamChange publishedUpstream(std::uint64_t Id, ServiceId Service,
                                        bool Draining = false,
                                        std::uint32_t Address = 0,
                                        const std::string &DataHall = "") {
  UpstreamEntry E;
  E.Incarnation_ = Incarnation{Id};
  E.Service_ = Service;
  E.Address_ =
      Endpoint::v4(Address ? Address : 0x0a000000 + (Id & 0xffff), 9000);
  E.DataHall_ = DataHall;
  E.Slots_ = 2;
  E.Draining_ = Draining;
  return {E.Incarnation_, 1, E};
}

inline UpstreamChange removedUpstream(std::uint64_t Id) {
  return {Incarnation{Id}, 2, std::nullopt};
}

inline Packet openingPacket(std::uint16_t Port, std::uint32_t Copy = 0,
                            const Endpoint &To = IndexAddress) {
  Packet P;
  P.Caller_ = Endpoint::v4(0x64400007, Port);
  P.Service_ = To;
  P.Acknowledged_ = Copy;
  P.Opens_ = true;
  return P;
}

inline Packet flowPacket(std::uint16_t Port, Cookie FlowCookie,
                         std::uint32_t Acknowledged, std::uint16_t Data = 0,
                         const Endpoint &To = IndexAddress) {
  Packet P = openingPacket(Port, Acknowledged, To);
  P.Opens_ = false;
  P.Acknowledges_ = true;
  P.Cookie_ = FlowCookie;
  P.DataSize_ = Data;
  return P;
}

/// Returns a balancer with the upstreams 1 to 4 of the index service and 11 and
/// 12 of the archive service.
inline PacketBalancer makeBalancer() {
  PacketBalancer B = PacketBalancerBuilder().build();
  B.setRouting(at({}), routingTable(1, {{IndexAddress, IndexService},
                                        {ArchiveAddress, ArchiveService}}));
  B.applyUpstreams(at({}), {publishedUpstream(1, IndexService),
                            publishedUpstream(2, IndexService),
                            publishedUpstream(3, IndexService),
                            publishedUpstream(4, IndexService),
                            publishedUpstream(11, ArchiveService),
                            publishedUpstream(12, ArchiveService)});
  B.confirmUpTo(at({}));
  return B;
}

inline ErrorKind dropReason(const Verdict &V) {
  const auto *D = std::get_if<Dropped>(&V);
  return D ? D->Error_ : ErrorKind::None;
}

inline const Forward *asForward(const Verdict &V) {
  return std::get_if<Forward>(&V);
}

inline std::uint64_t upstreamOf(const Verdict &V) {
  const Forward *F = asForward(V);
  return F ? raw(F->Upstream_) : 0;
}

} // namespace thymewall::test

#endif

#include "peer-choice.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <numeric>
#include <rapidcheck.h>

using namespace thymewall;
using namespace thymewall::detail;

namespace {

std::vector<Member> fleet(std::size_t Count, std::size_t Halls) {
  std::vector<Member> Members;
  for (std::size_t I = 0; I < Count; ++I)
    Members.push_back(
        {"lb-" + std::to_string(I), "hall-" + std::to_string(I % Halls),
         Endpoint::v4(static_cast<std::uint32_t>(I + 1), 8166), 0});
  return Members;
}

/// Whether the outbound links of all members form a connected graph.
bool isConnected(const std::vector<Member> &Members, std::size_t RemoteLimit) {
  std::vector<std::size_t> Part(Members.size());
  std::iota(Part.begin(), Part.end(), 0U);
  auto ComponentOf = [&Part](std::size_t I) {
    while (Part[I] != I)
      I = Part[I];
    return I;
  };
  std::map<std::string, std::size_t> Index;
  for (std::size_t I = 0; I < Members.size(); ++I)
    Index[Members[I].Name_] = I;
  std::size_t Parts = Members.size();
  for (std::size_t I = 0; I < Members.size(); ++I) {
    std::vector<Member> Others = Members;
    Others.erase(Others.begin() + static_cast<long>(I));
    for (const Member &Peer : choosePeers(Others, Members[I], 3, RemoteLimit)) {
      std::size_t A = ComponentOf(I);
      std::size_t B = ComponentOf(Index[Peer.Name_]);
      Part[A] = B;
      Parts -= A == B ? 0 : 1;
    }
  }
  return Parts == 1;
}

} // namespace

TEST_CASE("a large fleet stays connected after the loss of a hall and a third "
          "of the rest") {
  rc::check([] {
    auto Halls = *rc::gen::inRange<std::size_t>(2, 7);
    auto Count = *rc::gen::inRange<std::size_t>(20 * Halls, 60 * Halls);
    std::vector<Member> Members = fleet(Count, Halls);
    RC_ASSERT(isConnected(Members, 1));
    auto Lost =
        "hall-" + std::to_string(*rc::gen::inRange<std::size_t>(0, Halls));
    auto Draw = *rc::gen::arbitrary<std::uint64_t>();
    Members.erase(
        std::remove_if(Members.begin(), Members.end(),
                       [&](const Member &M) {
                         auto Chance =
                             hashPair(Draw, M.Control_.Port_ + nameId(M.Name_));
                         return M.DataHall_ == Lost || Chance % 3 == 0;
                       }),
        Members.end());
    RC_ASSERT(isConnected(Members, 1));
  });
}

TEST_CASE("a hall with few members links to other halls instead") {
  std::vector<Member> Members = fleet(4, 4);
  Member Self = Members.back();
  Members.pop_back();
  CHECK(choosePeers(Members, Self, 3, 1).size() == 3);
}

TEST_CASE("links stay within the hall except for the remote ones") {
  std::vector<Member> Members = fleet(90, 3);
  Member Self = Members.back();
  Members.pop_back();
  for (std::size_t RemoteLimit : {1U, 2U}) {
    std::vector<Member> Peers = choosePeers(Members, Self, 3, RemoteLimit);
    auto Remote =
        std::count_if(Peers.begin(), Peers.end(), [&](const Member &M) {
          return M.DataHall_ != Self.DataHall_;
        });
    CHECK(static_cast<std::size_t>(Remote) == RemoteLimit);
  }
}

#include "thymewall/control.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <set>

using namespace thymewall;

namespace {

SecretKey secret() { return {1, 2, 3}; }

std::array<SecretKey, 2> keys() { return {secret(), secret()}; }

/// Returns balancers lb-0, lb-1, ... in \p Halls data halls.
HostList fleet(std::size_t Count, std::size_t Halls) {
  HostList L;
  for (std::size_t I = 0; I < Count; ++I) {
    Host H;
    H.Name_ = "lb-" + std::to_string(I);
    H.DataHall_ = "hall-" + std::to_string(I % Halls);
    L.Hosts_.push_back(H);
  }
  return L;
}

template <typename T> T roundTrip(const T &M) {
  ControlMessage Read;
  REQUIRE(decodeControl(encodeControl(M, secret()), keys(), Read) ==
          ErrorKind::None);
  return std::get<T>(Read);
}

} // namespace

TEST_CASE("control messages are decoded as they were encoded") {
  Heartbeat H;
  H.Name_ = "lb-1";
  H.Data_ = parseEndpoint("127.0.0.1:7100");
  H.Incarnation_ = Incarnation{9};
  H.Leaving_ = true;
  H.Versions_[0] = {5, 6};
  H.RefreshId_ = 3;
  H.Watchers_ = {{BalancerId{7}, 1500}};
  Heartbeat Read = roundTrip(H);
  CHECK(Read.Name_ == H.Name_);
  CHECK(Read.Data_ == H.Data_);
  CHECK(Read.Incarnation_ == H.Incarnation_);
  CHECK(Read.Leaving_);
  CHECK(Read.Versions_ == H.Versions_);
  CHECK(Read.RefreshId_ == 3U);
  REQUIRE(Read.Watchers_.size() == 1U);
  CHECK(Read.Watchers_[0].Watcher_ == BalancerId{7});
  CHECK(Read.Watchers_[0].AgeMs_ == 1500U);
  CHECK(roundTrip(DocumentRequest{DocumentKind::Hosts}).Kind_ ==
        DocumentKind::Hosts);
  CHECK(roundTrip(DocumentMessage{DocumentKind::Hosts, "text"}).Text_ ==
        "text");
  CHECK(roundTrip(HeartbeatRequest{8}).RefreshId_ == 8U);
  Succession S{Incarnation{1},
               WallTime(Micros(5)),
               {{parseEndpoint("127.0.0.1:1"), Incarnation{2}}}};
  CHECK(roundTrip(SuccessionMessage{S}).Succession_ == S);
}

TEST_CASE("corrupt control messages are rejected") {
  CHECK(rc::check("random bytes, and one bit flipped in a valid message", [] {
    ControlMessage M;
    auto Text = *rc::gen::arbitrary<std::string>();
    decodeControl(Text, keys(), M);
    std::string Encoded = encodeControl(DocumentMessage{{}, Text}, secret());
    auto At = *rc::gen::inRange<std::size_t>(0, Encoded.size());
    Encoded[At] = static_cast<char>(Encoded[At] ^ 1);
    RC_ASSERT(decodeControl(Encoded, keys(), M) == ErrorKind::BadTag);
  }));
  ControlMessage M;
  CHECK(decodeControl("short", keys(), M) == ErrorKind::Malformed);
}

TEST_CASE("a balancer has eight peers, half of them in its own data hall") {
  HostList L = fleet(120, 6);
  for (const Host &H : L.Hosts_) {
    std::size_t SameHall = 0;
    std::vector<Host> Peers = choosePeers(L, H.Name_, H.DataHall_, 8);
    CHECK(Peers.size() == 8U);
    for (const Host &P : Peers) {
      CHECK(P.Name_ != H.Name_);
      SameHall += P.DataHall_ == H.DataHall_;
    }
    CHECK(SameHall == 4U);
  }
}

TEST_CASE("a stale platform watcher is replaced in its data hall") {
  HostList L = fleet(120, 6);
  auto Watchers = [&](const std::vector<std::string> &Stale) {
    std::set<std::string> Names;
    for (const Host &H : L.Hosts_)
      if (watchesPlatform(L, H.Name_, H.DataHall_, 2, Stale))
        Names.insert(H.Name_);
    return Names;
  };
  std::set<std::string> First = Watchers({});
  CHECK(First.size() == 12U);
  std::string Gone = *First.begin();
  std::set<std::string> Second = Watchers({Gone});
  CHECK(Second.size() == 13U); // includes the stale watcher itself
  CHECK(watchesPlatform(L, "new", "hall-1", 2, {}));
}

TEST_CASE("a message reaches every balancer over at most six peer links") {
  HostList L = fleet(600, 15);
  std::map<std::string, std::set<std::string>> Links;
  for (const Host &H : L.Hosts_)
    for (const Host &P : choosePeers(L, H.Name_, H.DataHall_, 8)) {
      Links[H.Name_].insert(P.Name_);
      Links[P.Name_].insert(H.Name_);
    }
  std::set<std::string> Reached = {"lb-0"};
  std::size_t Hops = 0;
  for (; Reached.size() < L.Hosts_.size() && Hops < 20; ++Hops) {
    std::set<std::string> Next = Reached;
    for (const std::string &Name : Reached)
      Next.insert(Links[Name].begin(), Links[Name].end());
    Reached = Next;
  }
  CHECK(Reached.size() == L.Hosts_.size());
  CHECK(Hops <= 6U);
}

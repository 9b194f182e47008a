#include "member-list.h"

#include <doctest/doctest.h>
#include <set>

using namespace thymewall;
using namespace thymewall::detail;
using namespace std::chrono_literals;

namespace {

MonoTime at(std::chrono::milliseconds Time) { return MonoTime(100s + Time); }

Member member(const std::string &Name, std::uint32_t AgeMs = 0) {
  auto Number = static_cast<std::uint32_t>(Name.back() - 'a');
  return {Name, "hall", Endpoint::v4(Number, 7000), AgeMs};
}

} // namespace

TEST_CASE("a balancer is no member of its own list") {
  MemberList List("a");
  List.learn(at(0ms), member("a"));
  CHECK(List.size() == 0);
  List.learn(at(0ms), member("b"));
  CHECK(List.size() == 1);
}

TEST_CASE("a member is forgotten when nobody has heard of it for long") {
  MemberList List("a");
  List.learn(at(0ms), member("b"));
  List.learn(at(1s), member("b", 5000)); // older than what is known
  List.forgetSilent(at(20s));
  CHECK(List.size() == 1);
  List.learn(at(20s), member("c", 21'000)); // silent for too long already
  CHECK(List.size() == 1);
  List.forgetSilent(at(20001ms));
  CHECK(List.size() == 0);
}

TEST_CASE("a member that could not be reached is left alone for a while") {
  MemberList List("a");
  List.learn(at(0ms), member("b"));
  List.learn(at(0ms), member("c"));
  SUBCASE("by name") { List.avoid("b", at(2s)); }
  SUBCASE("by address") { List.avoid(member("b").Control_, at(2s)); }
  REQUIRE(List.reachable(at(1s)).size() == 1);
  CHECK(List.reachable(at(1s)).front().Name_ == "c");
  CHECK(List.reachable(at(2s)).size() == 2);
  List.remove("b");
  CHECK(List.reachable(at(2s)).size() == 1);
}

TEST_CASE("heartbeats tell of all members in turn, with their ages") {
  MemberList List("a");
  for (const char *Name : {"b", "c", "d", "e", "f"})
    List.learn(at(0ms), member(Name, 1000));
  std::multiset<std::string> Told;
  for (int Beat = 0; Beat < 5; ++Beat)
    for (const Member &M : List.inTurn(at(500ms), 2)) {
      Told.insert(M.Name_);
      CHECK(M.AgeMs_ == 1500);
    }
  for (const char *Name : {"b", "c", "d", "e", "f"})
    CHECK(Told.count(Name) == 2);
  CHECK(List.inTurn(at(500ms), 64).size() == 5);
}

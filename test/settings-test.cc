#include "thymewall/settings.h"

#include "thymewall/host-list.h"

#include <boost/leaf/handle_errors.hpp>
#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace thymewall;
using Json = nlohmann::json;

namespace {

const Json Valid = {{"name", "lb-1"},
                    {"data_hall", "h"},
                    {"callers", "127.0.0.1:1"},
                    {"data", "127.0.0.1:2"},
                    {"upstream", "127.0.0.1:3"},
                    {"control", "127.0.0.1:4"},
                    {"status", "127.0.0.1:5"},
                    {"platform", "127.0.0.1:6"},
                    {"keys", {"000102030405060708090a0b0c0d0e0f"}}};

template <typename Function>
Problems problemsOf(const std::string &Text, Function Parse) {
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<Problems> {
        BOOST_LEAF_CHECK(Parse(Text, "file"));
        return Problems{};
      },
      [](const Problems &Found) { return Found; },
      [] {
        return Problems{{"", "", "unexpected"}};
      });
}

std::string firstKey(const char *Key, const Json &Value) {
  Json Changed = Valid;
  Changed[Key] = Value;
  Problems Found = problemsOf(Changed.dump(), parseSettings);
  return Found.empty() ? "" : Found.front().Key_;
}

} // namespace

TEST_CASE("valid settings are parsed, and a single key is used for both") {
  Settings S = boost::leaf::try_handle_all(
      [&] { return parseSettings(Valid.dump(), "file"); },
      [] { return Settings(); });
  CHECK(S.Name_ == "lb-1");
  CHECK(S.Keys_[0] == S.Keys_[1]);
  CHECK(S.Keys_[0][15] == 15);
}

TEST_CASE("each invalid setting is reported with its key") {
  CHECK(firstKey("name", 5) == "name");
  CHECK(firstKey("data", "localhost:1") == "data");
  CHECK(firstKey("keys", Json::array()) == "keys");
  CHECK(firstKey("keys", {"00"}) == "keys[0]");
  CHECK(firstKey("keys", {Valid["keys"][0], "zz"}) == "keys[1]");
  CHECK(firstKey("peer_links", 0) == "peer_links");
  CHECK(firstKey("seeds", {"x"}) == "seeds[0]");
  CHECK(firstKey("color", 1) == "color");
}

TEST_CASE("invalid settings of thymewall-ctl are reported with their key") {
  auto First = [](const char *Text) {
    Problems Found = problemsOf(Text, parseCtlSettings);
    return Found.empty() ? "" : Found.front().Key_;
  };
  CHECK(First(R"({"balancers": ["127.0.0.1:7300"]})").empty());
  CHECK(First(R"({"balancers": ["127.0.0.1:7300", "x"]})") == "balancers[1]");
  CHECK(First(R"({"balancer": []})") == "balancers");
}

TEST_CASE("each invalid host is reported with its key") {
  auto First = [](const std::string &Host) {
    Problems Found =
        problemsOf(R"({"version": 1, "hosts": [)" + Host + "]}", parseHostList);
    return Found.empty() ? "" : Found.front().Key_;
  };
  CHECK(First(R"({"name": "u", "role": "upstream", "state": "live"})").empty());
  CHECK(First(R"({"name": "u", "role": "x", "state": "live"})") ==
        "hosts[0].role");
  CHECK(First(R"({"name": "u", "role": "upstream", "state": "up"})") ==
        "hosts[0].state");
  CHECK(First(R"({"name": "b", "role": "balancer", "state": "live",
                  "data_hall": "h", "data": "1.2.3.4:5"})") ==
        "hosts[0].control");
}

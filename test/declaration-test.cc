#include "thymewall/declaration.h"

#include "thymewall/time-zone.h"

#include <boost/leaf/handle_errors.hpp>
#include <doctest/doctest.h>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

using namespace thymewall;
using Json = nlohmann::json;

namespace {

const std::string Valid = R"({
 "version": 3,
 "services": [{"name": "index", "port": 7001}, {"name": "archive", "port": 7002}],
 "upstreams": [
  {"name": "a", "address": "10.0.0.1:9000", "data_hall": "h1", "labels": {"role": "index"}},
  {"name": "b", "address": "10.0.0.2:9000", "data_hall": "h1", "labels": {"role": "archive"}}],
 "selectors": [
  {"service": "index", "terms": [{"key": "role", "op": "in", "values": ["index"]}]},
  {"service": "archive", "terms": [{"key": "role", "op": "in", "values": ["archive"]}]}]})";

Problems problemsOf(const std::string &Text) {
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<Problems> {
        BOOST_LEAF_CHECK(parseDeclaration(Text, "doc.json", timeZoneClock()));
        return Problems{};
      },
      [](const Problems &Found) { return Found; },
      [] {
        return Problems{{"", "", "unexpected"}};
      });
}

DeclarationPtr parse(const std::string &Text) {
  return boost::leaf::try_handle_all(
      [&]() { return parseDeclaration(Text, "doc.json", timeZoneClock()); },
      [] { return DeclarationPtr(); });
}

/// Returns the valid document with one value replaced.
std::string with(const char *Pointer, const Json &Value) {
  Json Root = Json::parse(Valid);
  Root[Json::json_pointer(Pointer)] = Value;
  return Root.dump();
}

WallTime at(int Day, int Hour, int Minute) {
  // 2026-12-06 is a Sunday; times are UTC.
  constexpr std::int64_t Sunday = 1'796'515'200;
  return WallTime(
      std::chrono::seconds(Sunday + Day * 86'400 + Hour * 3600 + Minute * 60));
}

std::string withWindow(const std::string &Window) {
  return with("/selectors/0/window", Json::parse(Window));
}

} // namespace

TEST_CASE("a valid document is parsed") {
  DeclarationPtr D = parse(Valid);
  REQUIRE(D);
  CHECK(D->Version_ == 3U);
  CHECK(D->Services_.size() == 2U);
  CHECK(D->Services_[0].DefaultTimeout_ == std::chrono::seconds(2));
  CHECK(formatEndpoint(D->Upstreams_[1].Address_) == "10.0.0.2:9000");
}

TEST_CASE("each invalid value is reported with its key") {
  struct InvalidCase {
    const char *Pointer_;
    Json Value_;
    const char *Key_;
  };
  const std::vector<InvalidCase> All = {
      {"/version", 0, "version"},
      {"/version", "3", "version"},
      {"/version", 1.5, "version"},
      {"/verison", 3, "verison"},
      {"/services", 7, "services"},
      {"/services/0/port", 0, "services[0].port"},
      {"/services/0/port", 70'000, "services[0].port"},
      {"/services/1/port", 7001, "services[1].port"},
      {"/services/1/name", "index", "services[1].name"},
      {"/services/0/name", "", "services[0].name"},
      {"/services/0/deadline_ms", 0, "services[0].deadline_ms"},
      {"/services/0/retry_budget", 2, "services[0].retry_budget"},
      {"/upstreams/0/address", "example.org:80", "upstreams[0].address"},
      {"/upstreams/0/address", "10.0.0.2:9000", "upstreams[1].address"},
      {"/upstreams/0/slots", -1, "upstreams[0].slots"},
      {"/upstreams/0/labels/role", 5, "upstreams[0].labels.role"},
      {"/upstreams/0/remembers_requests", 1, "upstreams[0].remembers_requests"},
      {"/upstreams/1", 5, "upstreams[1]"},
      {"/selectors/0/service", "indexx", "selectors[0].service"},
      {"/selectors/0/terms", Json::array(), "selectors[0].terms"},
      {"/selectors/0/terms/0/op", "=", "selectors[0].terms[0].op"},
      {"/selectors/0/terms/0/values", Json::array(),
       "selectors[0].terms[0].values"},
      {"/selectors/0/window",
       {{"from", "08:00"}, {"to", "18:00"}, {"zone", "Europe/Amsterdm"}},
       "selectors[0].window.zone"},
      {"/selectors/0/window",
       {{"from", "8:00"}, {"to", "18:00"}, {"zone", "Europe/London"}},
       "selectors[0].window.from"},
      {"/selectors/0/window",
       {{"from", "08:00"}, {"to", "08:00"}, {"zone", "Europe/London"}},
       "selectors[0].window.to"},
      {"/selectors/0/window",
       {{"days", {"monday"}},
        {"from", "08:00"},
        {"to", "18:00"},
        {"zone", "Europe/London"}},
       "selectors[0].window.days"},
  };
  for (const InvalidCase &B : All) {
    Problems Found = problemsOf(with(B.Pointer_, B.Value_));
    CAPTURE(B.Key_);
    REQUIRE(!Found.empty());
    bool Reported = false;
    for (const Problem &P : Found)
      Reported = Reported || (P.Key_ == B.Key_ && P.File_ == "doc.json" &&
                              !P.Reason_.empty());
    CHECK(Reported);
  }
  CHECK(problemsOf("{").front().Key_ == "(document)");
  CHECK(problemsOf(std::string(MaxDocumentBytes + 1, ' ')).front().Key_ ==
        "(document)");
}

TEST_CASE("all problems of a document are reported together") {
  Json Root = Json::parse(Valid);
  Root["version"] = 0;
  Root["services"][0]["port"] = 0;
  Root["extra"] = 1;
  CHECK(problemsOf(Root.dump()).size() == 3U);
}

TEST_CASE("documents of one version are ordered by their digest") {
  DeclarationPtr A = parse(Valid);
  DeclarationPtr B = parse(with("/services/0/port", 7009));
  CHECK(supersedes(*A, *B) != supersedes(*B, *A));
  CHECK(!supersedes(*A, *A));
}

TEST_CASE("selector terms match labels") {
  Labels L = {{"role", "index"}};
  CHECK(matches({"role", Term::Operator::In, {"x", "index"}}, L));
  CHECK(!matches({"role", Term::Operator::NotIn, {"index"}}, L));
  CHECK(matches({"zone", Term::Operator::NotIn, {"x"}}, L));
  CHECK(matches({"role", Term::Operator::Exists, {}}, L));
  CHECK(matches({"zone", Term::Operator::Absent, {}}, L));
}

TEST_CASE("a window over midnight belongs to the day on which it starts") {
  Window W;
  W.Days_ = 1 << 5; // Friday
  W.FromMinute_ = 22 * 60;
  W.ToMinute_ = 2 * 60;
  CHECK(contains(W, {5, 23 * 60}));
  CHECK(contains(W, {6, 60}));
  CHECK(!contains(W, {6, 23 * 60}));
  CHECK(!contains(W, {5, 60}));
}

TEST_CASE("a window follows daylight saving time") {
  DeclarationPtr D = parse(withWindow(
      R"({"from": "08:00", "to": "18:00", "zone": "Europe/Amsterdam"})"));
  REQUIRE(D);
  auto Serves = [&](WallTime When) {
    return selectedUpstreams(*D, D->Services_[0], timeZoneClock(), When)
               .size() == 1U;
  };
  // In winter 08:00 is 07:00 UTC; in July (150 days before) it is 06:00 UTC.
  CHECK(!Serves(at(0, 6, 59)));
  CHECK(Serves(at(0, 7, 0)));
  CHECK(!Serves(at(-150, 5, 59)));
  CHECK(Serves(at(-150, 6, 0)));
}

TEST_CASE(
    "explain returns the first reason, or nothing for eligible upstreams") {
  DeclarationPtr D =
      parse(withWindow(R"({"from": "08:00", "to": "18:00", "zone": "UTC"})"));
  REQUIRE(D);
  const Service &Index = D->Services_[0];
  WallTime Noon = at(0, 12, 0);
  CHECK(explain(*D, Index, D->Upstreams_[0], timeZoneClock(), Noon).empty());
  CHECK(explain(*D, Index, D->Upstreams_[1], timeZoneClock(), Noon) ==
        "label \"role\" does not match");
  CHECK(explain(*D, Index, D->Upstreams_[0], timeZoneClock(), at(0, 19, 0)) ==
        "outside the selector's window");
}

TEST_CASE("checkWeek reports services without upstreams and shared upstreams") {
  DeclarationPtr WithGap =
      parse(withWindow(R"({"from": "08:00", "to": "18:00", "zone": "UTC"})"));
  Problems Found = checkWeek(*WithGap, "f", timeZoneClock(), at(0, 12, 0));
  REQUIRE(Found.size() == 1U);
  CHECK(Found[0].Key_ == "services.index");
  CHECK(Found[0].Reason_ == "has no upstream from 2026-12-06T18:00Z");
  DeclarationPtr Shared =
      parse(with("/selectors/1/terms/0/values", {"archive", "index"}));
  Found = checkWeek(*Shared, "f", timeZoneClock(), at(0, 12, 0));
  REQUIRE(Found.size() == 1U);
  CHECK(Found[0].Key_ == "upstreams.a");
  CHECK(checkWeek(*parse(Valid), "f", timeZoneClock(), at(0, 0, 0)).empty());
}

TEST_CASE("the example declarations are valid") {
  for (const char *Name : {"amsterdam", "harrowgate"}) {
    std::ifstream In(std::string(EXAMPLES) + "/" + Name + "/declaration.json");
    std::stringstream Text;
    Text << In.rdbuf();
    DeclarationPtr D = parse(Text.str());
    REQUIRE(D);
    CHECK(checkWeek(*D, Name, timeZoneClock(), at(0, 0, 0)).empty());
    WallTime When = at(0, 0, 0);
    CHECK(
        selectedUpstreams(*D, D->Services_[0], timeZoneClock(), When).size() ==
        14U);
    CHECK(
        selectedUpstreams(*D, D->Services_[1], timeZoneClock(), When).size() ==
        4U);
  }
}

TEST_CASE("evacuated data halls are validated and have no eligible upstreams") {
  DeclarationPtr D = parse(with("/evacuated_data_halls", Json::array({"h1"})));
  REQUIRE(D);
  const Service &Index = D->Services_[0];
  CHECK(selectedUpstreams(*D, Index, timeZoneClock(), at(0, 12, 0)).empty());
  CHECK(explain(*D, Index, D->Upstreams_[0], timeZoneClock(), at(0, 12, 0)) ==
        "data hall \"h1\" is evacuated");
  Problems Repeated =
      problemsOf(with("/evacuated_data_halls", Json::array({"h1", "h1"})));
  REQUIRE(Repeated.size() == 1);
  CHECK(Repeated[0].Key_ == "evacuated_data_halls[1]");
  Problems Number = problemsOf(with("/evacuated_data_halls", Json::array({7})));
  REQUIRE(Number.size() == 1);
  CHECK(Number[0].Reason_ == "must be the name of a data hall");
  DeclarationPtr Unknown =
      parse(with("/evacuated_data_halls", Json::array({"h9"})));
  REQUIRE(Unknown);
  Problems Found =
      checkWeek(*Unknown, "doc.json", timeZoneClock(), at(0, 0, 0));
  REQUIRE(Found.size() == 1);
  CHECK(Found[0].Key_ == "evacuated_data_halls");
}

// Lists and watches of the platform's store, read over HTTP from a stand-in.
#include "paged-store.h"

#include <doctest/doctest.h>

using namespace thymewall;
using namespace thymewall::platform;
using namespace thymewall::test;

namespace {

using Kind = ConfigRequest::Kind;
using Outcome = ConfigResponse::Outcome;

/// Returns the incarnations of a response's upstreams, in order.
std::vector<std::uint64_t> upstreamsOf(const ConfigResponse &Response) {
  std::vector<std::uint64_t> Result;
  for (const UpstreamChange &Change : Response.Batch_.Changes_)
    if (Change.Entry_)
      Result.push_back(raw(Change.Incarnation_));
  return Result;
}

using Upstreams = std::vector<std::uint64_t>;

} // namespace

// A page that starts after another writer's key must not end or repeat the
// list.
TEST_CASE("a list is complete whatever characters its keys contain") {
  std::vector<std::string> Keys = {"servers/other entry 0",
                                   "servers/a&after=z",
                                   "servers/a+b",
                                   "servers/a#b",
                                   "servers/a%20b",
                                   "servers/a%",
                                   "servers/a=b",
                                   "servers/a?b",
                                   "servers/a b HTTP/1.1",
                                   "servers/a\r\n\r\nGET ",
                                   "servers/a\nHost: x",
                                   "servers/\t\x01\x7f",
                                   "servers/\"\\/",
                                   "servers/k\u00f6nig",
                                   "servers/\U0001f600",
                                   "servers/",
                                   "a b",
                                   "~ ~",
                                   "op/config ",
                                   "op/config&path-prefix=x"};
  Keys.push_back(std::string("servers/a\0b", 11));
  Keys.push_back("servers/" + std::string(192, ' '));
  for (Kind Which : {Kind::StaleList, Kind::List})
    for (std::size_t PageSize : {1U, 2U, 7U}) {
      PagedStore Store;
      Store.setPageSize(PageSize);
      Store.put("op/config", routingDocument());
      for (const std::string &Key : Keys)
        Store.put(Key, "another writer's");
      Store.putUpstream("servers/i-00000001");
      Store.putUpstream("servers/i-ff000002");
      ConfigResponse Response = Store.call(Which);
      CAPTURE(PageSize);
      CAPTURE(Response.Reason_);
      CHECK(Response.Outcome_ ==
            (Which == Kind::List ? Outcome::Done : Outcome::Stale));
      CHECK(Response.Routing_);
      CHECK(upstreamsOf(Response) == Upstreams{1, 0xff000002});
    }
}

namespace {

/// Responds to lists like a store whose page can't be decoded if it contains a
/// given key.
PagedStore::Fault brokenAt(const PagedStore &Store, const std::string &Key) {
  return [&Store, Key](const std::string &Path,
                       const PagedStore::Query &Parameters)
             -> std::optional<detail::HttpPage> {
    detail::HttpPage Page = Store.page(Parameters);
    bool Broken = Path == "/thymewall/kv-range" &&
                  Page.Body_.find('"' + Key + '"') != std::string::npos;
    if (!Broken)
      return std::nullopt;
    Page.Body_ = "{\"items\":[{\"key-file\":\"\xff";
    return Page;
  };
}

/// Publishes a configuration and upstreams in the parts 0, 0x10 ... 0xf0.
void putOnePerDigit(PagedStore &Store) {
  Store.put("op/config", routingDocument());
  for (char Digit : std::string("0123456789abcdef"))
    Store.putUpstream(std::string("servers/i-") + Digit + "0000001");
}

} // namespace

// Otherwise no balancer of a fleet that starts ever becomes ready.
TEST_CASE(
    "a page that can't be read costs only the part of the list it is in") {
  for (const char *Key :
       {"a", "op/config2", "op/other", "op/evacuate/x", "servers/", "servers/a",
        "servers/i-", "servers/i-7", "servers/j", "z"})
    for (std::size_t PageSize : {1U, 4U, 500U}) {
      PagedStore Store;
      Store.setPageSize(PageSize);
      putOnePerDigit(Store);
      Store.put(Key, "another writer's");
      Store.setFault(brokenAt(Store, Key));
      ConfigResponse Response = Store.call(Kind::List);
      INFO("key: ", std::string(Key), ", page size: ", PageSize);
      CHECK(Response.Outcome_ == Outcome::Done);
      bool Configured = Response.Routing_ != nullptr;
      CHECK(Configured);
      CHECK(upstreamsOf(Response).size() == 16);
      CHECK(Response.Batch_.UnchangedParts_.none());
      CHECK(Response.UnreadablePages_ > 0);
      CHECK(Store.targets().size() < 64);
    }
}

TEST_CASE("unreadable keys in several parts in a row cost these parts only") {
  PagedStore Store;
  putOnePerDigit(Store);
  // Parts 0x60 to 0x77; two of them have an upstream.
  Store.setFault([&](const std::string &Path, const PagedStore::Query &Q)
                     -> std::optional<detail::HttpPage> {
    const std::string &Prefix =
        Q.count("path-prefix") != 0 ? Q.at("path-prefix") : ConfigurationKey;
    bool Within = Prefix.size() == 12 && Prefix >= "servers/i-60" &&
                  Prefix <= "servers/i-77";
    bool Above =
        Prefix.size() < 12 &&
        (std::string("servers/i-60").compare(0, Prefix.size(), Prefix) == 0 ||
         Prefix == "servers/i-7");
    if (Path != "/thymewall/kv-range" || !(Within || Above))
      return std::nullopt;
    return detail::HttpPage{200, "application/json", "{"};
  });
  ConfigResponse Response = Store.call(Kind::List);
  CHECK(Response.Outcome_ == Outcome::Done);
  CHECK(Response.Batch_.UnchangedParts_.count() == 24);
  CHECK(upstreamsOf(Response).size() == 14);
}

TEST_CASE("upstreams of a part that can't be read are not taken for removed") {
  PagedStore Store;
  putOnePerDigit(Store);
  Store.put("servers/i-70ff", "another writer's");
  Store.setFault(brokenAt(Store, "servers/i-70ff"));
  ConfigResponse Response = Store.call(Kind::List);
  CHECK(Response.Outcome_ == Outcome::Done);
  CHECK(upstreamsOf(Response).size() == 15);
  CHECK(Response.Batch_.IsSnapshot_);
  CHECK(Response.Batch_.UnchangedParts_ == ListParts{}.set(0x70));
  CHECK(Response.Evacuations_.IsSnapshot_);
}

TEST_CASE("evacuations that can't be read are not taken for ended") {
  PagedStore Store;
  putOnePerDigit(Store);
  Store.put("op/evacuate/hall", "");
  Store.setFault(brokenAt(Store, "op/evacuate/hall"));
  ConfigResponse Response = Store.call(Kind::List);
  CHECK(Response.Outcome_ == Outcome::Done);
  CHECK_FALSE(Response.Evacuations_.IsSnapshot_);
  CHECK(upstreamsOf(Response).size() == 16);
}

TEST_CASE("a later page that the store can't answer costs no other page") {
  for (unsigned Status : {400U, 404U, 500U}) {
    PagedStore Store;
    Store.setPageSize(4);
    putOnePerDigit(Store);
    Store.setFault(
        [&](const std::string &,
            const PagedStore::Query &Q) -> std::optional<detail::HttpPage> {
          if (Q.count("after") == 0 || Q.at("path-prefix") == "servers/i-")
            return std::nullopt;
          return detail::HttpPage{Status, "text/plain", ""};
        });
    ConfigResponse Response = Store.call(Kind::List);
    CHECK(Response.Outcome_ == Outcome::Done);
    CHECK(upstreamsOf(Response).size() == 16);
  }
}

// A store that misreads the start of a page must not keep a reader busy.
TEST_CASE("pages that don't move forward end the read") {
  PagedStore Store;
  Store.setPageSize(4);
  putOnePerDigit(Store);
  Store.setFault(
      [&](const std::string &,
          const PagedStore::Query &) -> std::optional<detail::HttpPage> {
        return Store.page({});
      });
  ConfigResponse Response = Store.call(Kind::List);
  CHECK(Response.Outcome_ == Outcome::Unreadable);
  CHECK(Response.Routing_);
  CHECK(Store.targets().size() < 40);
}

TEST_CASE("a page without any readable key does not start the list again") {
  PagedStore Store;
  Store.setPageSize(4);
  putOnePerDigit(Store);
  Store.setFault(
      [&](const std::string &,
          const PagedStore::Query &Q) -> std::optional<detail::HttpPage> {
        if (Q.count("after") == 0 || !Q.at("path-prefix").empty())
          return std::nullopt;
        Json Page = {{"items", {{{"key-file", 5}, {"revision", 1}}}},
                     {"has-more", true},
                     {"store-revision", Store.revision()}};
        return detail::HttpPage{200, "application/json", Page.dump()};
      });
  ConfigResponse Response = Store.call(Kind::List);
  CHECK(Response.Outcome_ == Outcome::Done);
  CHECK(upstreamsOf(Response).size() == 16);
}

TEST_CASE("a store that answers nothing readable is called a few times only") {
  PagedStore Store;
  putOnePerDigit(Store);
  Store.setFault(
      [&](const std::string &,
          const PagedStore::Query &) -> std::optional<detail::HttpPage> {
        return detail::HttpPage{200, "text/html", "<html>"};
      });
  for (Kind Which : {Kind::List, Kind::StaleList}) {
    std::size_t Before = Store.targets().size();
    CHECK(Store.call(Which).Outcome_ == Outcome::Unreadable);
    CHECK(Store.targets().size() - Before <= 9);
  }
}

// A fleet whose lists fail at a late page must serve by the earlier ones.
TEST_CASE("a list that fails has what was read before, not as a snapshot") {
  for (Kind Which : {Kind::List, Kind::StaleList}) {
    PagedStore Store;
    Store.setPageSize(4);
    putOnePerDigit(Store);
    Store.setFault(
        [&](const std::string &,
            const PagedStore::Query &Q) -> std::optional<detail::HttpPage> {
          if (Q.count("after") == 0 || Q.at("after") < "servers/i-6")
            return std::nullopt;
          return detail::HttpPage{503, "text/plain", ""};
        });
    ConfigResponse Response = Store.call(Which);
    CHECK(Response.Outcome_ == Outcome::Refused);
    CHECK(Response.Routing_);
    CHECK(upstreamsOf(Response).size() == 7);
    CHECK_FALSE(Response.Batch_.IsSnapshot_);
    CHECK(Response.Batch_.Through_ == 0);
    CHECK_FALSE(Response.Evacuations_.IsSnapshot_);
    CHECK_FALSE(Response.Parts_);
  }
}

// Entries of another writer whose sum is longer than any response that is
// accepted must not keep the fleet from following.
TEST_CASE("a watch that is too long or can't be decoded is told from a service "
          "that is away") {
  PagedStore Store;
  putOnePerDigit(Store);
  for (int I = 0; I < 9; ++I)
    Store.put("servers/other-" + std::to_string(I), std::string(1 << 20, 'x'));
  SUBCASE("too long") {}
  SUBCASE("not JSON") {
    Store.setFault(
        [&](const std::string &Path,
            const PagedStore::Query &) -> std::optional<detail::HttpPage> {
          if (Path == "/thymewall/kv-watch")
            return detail::HttpPage{200, "application/json", "{\"events\":["};
          return std::nullopt;
        });
  }
  ConfigResponse Watch = Store.call(Kind::Watch);
  CHECK(Watch.Outcome_ == Outcome::Unreadable);
  CHECK_FALSE(Watch.FailingSince_);
  Store.setPageSize(2); // as pages are bounded in bytes
  ConfigResponse List = Store.call(Kind::List);
  CHECK(List.Outcome_ == Outcome::Done);
  CHECK(List.Batch_.Through_ == Store.revision());
  CHECK(upstreamsOf(List).size() == 16);
  Store.setFault(nullptr);
  ConfigResponse Next = Store.call(Kind::Watch, List.Batch_.Through_);
  CHECK(Next.Outcome_ == Outcome::Done);
}

TEST_CASE("errors of the store are refusals, but a watch may be too long for "
          "it") {
  struct Case {
    unsigned Status_;
    Outcome Watch_;
  };
  for (const Case &C : {Case{429, Outcome::Refused},
                        {503, Outcome::Refused},
                        {410, Outcome::HistoryGone},
                        {413, Outcome::Unreadable},
                        {500, Outcome::Unreadable}}) {
    PagedStore Store;
    Store.setFault(
        [&](const std::string &,
            const PagedStore::Query &) -> std::optional<detail::HttpPage> {
          return detail::HttpPage{C.Status_, "text/plain", ""};
        });
    CAPTURE(C.Status_);
    ConfigResponse Watch = Store.call(Kind::Watch);
    CHECK(Watch.Outcome_ == C.Watch_);
    CHECK(Watch.FailingSince_.has_value() == (C.Status_ != 410));
    if (C.Status_ != 410)
      CHECK(Store.call(Kind::List).Outcome_ == Outcome::Refused);
  }
}

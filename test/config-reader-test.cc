#include "thymewall/config-reader.h"

#include <doctest/doctest.h>

using namespace thymewall;
using namespace std::chrono_literals;

namespace {

using Kind = ConfigRequest::Kind;
using Outcome = ConfigResponse::Outcome;

MonoTime at(std::chrono::milliseconds Time) { return MonoTime(10s + Time); }

ConfigResponse response(Outcome What, Revision Through = 0) {
  ConfigResponse Result;
  Result.Outcome_ = What;
  Result.Batch_.Through_ = Through;
  if (What == Outcome::Failed)
    Result.FailingSince_ = at(0ms);
  return Result;
}

/// The result of a call on an earlier connection, which has gone silent.
ConfigResponse connectionLoss() { return {}; }

/// A response with one change.
ConfigResponse withChange(Revision Through) {
  ConfigResponse Result = response(Outcome::Done, Through);
  Result.Batch_.Changes_.push_back({Incarnation{1}, Through, std::nullopt});
  return Result;
}

/// A stale list of \p Upstreams entries.
ConfigResponse staleList(std::size_t Upstreams) {
  ConfigResponse Result = response(Outcome::Stale);
  Result.Batch_.Changes_.resize(Upstreams);
  return Result;
}

/// A reader that has read the full list at time 0, through revision 5.
ConfigReader started() {
  ConfigReader Reader(0);
  REQUIRE(Reader.next(at(-200ms), {}));
  Reader.answered(at(-100ms), response(Outcome::Stale), 1);
  REQUIRE(Reader.next(at(0ms), {}));
  Reader.answered(at(4ms), response(Outcome::Done, 5), 1);
  return Reader;
}

} // namespace

TEST_CASE("a reader lists first and then watches from the listed revision") {
  ConfigReader Reader(0);
  REQUIRE(Reader.next(at(-200ms), {}));
  Reader.answered(at(-100ms), response(Outcome::Stale), 1);
  auto First = Reader.next(at(0ms), {});
  REQUIRE(First);
  CHECK(First->Kind_ == Kind::List);
  CHECK_FALSE(Reader.next(at(1ms), {})); // one call at a time
  Reader.answered(at(4ms), withChange(7), 1);
  MonoTime Due = Reader.dueAt({});
  CHECK(Due == at(4ms) + ConfigReader::PauseAfterChange);
  auto Second = Reader.next(Due, {});
  REQUIRE(Second);
  CHECK(Second->Kind_ == Kind::Watch);
  CHECK(Second->After_ == 7);
  CHECK(Second->WaitUntil_ == Due + ConfigReader::WatchTimeout);
}

TEST_CASE("a lost history causes one list read, also if peers report a known "
          "revision") {
  ConfigReader Reader = started();
  REQUIRE(Reader.next(at(10ms), {}));
  Reader.answered(at(14ms), response(Outcome::HistoryGone), 1);
  Reader.noteRevision(5); // called before each call of `next`
  auto Again = Reader.next(at(14ms), {});
  REQUIRE(Again);
  CHECK(Again->Kind_ == Kind::List);
  Reader.answered(at(20ms), response(Outcome::Done, 5), 1);
  auto Next = Reader.next(at(20ms), {});
  REQUIRE(Next);
  CHECK(Next->Kind_ == Kind::Watch);
}

TEST_CASE(
    "after a loss of history a watch continues from a peer's newer revision") {
  ConfigReader Reader = started();
  REQUIRE(Reader.next(at(10ms), {}));
  Reader.answered(at(14ms), response(Outcome::HistoryGone), 1);
  Reader.noteRevision(9);
  auto Next = Reader.next(at(14ms), {});
  REQUIRE(Next);
  CHECK(Next->Kind_ == Kind::Watch);
  CHECK(Next->After_ == 9);
}

TEST_CASE("no call starts while peers keep this process up to date") {
  ConfigReader Reader = started();
  CHECK_FALSE(Reader.next(at(10ms), at(500ms)));
  CHECK(Reader.dueAt(at(500ms)) == at(500ms));
  CHECK(Reader.next(at(500ms), at(500ms)));
}

TEST_CASE(
    "a watch is complete as of its end only if it waited without changes") {
  ConfigReader Reader = started();
  REQUIRE(Reader.next(at(10ms), {}));
  Reader.answered(at(516ms), response(Outcome::Done, 5), 1);
  CHECK(Reader.completeAt() == at(510ms));
  REQUIRE(Reader.next(at(516ms), {}));
  Reader.answered(at(600ms), withChange(6), 1);
  CHECK(Reader.completeAt() == at(516ms));
}

TEST_CASE(
    "a service that answers watches at once is not polled without a pause") {
  ConfigReader Reader = started();
  REQUIRE(Reader.next(at(10ms), {}));
  Reader.answered(at(14ms), response(Outcome::Done, 5), 1);
  CHECK(Reader.dueAt({}) == at(14ms) + ConfigReader::PauseAfterChange);
}

TEST_CASE("the backoff grows with the fleet and ends with a successful call") {
  for (std::size_t FleetSize : {std::size_t{1}, std::size_t{90}}) {
    ConfigReader Reader(0.5);
    MonoTime Now = at(0ms);
    Micros Longest{};
    for (int I = 0; I < 12; ++I) {
      REQUIRE(Reader.next(Now, {}));
      Reader.answered(Now, response(Outcome::Refused), FleetSize);
      Longest = std::max(Longest, Reader.dueAt({}) - Now);
      Now = Reader.dueAt({});
    }
    Micros Shared = std::chrono::seconds(FleetSize) / 8;
    CHECK(Longest <= std::max(ConfigReader::MaxBackoff, Shared));
    CHECK(Longest >= std::max(ConfigReader::MaxBackoff, Shared) / 2);
    REQUIRE(Reader.next(Now, {}));
    Reader.answered(Now, response(Outcome::Done, 5), FleetSize);
    CHECK(Reader.dueAt({}) == Now);
  }
}

TEST_CASE("a start reads a stale list, waits for peers and then lists") {
  for (double Jitter : {0.0, 0.99}) {
    ConfigReader Reader(Jitter);
    auto First = Reader.next(at(0ms), {});
    REQUIRE(First);
    CHECK(First->Kind_ == Kind::StaleList);
    Reader.answered(at(4ms), staleList(600), 1);
    MonoTime Due = Reader.dueAt({});
    CHECK(Due >= at(4ms) + ConfigReader::PeerUpdateWait);
    CHECK(Due <= at(4ms) + ConfigReader::PeerUpdateWait +
                     ConfigReader::PeerUpdateJitter);
    SUBCASE("peers send the current state") {
      Reader.noteRevision(9);
      auto Next = Reader.next(Due, {});
      REQUIRE(Next);
      CHECK(Next->Kind_ == Kind::Watch);
      CHECK(Next->After_ == 9);
    }
    SUBCASE("no peer responds") {
      auto List = Reader.next(Due, {});
      REQUIRE(List);
      CHECK(List->Kind_ == Kind::List);
      Reader.answered(Due + 4ms, withChange(7), 1);
      CHECK(Reader.completeAt() == Due);
      auto Next = Reader.next(Reader.dueAt({}), {});
      REQUIRE(Next);
      CHECK(Next->Kind_ == Kind::Watch);
    }
  }
}

TEST_CASE("a start waits less for peers if few upstreams are listed") {
  for (std::size_t Upstreams : {1U, 18U, 150U, 600U, 67000U}) {
    ConfigReader Reader(0.5);
    REQUIRE(Reader.next(at(0ms), {}));
    Reader.answered(at(4ms), staleList(Upstreams), 1);
    Micros Pause = Reader.dueAt({}) - at(4ms);
    CHECK(Pause <=
          ConfigReader::PeerUpdateWait + ConfigReader::PeerUpdateJitter / 2);
    CHECK(Pause <= Upstreams * 2ms);
    CHECK(Pause >= std::min<Micros>(Upstreams * 1ms, 250ms));
  }
}

TEST_CASE("an empty stale list does not shorten the wait for peers") {
  ConfigReader Reader(0.5);
  REQUIRE(Reader.next(at(0ms), {}));
  Reader.answered(at(4ms), staleList(0), 1);
  CHECK(Reader.dueAt({}) - at(4ms) ==
        ConfigReader::PeerUpdateWait + ConfigReader::PeerUpdateJitter / 2);
}

TEST_CASE("a service without stale lists is asked for a full list") {
  for (Outcome What : {Outcome::Refused, Outcome::Failed}) {
    ConfigReader Reader(0);
    std::vector<Kind> Calls;
    for (MonoTime Now = at(0ms); Calls.size() < 9; Now = Reader.dueAt({})) {
      auto Next = Reader.next(Now, {});
      REQUIRE(Next);
      Calls.push_back(Next->Kind_);
      Reader.answered(Now + 4ms, response(What), 1);
    }
    // A short outage must not make a whole fleet read full lists.
    std::vector<Kind> Expected(8, Kind::StaleList);
    Expected.push_back(Kind::List);
    CHECK(Calls == Expected);
  }
}

TEST_CASE("with parts of a long list a start waits for its peers") {
  ConfigResponse Parts = staleList(69);
  Parts.Parts_ = ListParts{}.set(3);
  for (double Jitter : {0.0, 0.5, 0.99}) {
    CAPTURE(Jitter);
    ConfigReader Reader(Jitter);
    REQUIRE(Reader.next(at(0ms), {}));
    Reader.answered(at(4ms), Parts, 1);
    MonoTime First = at(4ms) + ConfigReader::PartsExchangeWait;
    CHECK(Reader.dueAt({}) >= First);
    CHECK(Reader.dueAt({}) <= First + ConfigReader::MaxFleetJitter);
    SUBCASE("a peer ends the wait") {
      Reader.noteRevision(9);
      auto Next = Reader.next(Reader.dueAt({}), {});
      REQUIRE(Next);
      CHECK(Next->Kind_ == Kind::Watch);
    }
    SUBCASE("no peers are found") {
      Reader.noPeersFound(at(1500ms));
      auto Next = Reader.next(at(1500ms), {});
      REQUIRE(Next);
      CHECK(Next->Kind_ == Kind::List);
    }
  }
  ConfigReader Seed(0.99, true);
  REQUIRE(Seed.next(at(0ms), {}));
  Seed.answered(at(4ms), Parts, 1);
  CHECK(Seed.dueAt({}) == at(4ms) + ConfigReader::SeedListDelay);
}

TEST_CASE("a lack of peers does not shorten the backoff") {
  ConfigReader Reader(0);
  REQUIRE(Reader.next(at(0ms), {}));
  Reader.answered(at(4ms), response(Outcome::Failed), 1);
  MonoTime Due = Reader.dueAt({});
  Reader.noPeersFound(at(10ms));
  CHECK(Reader.dueAt({}) == Due);
}

TEST_CASE("a process that hears no other one does not wait for others after a "
          "failure") {
  ConfigReader Reader(0.9);
  Reader.noteRevision(5);
  REQUIRE(Reader.next(at(0ms), {}));
  Reader.answered(at(0ms), response(Outcome::Refused), 295);
  MonoTime WithPeers = Reader.dueAt({});
  CHECK(WithPeers >= at(5s));
  // It takes some time to notice that no peer is left.
  Reader.noOtherCallers(at(50ms));
  MonoTime Alone = Reader.dueAt({});
  CHECK(Alone > at(50ms)); // its own backoff remains
  CHECK(Alone <= at(0ms) + ConfigReader::InitialBackoff);
  REQUIRE(Reader.next(at(2s), {}));
  Reader.answered(at(2s), response(Outcome::Refused), 295);
  Reader.noOtherCallers(at(4s));
  CHECK(Reader.dueAt({}) == at(4s));
  // A served call has no such wait.
  REQUIRE(Reader.next(at(4s), {}));
  Reader.answered(at(4s), withChange(6), 295);
  Reader.noOtherCallers(at(4s));
  CHECK(Reader.dueAt({}) == at(4s) + ConfigReader::PauseAfterChange);
}

TEST_CASE("a large fleet with known state spreads its calls after a failure") {
  auto PauseOf = [](double Jitter, std::size_t FleetSize) {
    ConfigReader Reader(Jitter);
    Reader.noteRevision(5);
    REQUIRE(Reader.next(at(0ms), {}));
    Reader.answered(at(0ms), response(Outcome::Failed, 0), FleetSize);
    return Reader.dueAt({}) - at(0ms);
  };
  CHECK(PauseOf(0, 295) <= ConfigReader::InitialBackoff);
  CHECK(PauseOf(0.5, 295) == ConfigReader::MaxFleetJitter / 2);
  CHECK(PauseOf(0.5, 40) == 2500ms); // 8 calls a second
  CHECK(PauseOf(0.99, 9) <= ConfigReader::InitialBackoff);
}

// Silence of an idle or failed connection must not look like an outage, nor
// take as long.
TEST_CASE("a watch whose connection went silent is followed by one that is "
          "answered at once") {
  for (std::size_t FleetSize : {std::size_t{1}, std::size_t{295}}) {
    ConfigReader Reader = started();
    auto Watch = Reader.next(at(10ms), {});
    REQUIRE(Watch);
    CHECK(Watch->PersistentGiveUpAt_ ==
          Watch->WaitUntil_ + ConfigReader::PersistentResponseTimeout);
    CHECK(Watch->PersistentGiveUpAt_ < Watch->GiveUpAt_);
    Reader.answered(at(910ms), connectionLoss(), FleetSize);
    CHECK(Reader.dueAt({}) == at(910ms));
    auto Second = Reader.next(at(910ms), {});
    REQUIRE(Second);
    CHECK(Second->Kind_ == Kind::Watch);
    CHECK(Second->After_ == 5);
    CHECK(Second->WaitUntil_ == at(910ms));
    Reader.answered(at(914ms), response(Outcome::Done, 5), FleetSize);
    CHECK(Reader.completeAt() >= at(910ms));
    MonoTime Due = Reader.dueAt({});
    auto Third = Reader.next(Due, {});
    REQUIRE(Third);
    CHECK(Third->WaitUntil_ == Due + ConfigReader::WatchTimeout);
  }
}

// Calls must not multiply when the service itself is slow or away.
TEST_CASE("a list whose connection went silent and a call that failed on a new "
          "one wait before they are repeated") {
  ConfigReader Starting(0);
  REQUIRE(Starting.next(at(0ms), {}));
  Starting.answered(at(1000ms), connectionLoss(), 1);
  CHECK(Starting.dueAt({}) > at(1000ms));
  ConfigReader Reader = started();
  REQUIRE(Reader.next(at(10ms), {}));
  Reader.answered(at(910ms), connectionLoss(), 1);
  REQUIRE(Reader.next(at(910ms), {}));
  Reader.answered(at(1910ms), response(Outcome::Failed), 1);
  CHECK(Reader.dueAt({}) > at(1910ms));
}

// Otherwise the fleet stops following as long as the changes are in the
// history.
TEST_CASE("a watch that can't be read is followed by a list at once, a list "
          "after a pause") {
  ConfigReader Reader = started();
  REQUIRE(Reader.next(at(10ms), {}));
  Reader.answered(at(20ms), response(Outcome::Unreadable), 295);
  CHECK(Reader.dueAt({}) == at(20ms));
  auto List = Reader.next(at(20ms), {});
  REQUIRE(List);
  CHECK(List->Kind_ == Kind::List);
  SUBCASE("the list is read") {
    Reader.answered(at(50ms), withChange(9), 295);
    auto Watch = Reader.next(Reader.dueAt({}), {});
    REQUIRE(Watch);
    CHECK(Watch->Kind_ == Kind::Watch);
    CHECK(Watch->After_ == 9);
  }
  SUBCASE("the list can't be read") {
    Reader.answered(at(50ms), response(Outcome::Unreadable), 1);
    CHECK(Reader.dueAt({}) > at(50ms));
    auto Again = Reader.next(Reader.dueAt({}), {});
    REQUIRE(Again);
    CHECK(Again->Kind_ == Kind::List);
  }
}

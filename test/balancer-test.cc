// Focused decisions of one core, and the harness example of balancer.h.
#include "balancer-bench.h"

using namespace thymewall;
using namespace thymewall::test;

TEST_CASE("a harness drives a flow event by event") {
  Bench B;
  B.open();
  REQUIRE(B.Up_);
  CHECK(B.Up_->Message_.Kind_ == Kind::Open);
  B.reply(Kind::Opened);
  REQUIRE(B.Caller_);
  CHECK(B.Caller_->To_ == Caller);
  CHECK(B.Caller_->Message_.Kind_ == Kind::Opened);
  CHECK(!B.Caller_->Message_.Route_.empty());
  B.Route_ = B.Sealed_;
  B.fromCaller(B.request(1));
  CHECK(B.Up_->Message_.Kind_ == Kind::Request);
  CHECK(B.Up_->Message_.Incarnation_ == Incarnation{5});
  B.reply(Kind::Answer);
  CHECK(B.Caller_->Message_.Kind_ == Kind::Answer);
  CHECK(B.Core_.counters().Answered_ == 1U);
}

TEST_CASE("nothing is served before a declaration, and that is said at once") {
  Bench B(42, nullptr);
  B.open();
  CHECK(!B.Caller_); // no service, so no socket it could have come from
  CHECK(B.errors(ErrorKind::UnknownService) == 1U);
}

TEST_CASE("a short open is dropped, so that a reply is never longer") {
  Bench B;
  Message M;
  M.Kind_ = Kind::Open;
  B.fromCaller(M, Balancer::MinOpenSize - 1);
  CHECK(B.ToUpstreams_ == 0);
  CHECK(B.errors(ErrorKind::Malformed) == 1U);
}

TEST_CASE("parts are sent on in any order, each once, late ones never") {
  Bench B;
  B.openFlow();
  B.fromCaller(B.request(1));
  int Before = B.ToCallers_;
  B.reply(Kind::Answer, 2, 3);
  B.reply(Kind::Answer, 0, 3);
  B.reply(Kind::Answer, 0, 3);
  CHECK(B.ToCallers_ == Before + 2);
  B.reply(Kind::Answer, 1, 3);
  CHECK(B.ToCallers_ == Before + 3);
  B.reply(Kind::Answer, 1, 3);
  CHECK(B.ToCallers_ == Before + 3);
  CHECK(B.errors(ErrorKind::RepeatedPart) == 1U);
  CHECK(B.errors(ErrorKind::LateAnswer) == 1U);
}

TEST_CASE("a request is given up at its deadline, cancelled and answered") {
  Bench B;
  B.openFlow();
  B.fromCaller(B.request(1));
  B.pass(milliseconds(890));
  CHECK(B.Caller_->Message_.Kind_ == Kind::Opened);
  B.pass(milliseconds(30));
  CHECK(B.Caller_->Message_.Kind_ == Kind::Refused);
  CHECK(B.Caller_->Message_.Reason_ == ErrorKind::NoAnswer);
  CHECK(!notRun(B));
  CHECK(B.Caller_->Message_.RetryAt_ > B.now().Wall_);
  CHECK(B.Up_->Message_.Kind_ == Kind::Cancel);
}

TEST_CASE("an upstream's refusal is told at once, and is 'not run' just once") {
  Bench B;
  B.openFlow();
  B.fromCaller(B.request(1));
  B.reply(Kind::Refused);
  CHECK(B.Caller_->Message_.Reason_ == ErrorKind::UpstreamRefused);
  CHECK(notRun(B));
  CHECK(B.Caller_->Message_.RetryAt_ > B.now().Wall_);
  B.fromCaller(B.request(1)); // a copy, after the final answer
  CHECK(B.Caller_->Message_.Reason_ == ErrorKind::NumberUsed);
  CHECK(!notRun(B));
  B.fromCaller(B.request(2, true));
  B.reply(Kind::Refused);
  CHECK(!notRun(B)); // others may hold copies of a repeatable request
}

TEST_CASE("a passed deadline is refused without being sent") {
  Bench B;
  B.openFlow();
  int Before = B.ToUpstreams_;
  Message M = B.request(1);
  M.Deadline_ = B.now().Wall_;
  B.fromCaller(M);
  CHECK(B.ToUpstreams_ == Before);
  CHECK(B.Caller_->Message_.Reason_ == ErrorKind::DeadlinePassed);
  CHECK(notRun(B));
  M = B.request(2);
  M.Deadline_ = B.now().Wall_ + milliseconds(2100); // 1 s and the slack
  B.fromCaller(M);
  CHECK(B.Caller_->Message_.Reason_ == ErrorKind::DeadlineTooFar);
  CHECK(!notRun(B));
}

TEST_CASE("a used number sent again as repeatable upsets no count") {
  Bench B(42, declaration(1, 1, R"("in_flight_per_slot": 2,)"));
  B.openFlow();
  B.fromCaller(B.request(1));
  B.reply(Kind::Answer);
  B.fromCaller(B.request(1, true)); // while copies are still swallowed
  B.reply(Kind::Answer);
  CHECK(B.Core_.status().Upstreams_[0].InFlight_ == 0U);
}

TEST_CASE("beyond its bound an upstream gets no more, and callers are told") {
  Bench B(42, declaration(1, 1, R"("in_flight_per_slot": 2,)"));
  B.openFlow();
  for (std::uint32_t I = 1; I <= 2; ++I)
    B.fromCaller(B.request(I));
  int Before = B.ToUpstreams_;
  B.fromCaller(B.request(3));
  CHECK(B.ToUpstreams_ == Before);
  CHECK(B.Caller_->Message_.Reason_ == ErrorKind::Overloaded);
  CHECK(notRun(B));
}

TEST_CASE("an open that is refused goes elsewhere only within the budget") {
  Bench B(42, declaration(1, 2, R"("retry_budget": 1,)"));
  B.open();
  Endpoint First = B.Up_->To_;
  B.reply(Kind::Refused);
  CHECK(B.Up_->To_ != First);
  CHECK(!B.Caller_);
  B.reply(Kind::Refused);
  CHECK(B.Caller_->Message_.Kind_ == Kind::Refused);
  CHECK(notRun(B));
  Bench None(42, declaration(1, 2, R"("retry_budget": 0,)"));
  None.open();
  None.reply(Kind::Refused);
  CHECK(None.Caller_->Message_.Kind_ == Kind::Refused);
  CHECK(None.ToUpstreams_ == 1);
}

TEST_CASE("a request without a route, or with a forged one, is not guessed") {
  Bench B;
  B.openFlow();
  int Before = B.ToUpstreams_;
  Message M = B.request(1, true);
  M.Route_ = {};
  B.fromCaller(M);
  CHECK(B.Caller_->Message_.Reason_ == ErrorKind::RouteRequired);
  CHECK(!notRun(B));
  SignedRoute Forged = B.Route_;
  Forged.Bytes_[10] ^= 1;
  M.Route_ = Forged.bytes();
  int Told = B.ToCallers_;
  B.fromCaller(M);
  CHECK(B.ToCallers_ == Told);
  CHECK(B.ToUpstreams_ == Before);
  CHECK(B.errors(ErrorKind::ForgedRoute) == 1U);
}

TEST_CASE("a home that has lost its memory of a flow runs no old number") {
  Bench B;
  B.openFlow();
  Message First = B.request(1);
  First.Deadline_ = {};
  B.fromCaller(First);
  B.reply(Kind::Answer);
  for (int I = 0; I < 4100; ++I) { // over an hour
    B.sleep(milliseconds(900));
    B.give(Tick{});
  }
  CHECK(B.Core_.status().Flows_ == 0U);
  int Before = B.ToUpstreams_;
  B.fromCaller(First);
  CHECK(B.ToUpstreams_ == Before);
  CHECK(B.Caller_->Message_.Reason_ == ErrorKind::NumberUsed);
  CHECK(!notRun(B));
  B.Route_ = B.Sealed_; // the flow goes on
  B.fromCaller(B.request(2));
  CHECK(B.ToUpstreams_ == Before + 1);
}

TEST_CASE("what an upstream says of an earlier attempt is dropped") {
  Bench B;
  B.openFlow();
  B.fromCaller(B.request(1, true));
  ToUpstream Earlier = *B.Up_;
  B.fromCaller(B.request(1, true)); // the caller asks again
  CHECK(B.Up_->Message_.Attempt_ != Earlier.Message_.Attempt_);
  int Before = B.ToCallers_;
  for (Kind K : {Kind::Answer, Kind::Refused, Kind::Reset}) {
    Message M = Earlier.Message_;
    M.Kind_ = K;
    M.Incarnation_ = Incarnation{5};
    B.give(FromUpstream{Earlier.To_, M});
  }
  CHECK(B.ToCallers_ == Before);
  B.reply(Kind::Answer);
  CHECK(B.ToCallers_ == Before + 1);
}

TEST_CASE("another balancer passes to the home, and answers when it is gone") {
  Bench Home;
  Home.openFlow();
  Bench Other(43);
  Other.Core_.handle(Other.now(), FromCaller{Caller, Home.request(1), 200},
                     Other.Sink_);
  CHECK(!Other.Peer_); // no service 0: the socket's service was not set
  Message M = Home.request(1);
  Other.fromCaller(M);
  REQUIRE(Other.Peer_);
  CHECK(Other.Peer_->Datagram_.Kind_ == PeerKind::Pass);
  Other.pass(milliseconds(210));
  CHECK(Other.ToPeers_ == 4);
  CHECK(!Other.Caller_);
  Other.pass(milliseconds(30));
  REQUIRE(Other.Caller_);
  CHECK(Other.Caller_->Message_.Reason_ == ErrorKind::HomeUnreachable);
  CHECK(!notRun(Other));
  CHECK(Other.ToUpstreams_ == 0);
  // The flow goes on under the new home.
  Other.Route_ = Other.Sealed_;
  Other.fromCaller(Other.request(2));
  CHECK(Other.ToUpstreams_ == 1);
}

TEST_CASE("a flow moves from a dead home before a request of it is lost") {
  Bench Home;
  Home.openFlow();
  Bench Other(43);
  Endpoint HomeAt = Endpoint::v4(42, 7100);
  Other.give(PeerSeen{BalancerId{1}, HomeAt, Incarnation{42}, false});
  Message Ping;
  Ping.Kind_ = Kind::Ping;
  Ping.Route_ = Home.Route_.bytes();
  Other.fromCaller(Ping);
  CHECK(!Other.Caller_); // the home lives
  Other.pass(std::chrono::seconds(6));
  Other.fromCaller(Ping);
  REQUIRE(Other.Caller_);
  CHECK(Other.Caller_->Message_.Kind_ == Kind::Moved);
  Other.Route_ = Other.Sealed_;
  int Before = Other.ToUpstreams_;
  Other.fromCaller(Other.request(1));
  CHECK(Other.ToUpstreams_ == Before + 1);
  Other.fromCaller(Home.request(1)); // a copy under the old route
  CHECK(Other.ToUpstreams_ == Before + 1);
  Other.give(PeerSeen{BalancerId{1}, HomeAt, Incarnation{42}, false});
  Other.fromCaller(Ping);
  CHECK(Other.Core_.counters().Moved_ == 1U);
}

TEST_CASE("a process that wakes late rereads before it places flows") {
  Bench B;
  B.pass(milliseconds(50));
  B.sleep(std::chrono::seconds(5));
  B.open();
  CHECK(B.Asked_ == 1U);
  CHECK(B.ToUpstreams_ == 0);
  CHECK(B.Caller_->Message_.Reason_ == ErrorKind::NotReady);
  B.give(SourceConfirmed{}); // was under way before the pause
  B.open();
  CHECK(B.ToUpstreams_ == 0);
  B.give(SourceConfirmed{B.Asked_});
  B.open();
  CHECK(B.ToUpstreams_ == 1);
}

TEST_CASE("no source for 3 s after a late wake: the old intent serves on") {
  Bench B;
  B.pass(milliseconds(50));
  B.sleep(std::chrono::seconds(5));
  B.pass(std::chrono::seconds(3) + 2 * Balancer::TickEvery);
  B.open();
  CHECK(B.ToUpstreams_ == 1);
}

TEST_CASE("a declaration never gives way to an earlier one") {
  Bench B(42, declaration(5, 2));
  B.give(DeclarationRead{declaration(4, 1)});
  CHECK(B.Core_.status().InForce_ == 5U);
  B.give(DeclarationRead{declaration(6, 1)});
  CHECK(B.Core_.status().InForce_ == 6U);
}

TEST_CASE("the host list's leaving upstream gets no new flow") {
  Bench B(42, declaration(1, 1));
  HostList L;
  L.Version_ = 1;
  L.Hosts_.push_back({"up-0", Host::Role::Upstream, true, "", {}, {}});
  B.give(HostListRead{std::make_shared<const HostList>(L)});
  B.open();
  CHECK(B.ToUpstreams_ == 0);
  CHECK(B.Caller_->Message_.Reason_ == ErrorKind::NoUpstream);
  CHECK(notRun(B));
}

TEST_CASE("an address that went to another upstream gets no old flow") {
  Bench B(42, declaration(1, 1));
  B.openFlow();
  DeclarationPtr Reused = boost::leaf::try_handle_all(
      [] {
        return parseDeclaration(
            R"({"version": 2, "services": [{"name": "index", "port": 1}],
                "upstreams": [{"name": "other", "address": "10.0.0.1:9000",
                "data_hall": "h"}], "selectors": []})",
            "test", noZones());
      },
      [] { return DeclarationPtr(); });
  REQUIRE(Reused);
  B.give(DeclarationRead{Reused});
  int Before = B.ToUpstreams_;
  B.fromCaller(B.request(1, true));
  B.fromCaller(B.request(2));
  CHECK(B.ToUpstreams_ == Before);
  CHECK(B.errors(ErrorKind::FlowUnknown) == 2U);
}

TEST_CASE("a stopping balancer with a peer passes opens on") {
  Bench B;
  B.give(PeerSeen{BalancerId{9}, Peer, Incarnation{77}, false});
  B.give(StopAsked{});
  B.open();
  CHECK(B.ToUpstreams_ == 0);
  REQUIRE(B.Peer_);
  CHECK(B.Peer_->To_ == Peer);
  CHECK(B.Peer_->Datagram_.Inner_.Kind_ == Kind::Open);
}

TEST_CASE("a datagram of an unknown upstream is dropped") {
  Bench B;
  B.openFlow();
  B.fromCaller(B.request(1));
  Message M = B.Up_->Message_;
  M.Kind_ = Kind::Answer;
  int Before = B.ToCallers_;
  B.give(FromUpstream{Endpoint::v4(99, 1), M});
  CHECK(B.ToCallers_ == Before);
  CHECK(B.errors(ErrorKind::UnknownSender) == 1U);
}

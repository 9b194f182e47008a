// Focused decisions of one core, and the harness example of balancer.h.
#include "balancer-bench.h"

using namespace thymewall;
using namespace thymewall::test;

TEST_CASE("a harness drives a flow event by event") {
  BalancerHarness B;
  B.open();
  REQUIRE(B.LastToUpstream_);
  CHECK(B.LastToUpstream_->Message_.Kind_ == MessageKind::Open);
  B.reply(MessageKind::Opened);
  REQUIRE(B.LastToCaller_);
  CHECK(B.LastToCaller_->To_ == CallerAddress);
  CHECK(B.LastToCaller_->Message_.Kind_ == MessageKind::Opened);
  CHECK(!B.LastToCaller_->Message_.Route_.empty());
  B.Route_ = B.LastRoute_;
  B.fromCaller(B.request(1));
  CHECK(B.LastToUpstream_->Message_.Kind_ == MessageKind::Request);
  CHECK(B.LastToUpstream_->Message_.Incarnation_ == Incarnation{5});
  B.reply(MessageKind::Answer);
  CHECK(B.LastToCaller_->Message_.Kind_ == MessageKind::Answer);
  CHECK(B.Core_.counters().Answered_ == 1U);
}

TEST_CASE("nothing is served before a declaration, and that is said at once") {
  BalancerHarness B(42, nullptr);
  B.open();
  CHECK(!B.LastToCaller_); // no service, so no socket it could have come from
  CHECK(B.errorCount(ErrorKind::UnknownService) == 1U);
}

TEST_CASE("a short open is dropped, so that a reply is never longer") {
  BalancerHarness B;
  Message M;
  M.Kind_ = MessageKind::Open;
  B.fromCaller(M, Balancer::MinOpenSize - 1);
  CHECK(B.ToUpstreamCount_ == 0);
  CHECK(B.errorCount(ErrorKind::Malformed) == 1U);
}

TEST_CASE("parts are sent on in any order, each once, late ones never") {
  BalancerHarness B;
  B.openFlow();
  B.fromCaller(B.request(1));
  int Before = B.ToCallerCount_;
  B.reply(MessageKind::Answer, 2, 3);
  B.reply(MessageKind::Answer, 0, 3);
  B.reply(MessageKind::Answer, 0, 3);
  CHECK(B.ToCallerCount_ == Before + 2);
  B.reply(MessageKind::Answer, 1, 3);
  CHECK(B.ToCallerCount_ == Before + 3);
  B.reply(MessageKind::Answer, 1, 3);
  CHECK(B.ToCallerCount_ == Before + 3);
  CHECK(B.errorCount(ErrorKind::RepeatedPart) == 1U);
  CHECK(B.errorCount(ErrorKind::LateAnswer) == 1U);
}

TEST_CASE("a request is given up at its deadline, cancelled and answered") {
  BalancerHarness B;
  B.openFlow();
  B.fromCaller(B.request(1));
  B.advance(milliseconds(890));
  CHECK(B.LastToCaller_->Message_.Kind_ == MessageKind::Opened);
  B.advance(milliseconds(30));
  CHECK(B.LastToCaller_->Message_.Kind_ == MessageKind::Refused);
  CHECK(B.LastToCaller_->Message_.Reason_ == ErrorKind::NoAnswer);
  CHECK(!notRun(B));
  CHECK(B.LastToCaller_->Message_.RetryAt_ > B.now().Wall_);
  CHECK(B.LastToUpstream_->Message_.Kind_ == MessageKind::Cancel);
}

TEST_CASE("an upstream's refusal is told at once, and is 'not run' just once") {
  BalancerHarness B;
  B.openFlow();
  B.fromCaller(B.request(1));
  B.reply(MessageKind::Refused);
  CHECK(B.LastToCaller_->Message_.Reason_ == ErrorKind::UpstreamRefused);
  CHECK(notRun(B));
  CHECK(B.LastToCaller_->Message_.RetryAt_ > B.now().Wall_);
  B.fromCaller(B.request(1)); // a copy, after the final answer
  CHECK(B.LastToCaller_->Message_.Reason_ == ErrorKind::NumberUsed);
  CHECK(!notRun(B));
  B.fromCaller(B.request(2, true));
  B.reply(MessageKind::Refused);
  CHECK(!notRun(B)); // others may hold copies of a repeatable request
}

TEST_CASE("a passed deadline is refused without being sent") {
  BalancerHarness B;
  B.openFlow();
  int Before = B.ToUpstreamCount_;
  Message M = B.request(1);
  M.Deadline_ = B.now().Wall_;
  B.fromCaller(M);
  CHECK(B.ToUpstreamCount_ == Before);
  CHECK(B.LastToCaller_->Message_.Reason_ == ErrorKind::DeadlinePassed);
  CHECK(notRun(B));
  M = B.request(2);
  M.Deadline_ = B.now().Wall_ + milliseconds(2100); // 1 s and the slack
  B.fromCaller(M);
  CHECK(B.LastToCaller_->Message_.Reason_ == ErrorKind::DeadlineTooFar);
  CHECK(!notRun(B));
}

TEST_CASE("a used number sent again as repeatable upsets no count") {
  BalancerHarness B(42, makeDeclaration(1, 1, R"("in_flight_per_slot": 2,)"));
  B.openFlow();
  B.fromCaller(B.request(1));
  B.reply(MessageKind::Answer);
  B.fromCaller(B.request(1, true)); // while copies are still swallowed
  B.reply(MessageKind::Answer);
  CHECK(B.Core_.status().Upstreams_[0].InFlight_ == 0U);
}

TEST_CASE("beyond its bound an upstream gets no more, and callers are told") {
  BalancerHarness B(42, makeDeclaration(1, 1, R"("in_flight_per_slot": 2,)"));
  B.openFlow();
  for (std::uint32_t I = 1; I <= 2; ++I)
    B.fromCaller(B.request(I));
  int Before = B.ToUpstreamCount_;
  B.fromCaller(B.request(3));
  CHECK(B.ToUpstreamCount_ == Before);
  CHECK(B.LastToCaller_->Message_.Reason_ == ErrorKind::Overloaded);
  CHECK(notRun(B));
}

TEST_CASE("an open that is refused goes elsewhere only within the budget") {
  BalancerHarness B(42, makeDeclaration(1, 2, R"("retry_budget": 1,)"));
  B.open();
  Endpoint First = B.LastToUpstream_->To_;
  B.reply(MessageKind::Refused);
  CHECK(B.LastToUpstream_->To_ != First);
  CHECK(!B.LastToCaller_);
  B.reply(MessageKind::Refused);
  CHECK(B.LastToCaller_->Message_.Kind_ == MessageKind::Refused);
  CHECK(notRun(B));
  BalancerHarness None(42, makeDeclaration(1, 2, R"("retry_budget": 0,)"));
  None.open();
  None.reply(MessageKind::Refused);
  CHECK(None.LastToCaller_->Message_.Kind_ == MessageKind::Refused);
  CHECK(None.ToUpstreamCount_ == 1);
}

TEST_CASE("a request without a route, or with a forged one, is not guessed") {
  BalancerHarness B;
  B.openFlow();
  int Before = B.ToUpstreamCount_;
  Message M = B.request(1, true);
  M.Route_ = {};
  B.fromCaller(M);
  CHECK(B.LastToCaller_->Message_.Reason_ == ErrorKind::RouteRequired);
  CHECK(!notRun(B));
  SealedRoute Forged = B.Route_;
  Forged.Bytes_[10] ^= 1;
  M.Route_ = Forged.bytes();
  int RepliesBefore = B.ToCallerCount_;
  B.fromCaller(M);
  CHECK(B.ToCallerCount_ == RepliesBefore);
  CHECK(B.ToUpstreamCount_ == Before);
  CHECK(B.errorCount(ErrorKind::ForgedRoute) == 1U);
}

TEST_CASE("a home that has lost its memory of a flow runs no old number") {
  BalancerHarness B;
  B.openFlow();
  Message First = B.request(1);
  First.Deadline_ = {};
  B.fromCaller(First);
  B.reply(MessageKind::Answer);
  for (int I = 0; I < 4100; ++I) { // over an hour
    B.pauseProcess(milliseconds(900));
    B.handle(Tick{});
  }
  CHECK(B.Core_.status().Flows_ == 0U);
  int Before = B.ToUpstreamCount_;
  B.fromCaller(First);
  CHECK(B.ToUpstreamCount_ == Before);
  CHECK(B.LastToCaller_->Message_.Reason_ == ErrorKind::NumberUsed);
  CHECK(!notRun(B));
  B.Route_ = B.LastRoute_; // the flow goes on
  B.fromCaller(B.request(2));
  CHECK(B.ToUpstreamCount_ == Before + 1);
}

TEST_CASE("what an upstream says of an earlier attempt is dropped") {
  BalancerHarness B;
  B.openFlow();
  B.fromCaller(B.request(1, true));
  ToUpstream Earlier = *B.LastToUpstream_;
  B.fromCaller(B.request(1, true)); // the caller asks again
  CHECK(B.LastToUpstream_->Message_.Attempt_ != Earlier.Message_.Attempt_);
  int Before = B.ToCallerCount_;
  for (MessageKind K :
       {MessageKind::Answer, MessageKind::Refused, MessageKind::Reset}) {
    Message M = Earlier.Message_;
    M.Kind_ = K;
    M.Incarnation_ = Incarnation{5};
    B.handle(FromUpstream{Earlier.To_, M});
  }
  CHECK(B.ToCallerCount_ == Before);
  B.reply(MessageKind::Answer);
  CHECK(B.ToCallerCount_ == Before + 1);
}

TEST_CASE("another balancer passes to the home, and answers when it is gone") {
  BalancerHarness Home;
  Home.openFlow();
  BalancerHarness Other(43);
  Other.Core_.handle(Other.now(),
                     FromCaller{CallerAddress, Home.request(1), 200},
                     Other.Sink_);
  CHECK(!Other.LastToPeer_); // no service 0: the socket's service was not set
  Message M = Home.request(1);
  Other.fromCaller(M);
  REQUIRE(Other.LastToPeer_);
  CHECK(Other.LastToPeer_->Datagram_.Kind_ == PeerMessageKind::Forwarded);
  Other.advance(milliseconds(210));
  CHECK(Other.ToPeerCount_ == 4);
  CHECK(!Other.LastToCaller_);
  Other.advance(milliseconds(30));
  REQUIRE(Other.LastToCaller_);
  CHECK(Other.LastToCaller_->Message_.Reason_ == ErrorKind::HomeUnreachable);
  CHECK(!notRun(Other));
  CHECK(Other.ToUpstreamCount_ == 0);
  // The flow goes on under the new home.
  Other.Route_ = Other.LastRoute_;
  Other.fromCaller(Other.request(2));
  CHECK(Other.ToUpstreamCount_ == 1);
}

TEST_CASE("a flow moves from a dead home before a request of it is lost") {
  BalancerHarness Home;
  Home.openFlow();
  BalancerHarness Other(43);
  Endpoint HomeAt = Endpoint::v4(42, 7100);
  Other.handle(
      HeartbeatReceived{BalancerId{1}, HomeAt, Incarnation{42}, false});
  Message Ping;
  Ping.Kind_ = MessageKind::Ping;
  Ping.Route_ = Home.Route_.bytes();
  Other.fromCaller(Ping);
  CHECK(!Other.LastToCaller_); // the home lives
  Other.advance(std::chrono::seconds(6));
  Other.fromCaller(Ping);
  REQUIRE(Other.LastToCaller_);
  CHECK(Other.LastToCaller_->Message_.Kind_ == MessageKind::Moved);
  Other.Route_ = Other.LastRoute_;
  int Before = Other.ToUpstreamCount_;
  Other.fromCaller(Other.request(1));
  CHECK(Other.ToUpstreamCount_ == Before + 1);
  Other.fromCaller(Home.request(1)); // a copy under the old route
  CHECK(Other.ToUpstreamCount_ == Before + 1);
  Other.handle(
      HeartbeatReceived{BalancerId{1}, HomeAt, Incarnation{42}, false});
  Other.fromCaller(Ping);
  CHECK(Other.Core_.counters().Moved_ == 1U);
}

TEST_CASE("a process that wakes late rereads before it places flows") {
  BalancerHarness B;
  B.advance(milliseconds(50));
  B.pauseProcess(std::chrono::seconds(5));
  B.open();
  CHECK(B.RereadId_ == 1U);
  CHECK(B.ToUpstreamCount_ == 0);
  CHECK(B.LastToCaller_->Message_.Reason_ == ErrorKind::NotReady);
  B.handle(DeclarationUnchanged{}); // was under way before the pause
  B.open();
  CHECK(B.ToUpstreamCount_ == 0);
  B.handle(DeclarationUnchanged{B.RereadId_});
  B.open();
  CHECK(B.ToUpstreamCount_ == 1);
}

TEST_CASE("no source for 3 s after a late wake: the old intent serves on") {
  BalancerHarness B;
  B.advance(milliseconds(50));
  B.pauseProcess(std::chrono::seconds(5));
  B.advance(std::chrono::seconds(3) + 2 * Balancer::TickInterval);
  B.open();
  CHECK(B.ToUpstreamCount_ == 1);
}

TEST_CASE("a declaration never gives way to an earlier one") {
  BalancerHarness B(42, makeDeclaration(5, 2));
  B.handle(DeclarationRead{makeDeclaration(4, 1)});
  CHECK(B.Core_.status().DeclarationVersion_ == 5U);
  B.handle(DeclarationRead{makeDeclaration(6, 1)});
  CHECK(B.Core_.status().DeclarationVersion_ == 6U);
}

TEST_CASE("the host list's leaving upstream gets no new flow") {
  BalancerHarness B(42, makeDeclaration(1, 1));
  HostList L;
  L.Version_ = 1;
  L.Hosts_.push_back({"up-0", Host::Role::Upstream, true, "", {}, {}});
  B.handle(HostListRead{std::make_shared<const HostList>(L)});
  B.open();
  CHECK(B.ToUpstreamCount_ == 0);
  CHECK(B.LastToCaller_->Message_.Reason_ == ErrorKind::NoUpstream);
  CHECK(notRun(B));
}

TEST_CASE("an address that went to another upstream gets no old flow") {
  BalancerHarness B(42, makeDeclaration(1, 1));
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
  B.handle(DeclarationRead{Reused});
  int Before = B.ToUpstreamCount_;
  B.fromCaller(B.request(1, true));
  B.fromCaller(B.request(2));
  CHECK(B.ToUpstreamCount_ == Before);
  CHECK(B.errorCount(ErrorKind::FlowUnknown) == 2U);
}

TEST_CASE("a stopping balancer with a peer passes opens on") {
  BalancerHarness B;
  B.handle(
      HeartbeatReceived{BalancerId{9}, PeerAddress, Incarnation{77}, false});
  B.handle(StopRequested{});
  B.open();
  CHECK(B.ToUpstreamCount_ == 0);
  REQUIRE(B.LastToPeer_);
  CHECK(B.LastToPeer_->To_ == PeerAddress);
  CHECK(B.LastToPeer_->Datagram_.Inner_.Kind_ == MessageKind::Open);
}

TEST_CASE("a datagram of an unknown upstream is dropped") {
  BalancerHarness B;
  B.openFlow();
  B.fromCaller(B.request(1));
  Message M = B.LastToUpstream_->Message_;
  M.Kind_ = MessageKind::Answer;
  int Before = B.ToCallerCount_;
  B.handle(FromUpstream{Endpoint::v4(99, 1), M});
  CHECK(B.ToCallerCount_ == Before);
  CHECK(B.errorCount(ErrorKind::UnknownSender) == 1U);
}

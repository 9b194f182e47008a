// Tests of one core's decisions, event by event.
#include "balancer-harness.h"

using namespace thymewall;
using namespace thymewall::test;

TEST_CASE("open and request are dispatched and their answers relayed") {
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

TEST_CASE("opens are dropped before the first declaration") {
  BalancerHarness B(42, nullptr);
  B.open();
  CHECK(!B.LastToCaller_); // no service is known, so no socket is open
  CHECK(B.errorCount(ErrorKind::UnknownService) == 1U);
}

TEST_CASE("open below the minimum size is dropped") {
  BalancerHarness B;
  Message M;
  M.Kind_ = MessageKind::Open;
  B.fromCaller(M, Balancer::MinOpenSize - 1);
  CHECK(B.ToUpstreamCount_ == 0);
  CHECK(B.errorCount(ErrorKind::Malformed) == 1U);
}

TEST_CASE(
    "answer parts are relayed in any order, duplicates and late ones dropped") {
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

TEST_CASE("request without answer is cancelled and refused at its deadline") {
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

TEST_CASE("upstream's refusal is relayed, as not run only for the sole copy") {
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
  CHECK(!notRun(B)); // other balancers may dispatch copies
}

TEST_CASE("past and too distant deadlines are refused without dispatch") {
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
  M.Deadline_ = B.now().Wall_ + milliseconds(2100); // beyond 1 s and clock skew
  B.fromCaller(M);
  CHECK(B.LastToCaller_->Message_.Reason_ == ErrorKind::DeadlineTooFar);
  CHECK(!notRun(B));
}

TEST_CASE(
    "in-flight count returns to 0 after a number is reused as repeatable") {
  BalancerHarness B(42, makeDeclaration(1, 1, R"("in_flight_per_slot": 2,)"));
  B.openFlow();
  B.fromCaller(B.request(1));
  B.reply(MessageKind::Answer);
  B.fromCaller(B.request(1, true)); // the row of the first one is still kept
  B.reply(MessageKind::Answer);
  CHECK(B.Core_.status().Upstreams_[0].InFlight_ == 0U);
}

TEST_CASE("requests beyond the in-flight limit are refused as overloaded") {
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

TEST_CASE("refused open is retried elsewhere only within the retry budget") {
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

TEST_CASE("request without a route or with a forged one is not dispatched") {
  BalancerHarness B;
  B.openFlow();
  int Before = B.ToUpstreamCount_;
  Message M = B.request(1, true);
  M.Route_ = {};
  B.fromCaller(M);
  CHECK(B.LastToCaller_->Message_.Reason_ == ErrorKind::RouteRequired);
  CHECK(!notRun(B));
  SignedRoute Forged = B.Route_;
  Forged.Bytes_[10] ^= 1;
  M.Route_ = Forged.bytes();
  int RepliesBefore = B.ToCallerCount_;
  B.fromCaller(M);
  CHECK(B.ToCallerCount_ == RepliesBefore);
  CHECK(B.ToUpstreamCount_ == Before);
  CHECK(B.errorCount(ErrorKind::ForgedRoute) == 1U);
}

TEST_CASE("home that lost a flow's row does not run an old request number") {
  BalancerHarness B;
  B.openFlow();
  Message First = B.request(1);
  First.Deadline_ = {};
  B.fromCaller(First);
  B.reply(MessageKind::Answer);
  for (int I = 0; I < 4100; ++I) { // longer than the idle timeout
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

TEST_CASE("upstream's replies to an earlier attempt are dropped") {
  BalancerHarness B;
  B.openFlow();
  B.fromCaller(B.request(1, true));
  ToUpstream Earlier = *B.LastToUpstream_;
  B.fromCaller(B.request(1, true)); // the caller retries
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

TEST_CASE(
    "request is forwarded to its home, refused if the home is unreachable") {
  BalancerHarness Home;
  Home.openFlow();
  BalancerHarness Other(43);
  Other.Core_.handle(Other.now(),
                     FromCaller{CallerAddress, Home.request(1), 200},
                     Other.Sink_);
  CHECK(!Other.LastToPeer_); // service 0 is unknown
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

TEST_CASE("ping moves a flow from a dead home to another balancer") {
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
  CHECK(!Other.LastToCaller_); // the home is alive
  Other.advance(std::chrono::seconds(6));
  Other.fromCaller(Ping);
  REQUIRE(Other.LastToCaller_);
  CHECK(Other.LastToCaller_->Message_.Kind_ == MessageKind::Moved);
  Other.Route_ = Other.LastRoute_;
  int Before = Other.ToUpstreamCount_;
  Other.fromCaller(Other.request(1));
  CHECK(Other.ToUpstreamCount_ == Before + 1);
  Other.fromCaller(Home.request(1)); // a duplicate with the old route
  CHECK(Other.ToUpstreamCount_ == Before + 1);
  Other.handle(
      HeartbeatReceived{BalancerId{1}, HomeAt, Incarnation{42}, false});
  Other.fromCaller(Ping);
  CHECK(Other.Core_.counters().Moved_ == 1U);
}

TEST_CASE("resumed process rereads the declaration before it places flows") {
  BalancerHarness B;
  B.advance(milliseconds(50));
  B.pauseProcess(std::chrono::seconds(5));
  B.open();
  CHECK(B.RefreshId_ == 1U);
  CHECK(B.ToUpstreamCount_ == 0);
  CHECK(B.LastToCaller_->Message_.Reason_ == ErrorKind::NotReady);
  B.handle(DeclarationUnchanged{}); // sent before the suspension
  B.open();
  CHECK(B.ToUpstreamCount_ == 0);
  B.handle(DeclarationUnchanged{B.RefreshId_});
  B.open();
  CHECK(B.ToUpstreamCount_ == 1);
}

TEST_CASE(
    "resumed process uses the old declaration if no source answers in 3 s") {
  BalancerHarness B;
  B.advance(milliseconds(50));
  B.pauseProcess(std::chrono::seconds(5));
  B.advance(std::chrono::seconds(3) + 2 * Balancer::TickInterval);
  B.open();
  CHECK(B.ToUpstreamCount_ == 1);
}

TEST_CASE("older declaration does not replace a newer one") {
  BalancerHarness B(42, makeDeclaration(5, 2));
  B.handle(DeclarationRead{makeDeclaration(4, 1)});
  CHECK(B.Core_.status().DeclarationVersion_ == 5U);
  B.handle(DeclarationRead{makeDeclaration(6, 1)});
  CHECK(B.Core_.status().DeclarationVersion_ == 6U);
}

TEST_CASE("upstream marked as leaving in the host list gets no new flow") {
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

TEST_CASE(
    "requests are not sent to an address reassigned to another upstream") {
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

TEST_CASE("stopping balancer forwards opens to a peer") {
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

TEST_CASE("datagram from an unknown upstream is dropped") {
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

/// \file
/// Upstreams whose answers are far shorter than an address gives: which answers
/// are short, and which upstreams get no new flows for them.
#include "packets.h"
#include "thymewall/answer-sizes.h"

#include <cmath>
#include <doctest/doctest.h>
#include <random>
#include <set>

using namespace thymewall;
using namespace thymewall::test;
using namespace std::chrono_literals;

namespace {

const Endpoint Address = Endpoint::v4(0xc6120001, 443);
constexpr std::uint32_t ErrorBytes = 171;

/// Answers of an address, by the first acknowledgement after a request.
using Sizes = std::function<std::uint32_t(std::mt19937_64 &)>;

std::uint32_t lognormal(std::mt19937_64 &Random, double Mean, double Spread) {
  std::lognormal_distribution<double> Draw(std::log(Mean), Spread);
  return static_cast<std::uint32_t>(std::max(1.0, Draw(Random)));
}

std::uint32_t metadata(std::mt19937_64 &Random) {
  return 200 + lognormal(Random, 1400, 0.5);
}

/// A fleet that tells each other every warning at once, and callers whose flows
/// each carry one request.
class Fleet {
public:
  Fleet(std::size_t Balancers, std::size_t Upstreams, Sizes Right)
      : Right_(std::move(Right)), Failing_(Upstreams + 1, 0) {
    std::vector<UpstreamChange> Changes;
    for (std::uint64_t Id = 1; Id <= Upstreams; ++Id)
      Changes.push_back(up(Id, Index));
    for (std::size_t I = 0; I < Balancers; ++I) {
      Balancers_.push_back(PacketBalancerBuilder()
                               .onWarning([this, I](const UpstreamWarning &M) {
                                 Told_.emplace_back(I, M);
                               })
                               .onBelief([this](const Belief &B) {
                                 if (B.Kind_ == Belief::Kind::Failing)
                                   Verdicts_.insert(raw(B.Upstream_));
                               })
                               .build());
      PacketBalancer &B = Balancers_.back();
      B.setRouting(at(0ms), table(1, {{IndexAt, Index}}));
      B.applyUpstreams(at(0ms), Changes);
      B.confirm(at(0ms));
      B.setFleetSize(Balancers);
    }
  }

  /// The share of its answers that an upstream gives as errors from now on.
  void fail(std::uint64_t Upstream, double Share) {
    Failing_[Upstream] = Share;
  }
  void setSizes(Sizes Right) { Right_ = std::move(Right); }

  /// So many requests a second for so long; gives those that failed.
  std::size_t run(Micros For, double PerSecond) {
    Micros Until = Now_ + For;
    std::exponential_distribution<double> Gap(PerSecond);
    std::size_t Failed = 0;
    while (Now_ < Until) {
      Now_ += Micros(static_cast<Micros::rep>(1e6 * Gap(Random_)) + 1);
      tick();
      Failed += request() ? 0 : 1;
    }
    return Failed;
  }

  const std::set<std::uint64_t> &verdicts() const { return Verdicts_; }

private:
  MonoTime clock() const { return at(0ms) + Now_; }

  void tick() {
    if (Now_ < NextTick_)
      return;
    NextTick_ = Now_ + 250ms;
    for (PacketBalancer &B : Balancers_)
      B.tick(clock());
  }

  bool request() {
    std::size_t Which = Random_() % Balancers_.size();
    PacketBalancer &B = Balancers_[Which];
    std::uint16_t Port = ++Port_;
    Verdict V = B.steer(clock(), opening(Port));
    const Forward *F = forwarded(V);
    REQUIRE(F);
    std::uniform_real_distribution<double> Draw(0, 1);
    bool Fails = Draw(Random_) < Failing_[raw(F->Upstream_)];
    std::uint32_t Bytes = Fails ? ErrorBytes : Right_(Random_);
    B.steer(clock(), following(Port, F->Cookie_, 1, 100));
    Packet End = following(Port, F->Cookie_, 1 + Bytes);
    End.Finishes_ = true;
    B.steer(clock(), End);
    for (const auto &[From, M] : Told_)
      for (std::size_t I = 0; I < Balancers_.size(); ++I)
        if (I != From)
          Balancers_[I].warned(clock(), M);
    Told_.clear();
    return !Fails;
  }

  Sizes Right_;
  std::vector<double> Failing_; ///< By upstream.
  std::vector<PacketBalancer> Balancers_;
  std::vector<std::pair<std::size_t, UpstreamWarning>> Told_;
  std::set<std::uint64_t> Verdicts_;
  std::mt19937_64 Random_{7};
  Micros Now_{};
  Micros NextTick_{};
  std::uint16_t Port_ = 0;
};

struct Size {
  std::size_t Balancers_;
  std::size_t Upstreams_;
  double PerSecond_;
};
/// The deployments' own figures: requests with an answer that is judged.
constexpr Size Fleets[] = {{8, 14, 375}, {90, 120, 1400}, {295, 480, 2800}};

} // namespace

TEST_CASE("an answer of less than half of the shortest usual one is short") {
  AnswerSizes Known;
  std::mt19937_64 Random(3);
  for (std::uint32_t I = 0; I < AnswerSizes::MinSamples - 1; ++I)
    Known.isShort(Address, metadata(Random));
  CHECK_FALSE(Known.isShort(Address, ErrorBytes)); // too few are known
  for (std::uint32_t I = 0; I < 1000; ++I)
    CHECK_FALSE(Known.isShort(Address, metadata(Random)));
  CHECK(Known.isShort(Address, ErrorBytes));
  CHECK_FALSE(Known.isShort(Endpoint::v4(0xc6120001, 80), ErrorBytes));
}

TEST_CASE(
    "a fifth of errors does not become usual, but a change of all answers "
    "does") {
  AnswerSizes Known;
  std::mt19937_64 Random(3);
  for (int I = 0; I < 1000; ++I)
    Known.isShort(Address, metadata(Random));
  for (int I = 0; I < 5000; ++I)
    Known.isShort(Address, I % 5 == 0 ? ErrorBytes : metadata(Random));
  CHECK(Known.isShort(Address, ErrorBytes));
  for (int I = 0; I < 300; ++I)
    Known.isShort(Address, ErrorBytes + I % 20);
  CHECK_FALSE(Known.isShort(Address, ErrorBytes));
}

TEST_CASE("where right answers are small once in a hundred, none is short") {
  AnswerSizes Known;
  std::mt19937_64 Random(3);
  for (int I = 0; I < 2000; ++I)
    Known.isShort(Address, I % 50 == 0 ? ErrorBytes : metadata(Random));
  CHECK_FALSE(Known.isShort(Address, ErrorBytes));
}

TEST_CASE("a fifth of a service that answers by errors gets few flows") {
  for (const Size &S : Fleets) {
    CAPTURE(S.Balancers_);
    Fleet F(S.Balancers_, S.Upstreams_, metadata);
    F.run(15s, S.PerSecond_);
    REQUIRE(F.verdicts().empty());
    for (std::uint64_t Id = 1; Id <= S.Upstreams_ / 5; ++Id)
      F.fail(Id, 1);
    std::size_t Failed = F.run(7s, S.PerSecond_);
    double Drawn = 7 * S.PerSecond_ / 5;
    CHECK(static_cast<double>(Failed) < 0.3 * Drawn);
    for (std::uint64_t Id : F.verdicts())
      CHECK(Id <= S.Upstreams_ / 5);
  }
}

TEST_CASE("on a calm day no upstream that is well is held to be failing, "
          "whatever it answers") {
  struct Mix {
    std::string Name_;
    Sizes Right_;
  };
  const std::vector<Mix> Mixes = {
      {"of one size", [](std::mt19937_64 &) { return 797U; }},
      {"spread", metadata},
      {"spread widely",
       [](std::mt19937_64 &R) { return lognormal(R, 2000, 1.5); }},
      {"one in 30 is small",
       [](std::mt19937_64 &R) {
         return R() % 30 == 0 ? ErrorBytes : metadata(R);
       }},
      {"one in 300 is small", [](std::mt19937_64 &R) {
         return R() % 300 == 0 ? ErrorBytes : metadata(R);
       }}};
  for (const Size &S : Fleets)
    for (const Mix &M : Mixes) {
      CAPTURE(S.Balancers_);
      CAPTURE(M.Name_);
      Fleet F(S.Balancers_, S.Upstreams_, M.Right_);
      F.run(20s, S.PerSecond_);
      // Chance may put one aside for 2 s.
      CHECK(F.verdicts().size() <= S.Upstreams_ / 100);
    }
}

TEST_CASE("full queues that turn some callers away put nobody aside") {
  for (const Size &S : Fleets) {
    CAPTURE(S.Balancers_);
    Fleet F(S.Balancers_, S.Upstreams_, metadata);
    F.run(15s, S.PerSecond_);
    for (std::uint64_t Id = 1; Id <= S.Upstreams_; ++Id)
      F.fail(Id, 0.02);
    F.run(5s, S.PerSecond_);
    CHECK(F.verdicts().size() <= S.Upstreams_ / 20);
  }
}

TEST_CASE("a whole service that fails alike is served on by all of it") {
  for (const Size &S : Fleets) {
    CAPTURE(S.Balancers_);
    Fleet F(S.Balancers_, S.Upstreams_, metadata);
    F.run(15s, S.PerSecond_);
    for (std::uint64_t Id = 1; Id <= S.Upstreams_; ++Id)
      F.fail(Id, 1);
    F.run(10s, S.PerSecond_);
    // What the address gives now is learnt, and nothing is short any more.
    F.setSizes([](std::mt19937_64 &) { return ErrorBytes; });
    std::size_t Before = F.verdicts().size();
    F.run(5s, S.PerSecond_);
    CHECK(F.verdicts().size() <= Before);
  }
}

/// \file
/// Which answers count as short, and which upstreams are ejected because of
/// short answers, such as error pages.
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

/// Draws the size of an answer, in bytes.
using SizeModel = std::function<std::uint32_t(std::mt19937_64 &)>;

std::uint32_t lognormal(std::mt19937_64 &Random, double Mean, double Spread) {
  std::lognormal_distribution<double> Draw(std::log(Mean), Spread);
  return static_cast<std::uint32_t>(std::max(1.0, Draw(Random)));
}

std::uint32_t metadataSize(std::mt19937_64 &Random) {
  return 200 + lognormal(Random, 1400, 0.5);
}

/// Balancers that exchange warnings without delay, and callers that send one
/// request on each flow.
class Fleet {
public:
  Fleet(std::size_t Balancers, std::size_t Upstreams, SizeModel AnswerSize)
      : AnswerSize_(std::move(AnswerSize)), ErrorShare_(Upstreams + 1, 0) {
    std::vector<UpstreamChange> Changes;
    for (std::uint64_t Id = 1; Id <= Upstreams; ++Id)
      Changes.push_back(publishedUpstream(Id, IndexService));
    for (std::size_t I = 0; I < Balancers; ++I) {
      Balancers_.push_back(PacketBalancerBuilder()
                               .onWarning([this, I](const UpstreamWarning &M) {
                                 Warnings_.emplace_back(I, M);
                               })
                               .onUpstreamEvent([this](const UpstreamEvent &B) {
                                 if (B.Kind_ == UpstreamEvent::Kind::Failing)
                                   Ejected_.insert(raw(B.Upstream_));
                               })
                               .build());
      PacketBalancer &B = Balancers_.back();
      B.setRouting(at(0ms), routingTable(1, {{IndexAddress, IndexService}}));
      B.applyUpstreams(at(0ms), Changes);
      B.confirmUpTo(at(0ms));
      B.setFleetSize(Balancers);
    }
  }

  /// Makes an upstream answer a share of its requests with errors.
  void setErrorShare(std::uint64_t Upstream, double Share) {
    ErrorShare_[Upstream] = Share;
  }
  void setSizeModel(SizeModel AnswerSize) {
    AnswerSize_ = std::move(AnswerSize);
  }

  /// Sends requests for some time; returns the number of errors.
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

  const std::set<std::uint64_t> &ejected() const { return Ejected_; }

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
    Verdict V = B.steer(clock(), openingPacket(Port));
    const Forward *F = asForward(V);
    REQUIRE(F);
    std::uniform_real_distribution<double> Draw(0, 1);
    bool Fails = Draw(Random_) < ErrorShare_[raw(F->Upstream_)];
    std::uint32_t Bytes = Fails ? ErrorBytes : AnswerSize_(Random_);
    B.steer(clock(), flowPacket(Port, F->Cookie_, 1, 100));
    Packet End = flowPacket(Port, F->Cookie_, 1 + Bytes);
    End.Finishes_ = true;
    B.steer(clock(), End);
    for (const auto &[From, M] : Warnings_)
      for (std::size_t I = 0; I < Balancers_.size(); ++I)
        if (I != From)
          Balancers_[I].onPeerWarning(clock(), M);
    Warnings_.clear();
    return !Fails;
  }

  SizeModel AnswerSize_;
  std::vector<double> ErrorShare_; ///< By upstream.
  std::vector<PacketBalancer> Balancers_;
  std::vector<std::pair<std::size_t, UpstreamWarning>> Warnings_;
  std::set<std::uint64_t> Ejected_;
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
/// Fleet sizes and rates of classified answers.
constexpr Size Fleets[] = {{8, 14, 375}, {90, 120, 1400}, {295, 480, 2800}};

} // namespace

constexpr Incarnation Any{1};

TEST_CASE("an answer below half of the shortest usual size is short") {
  AnswerSizes Sizes;
  std::mt19937_64 Random(3);
  for (std::uint32_t I = 0; I < AnswerSizes::MinSamples - 1; ++I)
    Sizes.recordAndCheckShort(Address, Any, metadataSize(Random));
  CHECK_FALSE(
      Sizes.recordAndCheckShort(Address, Any, ErrorBytes)); // too few samples
  for (std::uint32_t I = 0; I < 1000; ++I)
    CHECK_FALSE(Sizes.recordAndCheckShort(Address, Any, metadataSize(Random)));
  CHECK(Sizes.recordAndCheckShort(Address, Any, ErrorBytes));
  CHECK_FALSE(
      Sizes.recordAndCheckShort(Endpoint::v4(0xc6120001, 80), Any, ErrorBytes));
}

TEST_CASE("the baseline ignores errors in a fifth of the answers but follows "
          "a change of all answers") {
  AnswerSizes Sizes;
  std::mt19937_64 Random(3);
  for (int I = 0; I < 1000; ++I)
    Sizes.recordAndCheckShort(Address, Any, metadataSize(Random));
  for (int I = 0; I < 5000; ++I)
    Sizes.recordAndCheckShort(Address, Any,
                              I % 5 == 0 ? ErrorBytes : metadataSize(Random));
  CHECK(Sizes.recordAndCheckShort(Address, Any, ErrorBytes));
  for (int I = 0; I < 300; ++I)
    Sizes.recordAndCheckShort(Address, Any, ErrorBytes + I % 20);
  CHECK_FALSE(Sizes.recordAndCheckShort(Address, Any, ErrorBytes));
}

TEST_CASE("an upstream that gives most of the answers doesn't change what is "
          "usual") {
  AnswerSizes Sizes;
  std::mt19937_64 Random(3);
  auto Upstream = [](int I) {
    return Incarnation{2 + static_cast<std::uint64_t>(I) % 7};
  };
  for (int I = 0; I < 1000; ++I)
    Sizes.recordAndCheckShort(Address, Upstream(I), metadataSize(Random));
  // It fails at once, and the others are busy.
  for (int I = 0; I < 500; ++I) {
    CHECK(Sizes.recordAndCheckShort(Address, Incarnation{1}, ErrorBytes));
    if (I % 5 == 0)
      Sizes.recordAndCheckShort(Address, Upstream(I), metadataSize(Random));
  }
  CHECK(Sizes.discardedBaselines() == 0);
  // All give other answers.
  for (int I = 0; I < 300; ++I)
    Sizes.recordAndCheckShort(Address, Upstream(I), ErrorBytes + I % 20);
  CHECK_FALSE(Sizes.recordAndCheckShort(Address, Upstream(0), ErrorBytes));
  CHECK(Sizes.discardedBaselines() == 1);
}

TEST_CASE("no answer is short if one in fifty regular answers is as small") {
  AnswerSizes Sizes;
  std::mt19937_64 Random(3);
  for (int I = 0; I < 2000; ++I)
    Sizes.recordAndCheckShort(Address, Any,
                              I % 50 == 0 ? ErrorBytes : metadataSize(Random));
  CHECK_FALSE(Sizes.recordAndCheckShort(Address, Any, ErrorBytes));
}

TEST_CASE(
    "if a fifth of the upstreams answers with errors, it gets few flows") {
  for (const Size &S : Fleets) {
    CAPTURE(S.Balancers_);
    Fleet F(S.Balancers_, S.Upstreams_, metadataSize);
    F.run(15s, S.PerSecond_);
    REQUIRE(F.ejected().empty());
    for (std::uint64_t Id = 1; Id <= S.Upstreams_ / 5; ++Id)
      F.setErrorShare(Id, 1);
    std::size_t Failed = F.run(7s, S.PerSecond_);
    double Drawn = 7 * S.PerSecond_ / 5;
    CHECK(static_cast<double>(Failed) < 0.3 * Drawn);
    for (std::uint64_t Id : F.ejected())
      CHECK(Id <= S.Upstreams_ / 5);
  }
}

TEST_CASE("healthy upstreams are not ejected, whatever the sizes of their "
          "answers") {
  struct Mix {
    std::string Name_;
    SizeModel AnswerSize_;
  };
  const std::vector<Mix> Mixes = {
      {"of one size", [](std::mt19937_64 &) { return 797U; }},
      {"spread", metadataSize},
      {"spread widely",
       [](std::mt19937_64 &R) { return lognormal(R, 2000, 1.5); }},
      {"one in 30 is small",
       [](std::mt19937_64 &R) {
         return R() % 30 == 0 ? ErrorBytes : metadataSize(R);
       }},
      {"one in 300 is small", [](std::mt19937_64 &R) {
         return R() % 300 == 0 ? ErrorBytes : metadataSize(R);
       }}};
  for (const Size &S : Fleets)
    for (const Mix &M : Mixes) {
      CAPTURE(S.Balancers_);
      CAPTURE(M.Name_);
      Fleet F(S.Balancers_, S.Upstreams_, M.AnswerSize_);
      F.run(20s, S.PerSecond_);
      // Some false positives are allowed.
      CHECK(F.ejected().size() <= S.Upstreams_ / 100);
    }
}

TEST_CASE("upstreams with a few errors from full queues are not ejected") {
  for (const Size &S : Fleets) {
    CAPTURE(S.Balancers_);
    Fleet F(S.Balancers_, S.Upstreams_, metadataSize);
    F.run(15s, S.PerSecond_);
    for (std::uint64_t Id = 1; Id <= S.Upstreams_; ++Id)
      F.setErrorShare(Id, 0.02);
    F.run(5s, S.PerSecond_);
    CHECK(F.ejected().size() <= S.Upstreams_ / 20);
  }
}

TEST_CASE(
    "no more upstreams are ejected once all of a service answers with errors") {
  for (const Size &S : Fleets) {
    CAPTURE(S.Balancers_);
    Fleet F(S.Balancers_, S.Upstreams_, metadataSize);
    F.run(15s, S.PerSecond_);
    for (std::uint64_t Id = 1; Id <= S.Upstreams_; ++Id)
      F.setErrorShare(Id, 1);
    F.run(10s, S.PerSecond_);
    // The errors have become the baseline, so that none is short.
    F.setSizeModel([](std::mt19937_64 &) { return ErrorBytes; });
    std::size_t Before = F.ejected().size();
    F.run(5s, S.PerSecond_);
    CHECK(F.ejected().size() <= Before);
  }
}

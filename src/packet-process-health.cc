#include "packet-process-impl.h"

#include "clock.h"

#include <charconv>

namespace thymewall::detail {

namespace {

/// The payload of a ping is the time at which it was sent.
std::string pingPayload(MonoTime Now) {
  return std::to_string(Now.time_since_epoch().count());
}

} // namespace

MonoTime PacketProcess::Impl::probePeers() {
  MonoTime Now = monoNow();
  if (Probes_.shouldProbe(Now)) {
    Links_.pingAll(pingPayload(Now));
    Health_.pingedAll(Now);
  }
  return Probes_.lastProbeAt();
}

void PacketProcess::Impl::onPong(LinkId Link, const std::string &Bytes) {
  Micros::rep Payload = 0;
  const char *End = Bytes.data() + Bytes.size();
  if (std::from_chars(Bytes.data(), End, Payload).ec != std::errc())
    return;
  MonoTime Now = monoNow();
  MonoTime PingedAt{Micros(Payload)};
  Probes_.recordAnswer(PingedAt, Now);
  Health_.answered(Now, Link, PingedAt);
}

void PacketProcess::Impl::updateHealth(MonoTime Now) {
  if (!Settings_.StepsBack_) {
    StepBack_ = StepBack{};
    Health_.reset();
    return Gossip_.setImpairment(0);
  }
  std::uint8_t Before = Health_.health().Impairment_;
  for (LinkId Link : Health_.tick(Now, NextTick_))
    Links_.ping(Link, pingPayload(Now));
  const HostHealth &Health = Health_.health();
  if (Before == 0 && Health.Impairment_ != 0)
    logHostImpaired(Health);
  StepBack::Change Change = StepBack_.update(
      Now, Health.Impairment_, Gossip_.hallView(Now), Health.Answered_);
  if (Change != StepBack::Change::None)
    logStepBack(Change, Health, StepBack_);
  Gossip_.setImpairment(StepBack_.reportedImpairment());
}

} // namespace thymewall::detail

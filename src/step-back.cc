#include "thymewall/step-back.h"

#include "mechanism.h"
#include "member-list.h"

#include <algorithm>

namespace thymewall {

using detail::MemberList;

Micros StepBack::silentAfter(std::size_t FleetSize) {
  constexpr Micros Base = std::chrono::seconds(2);
  constexpr Micros PerBalancer = std::chrono::milliseconds(150);
  auto Size = static_cast<Micros::rep>(FleetSize);
  return std::min(Base + PerBalancer * Size, MemberList::MemberTimeout);
}

StepBack::Change StepBack::update(MonoTime Now, std::uint8_t Impairment,
                                  const HallView &Hall, bool PeersAnswer) {
  SelfHash_ = Hall.SelfHash_;
  noteImpairment(Now, Impairment, Hall);
  findPlace(Now, Hall);
  if (!SteppedBack_) {
    bool HasPlace = Place_.Ahead_ < Place_.Limit_;
    bool Waits = WaitsForOthers_ && !allHaveHeard(Now);
    if (ClaimedImpairment_ == 0 || !PeersAnswer || !HasPlace || Waits ||
        !detail::isEnabled(detail::Mechanism::StepBack))
      return Change::None;
    SteppedBack_ = true;
    return Change::SteppedBack;
  }
  bool Recovered =
      ClaimedImpairment_ == 0 && Now - HealthySince_ >= returnDelay();
  // One that stays can't make more than half not ready. The margin above the
  // limit keeps balancers from leaving and returning as members' records expire
  // and are renewed.
  bool Stays = Place_.Ahead_ < Place_.HallSize_ / 2;
  if (!Recovered && Stays)
    return Change::None;
  SteppedBack_ = false;
  HasReturned_ = true;
  ReturnedAt_ = Now;
  return Change::Returned;
}

void StepBack::noteImpairment(MonoTime Now, std::uint8_t Impairment,
                              const HallView &Hall) {
  bool WasImpaired = ClaimedImpairment_ != 0;
  if (Impairment == 0) {
    if (WasImpaired)
      HealthySince_ = Now;
    ClaimedImpairment_ = 0;
    if (Now - HealthySince_ >= ForgetRelapsesAfter)
      HealthyTime_ = MinHealthyTime;
    return;
  }
  if (WasImpaired)
    return;
  ClaimedImpairment_ = Impairment;
  ImpairedSince_ = Now;
  std::size_t SteppedBack = 0;
  WaitsForOthers_ = false;
  for (const HallMember &M : Hall.Members_) {
    SteppedBack += M.Impairment_ == SteppedBackImpairment ? 1 : 0;
    if (M.Impairment_ != 0 && M.Age_ > DetectionSpread)
      WaitsForOthers_ = true;
  }
  if (SteppedBack > 0 && 2 * SteppedBack >= Place_.Limit_)
    WaitsForOthers_ = true;
  if (HasReturned_ && Now - ReturnedAt_ < RelapseTime)
    HealthyTime_ = std::min(2 * HealthyTime_, MaxHealthyTime);
}

void StepBack::findPlace(MonoTime Now, const HallView &Hall) {
  Micros SilentAfter = silentAfter(Hall.FleetSize_);
  std::size_t Gone = countGone(Now, Hall);
  Place_.HallSize_ = 1 + Hall.Members_.size() + Gone;
  Place_.Limit_ = Place_.HallSize_ * MaxNotReadyPercent / 100;
  Place_.Ahead_ = Gone;
  for (const HallMember &M : Hall.Members_)
    if (M.Age_ > SilentAfter || isAhead(Now, M))
      ++Place_.Ahead_;
}

bool StepBack::isAhead(MonoTime Now, const HallMember &M) const {
  bool HashFirst = M.Hash_ < SelfHash_;
  bool MemberSteppedBack = M.Impairment_ == SteppedBackImpairment;
  if (!M.Reports_)
    return false;
  // Of more balancers than should have stepped back, the last in the order of
  // hashes return.
  if (SteppedBack_)
    return MemberSteppedBack && HashFirst;
  if (MemberSteppedBack)
    return true;
  if (M.Impairment_ == 0) {
    bool KnownHealthy = Now - M.Age_ >= ImpairedSince_ + DetectionSpread;
    return (HashFirst || WaitsForOthers_) && !KnownHealthy;
  }
  bool Worse = M.Impairment_ != ClaimedImpairment_
                   ? M.Impairment_ > ClaimedImpairment_
                   : HashFirst;
  return Worse || (HashFirst && !allHaveHeard(Now));
}

std::size_t StepBack::countGone(MonoTime Now, const HallView &Hall) {
  for (const HallMember &M : Hall.Members_)
    RememberUntil_[M.Hash_] = Now + RememberGone;
  std::size_t Gone = 0;
  for (auto Item = RememberUntil_.begin(); Item != RememberUntil_.end();) {
    if (Now >= Item->second) {
      Item = RememberUntil_.erase(Item);
      continue;
    }
    Gone += Item->second < Now + RememberGone ? 1 : 0;
    ++Item;
  }
  return Gone;
}

/// Hashes are uniformly distributed, so their highest bits spread the returns.
Micros StepBack::returnDelay() const {
  auto Share = static_cast<Micros::rep>(SelfHash_ >> 44);
  return HealthyTime_ + Micros(ReturnSpread.count() * Share >> 20);
}

} // namespace thymewall

#include "member-list.h"

#include "mechanism.h"
#include "peer-choice.h"
#include "thymewall/step-back.h"

#include <algorithm>

namespace thymewall::detail {

namespace {

/// Removes members that are no longer listed anywhere.
void expireOld(KnownByPeer &Peer, MonoTime Now) {
  for (auto Item = Peer.begin(); Item != Peer.end();) {
    bool Old = Now - Item->second > MemberList::MemberTimeout;
    Item = Old ? Peer.erase(Item) : std::next(Item);
  }
}

} // namespace

std::uint32_t ageMs(MonoTime At, MonoTime Now) {
  auto Age = std::chrono::ceil<std::chrono::milliseconds>(Now - At);
  return static_cast<std::uint32_t>(std::max<std::int64_t>(Age.count(), 0));
}

bool isWorseImpairment(std::uint8_t Before, std::uint8_t Now) {
  bool BecameImpaired = Before == 0 && Now != 0;
  bool SteppedBack = Before != StepBack::SteppedBackImpairment &&
                     Now == StepBack::SteppedBackImpairment;
  return BecameImpaired || SteppedBack;
}

void MemberList::learn(MonoTime Now, const Member &Reported) {
  if (Reported.Name_ == Self_)
    return;
  MonoTime AliveAt = Now - std::chrono::milliseconds(Reported.AgeMs_);
  if (Now - AliveAt > MemberTimeout)
    return;
  auto [Item, Added] = Members_.try_emplace(Reported.Name_);
  Record &Known = Item->second;
  if (Added) {
    Known.FirstHeardAt_ = Now;
    Forgotten_.erase(readerScore(Reported.Name_));
  }
  if (Known.AliveAt_ >= AliveAt)
    return;
  // What a starting balancer learns is no news to the fleet.
  if (Known.Member_.LoadTold_ && Reported.LoadTold_ &&
      isWorseImpairment(Known.Member_.Impairment_, Reported.Impairment_))
    Worsened_.insert(Reported.Name_);
  bool KeepsReport = !Reported.LoadTold_ && Known.Member_.LoadTold_ &&
                     AliveAt - Known.ReportedAt_ <= MemberTimeout;
  Member Before = std::move(Known.Member_);
  Known.Member_ = Reported;
  if (KeepsReport) {
    Known.Member_.LoadTold_ = true;
    Known.Member_.Load_ = std::move(Before.Load_);
    Known.Member_.Impairment_ = Before.Impairment_;
  } else {
    Known.ReportedAt_ = AliveAt;
  }
  Known.Score_ = readerScore(Reported.Name_);
  Known.AliveAt_ = AliveAt;
}

void MemberList::expireSilent(MonoTime Now) {
  for (auto Item = Members_.begin(); Item != Members_.end();) {
    bool Silent = Now - Item->second.AliveAt_ > MemberTimeout;
    if (Silent)
      Forgotten_[Item->second.Score_] = Now + MemberTimeout;
    Item = Silent ? Members_.erase(Item) : std::next(Item);
  }
  for (auto Item = Forgotten_.begin(); Item != Forgotten_.end();)
    Item = Now >= Item->second ? Forgotten_.erase(Item) : std::next(Item);
}

void MemberList::avoid(const std::string &Name, MonoTime Until) {
  auto Item = Members_.find(Name);
  if (Item != Members_.end())
    Item->second.AvoidUntil_ = Until;
}

void MemberList::avoid(const Endpoint &Control, MonoTime Until) {
  for (auto &[Name, Known] : Members_)
    if (Known.Member_.Control_ == Control)
      Known.AvoidUntil_ = Until;
}

std::size_t
MemberList::countIf(const std::function<bool(const Member &)> &Wanted) const {
  std::size_t Count = 0;
  for (const auto &[Name, Known] : Members_)
    if (Wanted(Known.Member_))
      ++Count;
  return Count;
}

bool MemberList::isDataHallLost(MonoTime Now, const std::string &Hall) const {
  if (Members_.size() > MaxTrackedMembers ||
      !isEnabled(Mechanism::IsolatedHallWithdrawal))
    return false;
  std::map<std::string, HallCount> Halls;
  Halls[Hall] = {1, 1};
  for (const auto &[Name, Known] : Members_) {
    HallCount &Count = Halls[Known.Member_.DataHall_];
    ++Count.Total_;
    if (Now - Known.AliveAt_ <= AliveWithin)
      ++Count.Alive_;
  }
  auto Well = [&](const auto &Item) {
    return Item.first != Hall && !Item.second.mostlyDead();
  };
  return Halls[Hall].mostlyDead() &&
         std::any_of(Halls.begin(), Halls.end(), Well);
}

std::vector<Member> MemberList::all() const {
  std::vector<Member> Result;
  for (const auto &[Name, Known] : Members_)
    Result.push_back(Known.Member_);
  return Result;
}

std::vector<Member> MemberList::inHall(const std::string &Hall,
                                       MonoTime Now) const {
  std::vector<Member> Result;
  for (const auto &[Name, Known] : Members_) {
    if (Known.Member_.DataHall_ != Hall)
      continue;
    Result.push_back(Known.Member_);
    Result.back().AgeMs_ = ageMs(Known.AliveAt_, Now);
  }
  return Result;
}

std::vector<std::uint64_t> MemberList::hashes() const {
  std::vector<std::uint64_t> Result;
  for (const auto &[Name, Known] : Members_)
    Result.push_back(Known.Score_);
  return Result;
}

std::vector<MonoTime> MemberList::reportTimes() const {
  std::vector<MonoTime> Result;
  Result.reserve(Members_.size());
  for (const auto &[Name, Known] : Members_)
    Result.push_back(Known.AliveAt_);
  return Result;
}

std::vector<BalancerLoad> MemberList::loads() const {
  std::vector<BalancerLoad> Result;
  Result.reserve(Members_.size());
  for (const auto &[Name, Known] : Members_)
    Result.push_back({Known.Score_, Known.Member_.DataHall_,
                      Known.Member_.LoadTold_, Known.Member_.Load_});
  return Result;
}

std::vector<Member> MemberList::reachable(MonoTime Now) const {
  std::vector<Member> Result;
  for (const auto &[Name, Known] : Members_)
    if (Known.AvoidUntil_ <= Now)
      Result.push_back(Known.Member_);
  return Result;
}

bool MemberList::knowsMostMembers(MonoTime Now) const {
  std::size_t New = 0;
  for (const auto &[Name, Known] : Members_)
    New += Now - Known.FirstHeardAt_ < GrowthInterval ? 1 : 0;
  bool Growing = New > 1 && New * GrowthFraction > Members_.size();
  return Members_.size() + Forgotten_.size() <= MaxLoadMembers && !Growing &&
         fleetSize() <= 3 * (Members_.size() + 1);
}

std::vector<Member> MemberList::newestFor(MonoTime Now, std::size_t Count,
                                          KnownByPeer &Peer) const {
  using Gain = std::pair<Micros, const Record *>;
  std::vector<Gain> Gains;
  for (const auto &[Name, Known] : Members_) {
    auto AtPeer = Peer.find(Known.Score_);
    MonoTime PeerKnows = AtPeer == Peer.end() ? MonoTime{} : AtPeer->second;
    if (Known.AliveAt_ - PeerKnows >= MinNewer)
      Gains.emplace_back(Known.AliveAt_ - PeerKnows, &Known);
  }
  auto End = Gains.begin() +
             static_cast<std::ptrdiff_t>(std::min(Count, Gains.size()));
  std::partial_sort(
      Gains.begin(), End, Gains.end(),
      [](const Gain &A, const Gain &B) { return A.first > B.first; });
  expireOld(Peer, Now);
  std::vector<Member> Result;
  for (auto Item = Gains.begin(); Item != End; ++Item) {
    const Record &Known = *Item->second;
    Result.push_back(Known.Member_);
    Result.back().AgeMs_ = ageMs(Known.AliveAt_, Now);
    Peer[Known.Score_] = Known.AliveAt_;
  }
  return Result;
}

std::vector<Member> MemberList::takeWorsened(MonoTime Now, std::size_t Count) {
  std::vector<Member> Result;
  while (!Worsened_.empty() && Result.size() < Count) {
    auto Item = Members_.find(*Worsened_.begin());
    Worsened_.erase(Worsened_.begin());
    if (Item == Members_.end())
      continue;
    Result.push_back(Item->second.Member_);
    Result.back().AgeMs_ = ageMs(Item->second.AliveAt_, Now);
  }
  return Result;
}

std::vector<const MemberList::Record *> MemberList::firstReaders() const {
  std::vector<const Record *> Records;
  for (const auto &[Name, Known] : Members_)
    Records.push_back(&Known);
  auto Middle = Records.begin() +
                static_cast<long>(std::min(FirstReaderCount, Records.size()));
  std::partial_sort(
      Records.begin(), Middle, Records.end(),
      [](const Record *A, const Record *B) { return A->Score_ < B->Score_; });
  Records.erase(Middle, Records.end());
  return Records;
}

std::vector<Member> MemberList::nextFirstReader(MonoTime Now) {
  if (tracksAllMembers())
    return {};
  std::vector<const Record *> First = firstReaders();
  const Record &Next = *First[NextFirstReader_++ % First.size()];
  Member Result = Next.Member_;
  Result.AgeMs_ = ageMs(Next.AliveAt_, Now);
  return {Result};
}

/// Scores are uniformly distributed, so the highest of the lowest scores gives
/// their density.
double MemberList::balancersPerScore() const {
  std::uint64_t Last = firstReaders().back()->Score_;
  return static_cast<double>(FirstReaderCount) / static_cast<double>(Last);
}

std::size_t MemberList::rankOf(std::uint64_t Score) const {
  std::size_t Before = 0;
  for (const auto &[Name, Known] : Members_)
    Before += Known.Score_ < Score ? 1 : 0;
  if (tracksAllMembers() || Before < FirstReaderCount)
    return Before;
  auto Estimate = static_cast<std::size_t>(balancersPerScore() *
                                           static_cast<double>(Score));
  return std::max(Before, Estimate);
}

std::size_t MemberList::fleetSize() const {
  std::size_t Tracked = Members_.size() + 1;
  if (tracksAllMembers())
    return Tracked;
  constexpr double Highest = 18446744073709551616.0; // 2^64
  auto Estimate = static_cast<std::size_t>(balancersPerScore() * Highest);
  return std::max(Tracked, Estimate);
}

} // namespace thymewall::detail

#include "member-list.h"

#include "mechanism.h"
#include "peer-choice.h"

#include <algorithm>

namespace thymewall::detail {

std::uint32_t ageMs(MonoTime At, MonoTime Now) {
  auto Age = std::chrono::duration_cast<std::chrono::milliseconds>(Now - At);
  return static_cast<std::uint32_t>(std::max<std::int64_t>(Age.count(), 0));
}

void MemberList::learn(MonoTime Now, const Member &Told) {
  if (Told.Name_ == Self_)
    return;
  MonoTime AliveAt = Now - std::chrono::milliseconds(Told.AgeMs_);
  if (Now - AliveAt > ForgetAfter)
    return;
  Row &Known = Known_[Told.Name_];
  if (Known.AliveAt_ >= AliveAt)
    return;
  Known.Member_ = Told;
  Known.Score_ = readerScore(Told.Name_);
  Known.AliveAt_ = AliveAt;
}

void MemberList::forgetSilent(MonoTime Now) {
  for (auto Item = Known_.begin(); Item != Known_.end();) {
    bool Silent = Now - Item->second.AliveAt_ > ForgetAfter;
    Item = Silent ? Known_.erase(Item) : std::next(Item);
  }
}

void MemberList::avoid(const std::string &Name, MonoTime Until) {
  auto Item = Known_.find(Name);
  if (Item != Known_.end())
    Item->second.AvoidUntil_ = Until;
}

void MemberList::avoid(const Endpoint &Control, MonoTime Until) {
  for (auto &[Name, Known] : Known_)
    if (Known.Member_.Control_ == Control)
      Known.AvoidUntil_ = Until;
}

std::size_t
MemberList::countIf(const std::function<bool(const Member &)> &Wanted) const {
  std::size_t Count = 0;
  for (const auto &[Name, Known] : Known_)
    if (Wanted(Known.Member_))
      ++Count;
  return Count;
}

bool MemberList::isDataHallLost(MonoTime Now, const std::string &Hall) const {
  if (Known_.size() > HeardOf || !has(Mechanism::LostHall))
    return false;
  std::map<std::string, HallCount> Halls;
  Halls[Hall] = {1, 1};
  for (const auto &[Name, Known] : Known_) {
    HallCount &Count = Halls[Known.Member_.DataHall_];
    ++Count.Known_;
    if (Now - Known.AliveAt_ <= LivesWithin)
      ++Count.Living_;
  }
  auto Well = [&](const auto &Item) {
    return Item.first != Hall && !Item.second.mostlyDead();
  };
  return Halls[Hall].mostlyDead() &&
         std::any_of(Halls.begin(), Halls.end(), Well);
}

std::vector<Member> MemberList::all() const {
  std::vector<Member> Result;
  for (const auto &[Name, Known] : Known_)
    Result.push_back(Known.Member_);
  return Result;
}

std::vector<Member> MemberList::reachable(MonoTime Now) const {
  std::vector<Member> Result;
  for (const auto &[Name, Known] : Known_)
    if (Known.AvoidUntil_ <= Now)
      Result.push_back(Known.Member_);
  return Result;
}

std::vector<Member> MemberList::inTurn(MonoTime Now, std::size_t Count) {
  std::vector<Member> Result;
  auto Next = Known_.upper_bound(LastInTurn_);
  for (std::size_t I = 0; I < std::min(Count, Known_.size()); ++I) {
    if (Next == Known_.end())
      Next = Known_.begin();
    Result.push_back(Next->second.Member_);
    Result.back().AgeMs_ = ageMs(Next->second.AliveAt_, Now);
    LastInTurn_ = Next->first;
    ++Next;
  }
  return Result;
}

std::vector<const MemberList::Row *> MemberList::firstRows() const {
  std::vector<const Row *> Rows;
  for (const auto &[Name, Known] : Known_)
    Rows.push_back(&Known);
  auto Middle =
      Rows.begin() + static_cast<long>(std::min(FirstKnown, Rows.size()));
  std::partial_sort(
      Rows.begin(), Middle, Rows.end(),
      [](const Row *A, const Row *B) { return A->Score_ < B->Score_; });
  Rows.erase(Middle, Rows.end());
  return Rows;
}

std::vector<Member> MemberList::firstInTurn(MonoTime Now) {
  if (hearsOfAll())
    return {};
  std::vector<const Row *> First = firstRows();
  const Row &Next = *First[NextFirst_++ % First.size()];
  Member Told = Next.Member_;
  Told.AgeMs_ = ageMs(Next.AliveAt_, Now);
  return {Told};
}

/// Scores are spread evenly: the last of the first ones tells how many
/// balancers there are up to it.
double MemberList::balancersPerScore() const {
  std::uint64_t Last = firstRows().back()->Score_;
  return static_cast<double>(FirstKnown) / static_cast<double>(Last);
}

std::size_t MemberList::placeOf(std::uint64_t Score) const {
  std::size_t Before = 0;
  for (const auto &[Name, Known] : Known_)
    Before += Known.Score_ < Score ? 1 : 0;
  if (hearsOfAll() || Before < FirstKnown)
    return Before;
  auto Judged = static_cast<std::size_t>(balancersPerScore() *
                                         static_cast<double>(Score));
  return std::max(Before, Judged);
}

std::size_t MemberList::fleetSize() const {
  std::size_t Heard = Known_.size() + 1;
  if (hearsOfAll())
    return Heard;
  constexpr double Highest = 18446744073709551616.0; // 2^64
  auto Judged = static_cast<std::size_t>(balancersPerScore() * Highest);
  return std::max(Heard, Judged);
}

} // namespace thymewall::detail

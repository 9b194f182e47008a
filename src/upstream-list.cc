#include "thymewall/upstream-list.h"

#include <algorithm>
#include <set>

namespace thymewall {

bool UpstreamList::apply(const UpstreamBatch &Batch,
                         std::vector<UpstreamChange> &Applied) {
  if (Batch.After_ > Through_)
    return false;
  for (const UpstreamChange &Change : Batch.Ended_)
    applyEnded(Change, Applied);
  if (Batch.Through_ <= Through_ && Through_ != 0)
    return true;
  for (const UpstreamChange &Change : Batch.Changes_)
    if (Change.At_ > Through_)
      applyOne(Change, Applied);
  if (Batch.Whole_)
    applyAbsences(Batch, Applied);
  Through_ = Batch.Through_;
  return true;
}

void UpstreamList::applyOne(const UpstreamChange &Change,
                            std::vector<UpstreamChange> &Applied) {
  auto Known = Entries_.find(Change.Incarnation_);
  bool Newer = Known == Entries_.end() || Known->second.At_ < Change.At_;
  if (!Newer)
    return;
  // What a start wrote may arrive after its successor's entry: held up by a
  // cut, it must not bring the earlier start back.
  std::uint64_t LastBorn = bornMs(Change.Incarnation_);
  std::uint64_t Born = Change.Entry_ ? Change.Entry_->BornMs_ : 0;
  bool EarlierStart = Born != 0 && Born < LastBorn;
  if (EarlierStart)
    return;
  // A start that has told its birth tells it always: else another wrote this.
  bool OtherWriter = Born == 0 && LastBorn != 0;
  if (Change.Entry_ && !OtherWriter) {
    if (Known == Entries_.end())
      forgetEnded(Change.Incarnation_);
    Entries_[Change.Incarnation_] = {Change.At_, *Change.Entry_};
    Applied.push_back(Change);
    return;
  }
  keepEnd(Change.Incarnation_, Change.At_);
  if (Known == Entries_.end())
    return;
  keepEnded(Known->first, Known->second);
  Entries_.erase(Known);
  Applied.push_back(Change);
}

void UpstreamList::applyEnded(const UpstreamChange &Change,
                              std::vector<UpstreamChange> &Applied) {
  Incarnation Which = Change.Incarnation_;
  bool Known = Entries_.count(Which) != 0 || hasEnded(Which);
  if (Known || !Change.Entry_)
    return;
  keepEnded(Which, {Change.At_, *Change.Entry_});
  Applied.push_back(Ended_.back());
}

void UpstreamList::applyAbsences(const UpstreamBatch &Batch,
                                 std::vector<UpstreamChange> &Applied) {
  std::set<Incarnation> Present(Batch.Unchanged_.begin(),
                                Batch.Unchanged_.end());
  for (const UpstreamChange &Change : Batch.Changes_)
    if (Change.Entry_)
      Present.insert(Change.Incarnation_);
  for (auto Item = Entries_.begin(); Item != Entries_.end();) {
    bool Absent = Present.count(Item->first) == 0 &&
                  !Batch.Same_.test(Item->second.Entry_.Part_);
    bool ListedLater = Item->second.At_ > Batch.Through_;
    if (!Absent || ListedLater) {
      ++Item;
      continue;
    }
    // When it ended is not known: the list's own revision is late enough.
    Applied.push_back({Item->first, Batch.Through_, std::nullopt});
    keepEnded(Item->first, Item->second);
    Item = Entries_.erase(Item);
  }
  // Ends between the old and the new revision were not told one by one.
  Ends_.clear();
  EndsKnownAfter_ = Batch.Through_;
}

void UpstreamList::keepEnd(Incarnation Which, Revision At) {
  Ends_[At] = Which;
  if (Ends_.size() <= KeptEnds)
    return;
  EndsKnownAfter_ = Ends_.begin()->first;
  Ends_.erase(Ends_.begin());
}

void UpstreamList::keepEnded(Incarnation Which, const Row &Last) {
  Ended_.push_back({Which, Last.At_, Last.Entry_, true});
  if (Ended_.size() > KeptEnded)
    Ended_.pop_front();
}

bool UpstreamList::hasEnded(Incarnation Which) const {
  return std::any_of(Ended_.begin(), Ended_.end(), [&](const auto &Change) {
    return Change.Incarnation_ == Which;
  });
}

/// Of the last start of \p Which that is known, published or not; else 0.
std::uint64_t UpstreamList::bornMs(Incarnation Which) const {
  auto Known = Entries_.find(Which);
  if (Known != Entries_.end())
    return Known->second.Entry_.BornMs_;
  std::uint64_t Last = 0;
  for (const UpstreamChange &Change : Ended_)
    if (Change.Incarnation_ == Which)
      Last = std::max(Last, Change.Entry_->BornMs_);
  return Last;
}

/// It is published again.
void UpstreamList::forgetEnded(Incarnation Which) {
  Ended_.erase(std::remove_if(Ended_.begin(), Ended_.end(),
                              [&](const auto &Change) {
                                return Change.Incarnation_ == Which;
                              }),
               Ended_.end());
}

UpstreamBatch UpstreamList::since(Revision After) const {
  UpstreamBatch Batch;
  Batch.Whole_ = After < EndsKnownAfter_ || After == 0;
  Batch.After_ = After;
  Batch.Through_ = Through_;
  for (const auto &[Which, Known] : Entries_) {
    if (Known.At_ > After)
      Batch.Changes_.push_back({Which, Known.At_, Known.Entry_});
    else if (Batch.Whole_)
      Batch.Unchanged_.push_back(Which);
  }
  if (Batch.Whole_)
    return Batch;
  for (auto End = Ends_.upper_bound(After); End != Ends_.end(); ++End)
    Batch.Changes_.push_back({End->second, End->first, std::nullopt});
  return Batch;
}

PartDigests UpstreamList::digests() const {
  PartDigests Result{};
  for (const auto &[Which, Known] : Entries_)
    Result[Known.Entry_.Part_] ^= hashPair(raw(Which), Known.At_);
  return Result;
}

UpstreamBatch UpstreamList::sinceDigests(const PartDigests &Theirs) const {
  UpstreamBatch Batch;
  Batch.Whole_ = true;
  Batch.Through_ = Through_;
  PartDigests Ours = digests();
  for (std::size_t Part = 0; Part < ListPartCount; ++Part)
    Batch.Same_.set(Part, Ours[Part] == Theirs[Part]);
  for (const auto &[Which, Known] : Entries_)
    if (!Batch.Same_.test(Known.Entry_.Part_))
      Batch.Changes_.push_back({Which, Known.At_, Known.Entry_});
  return Batch;
}

UpstreamBatch UpstreamList::parts(const ListParts &Which) const {
  UpstreamBatch Batch;
  for (const auto &[Id, Known] : Entries_)
    if (Which.test(Known.Entry_.Part_))
      Batch.Changes_.push_back({Id, Known.At_, Known.Entry_});
  return Batch;
}

} // namespace thymewall

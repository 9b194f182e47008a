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
    if (Change.Revision_ > Through_)
      applyChange(Change, Applied);
  if (Batch.IsSnapshot_)
    removeAbsent(Batch, Applied);
  Through_ = Batch.Through_;
  return true;
}

void UpstreamList::applyChange(const UpstreamChange &Change,
                               std::vector<UpstreamChange> &Applied) {
  auto Known = Entries_.find(Change.Incarnation_);
  bool Newer =
      Known == Entries_.end() || Known->second.Revision_ < Change.Revision_;
  if (!Newer)
    return;
  // A delayed entry of an earlier start must not replace that of a later one.
  std::uint64_t LastStartMs = lastStartTimeMs(Change.Incarnation_);
  std::uint64_t StartMs = Change.Entry_ ? Change.Entry_->StartTimeMs_ : 0;
  bool EarlierStart = StartMs != 0 && StartMs < LastStartMs;
  if (EarlierStart)
    return;
  // A start publishes its time in all of its entries or in none. An entry that
  // lacks it has another writer and counts as a removal.
  bool OtherWriter = StartMs == 0 && LastStartMs != 0;
  if (Change.Entry_ && !OtherWriter) {
    if (Known == Entries_.end())
      removeEnded(Change.Incarnation_);
    Entries_[Change.Incarnation_] = {Change.Revision_, *Change.Entry_};
    Applied.push_back(Change);
    return;
  }
  addTombstone(Change.Incarnation_, Change.Revision_);
  if (Known == Entries_.end())
    return;
  addEnded(Known->first, Known->second);
  Entries_.erase(Known);
  Applied.push_back(Change);
}

void UpstreamList::applyEnded(const UpstreamChange &Change,
                              std::vector<UpstreamChange> &Applied) {
  Incarnation Which = Change.Incarnation_;
  bool Known = Entries_.count(Which) != 0 || hasEnded(Which);
  if (Known || !Change.Entry_)
    return;
  addEnded(Which, {Change.Revision_, *Change.Entry_});
  Applied.push_back(Ended_.back());
}

void UpstreamList::removeAbsent(const UpstreamBatch &Batch,
                                std::vector<UpstreamChange> &Applied) {
  std::set<Incarnation> Present(Batch.Unchanged_.begin(),
                                Batch.Unchanged_.end());
  for (const UpstreamChange &Change : Batch.Changes_)
    if (Change.Entry_)
      Present.insert(Change.Incarnation_);
  for (auto Item = Entries_.begin(); Item != Entries_.end();) {
    bool Absent = Present.count(Item->first) == 0 &&
                  !Batch.UnchangedParts_.test(Item->second.Entry_.Part_);
    bool ListedLater = Item->second.Revision_ > Batch.Through_;
    if (!Absent || ListedLater) {
      ++Item;
      continue;
    }
    // The revision of the removal is unknown; that of the snapshot is an upper
    // bound.
    Applied.push_back({Item->first, Batch.Through_, std::nullopt});
    addEnded(Item->first, Item->second);
    Item = Entries_.erase(Item);
  }
  // Removals up to the snapshot's revision are not known individually.
  Tombstones_.clear();
  TombstonesAfter_ = Batch.Through_;
}

void UpstreamList::addTombstone(Incarnation Which, Revision At) {
  Tombstones_[At] = Which;
  if (Tombstones_.size() <= MaxTombstones)
    return;
  TombstonesAfter_ = Tombstones_.begin()->first;
  Tombstones_.erase(Tombstones_.begin());
}

void UpstreamList::addEnded(Incarnation Which, const Row &Last) {
  Ended_.push_back({Which, Last.Revision_, Last.Entry_, true});
  if (Ended_.size() > MaxEndedEntries)
    Ended_.pop_front();
}

bool UpstreamList::hasEnded(Incarnation Which) const {
  return std::any_of(Ended_.begin(), Ended_.end(), [&](const auto &Change) {
    return Change.Incarnation_ == Which;
  });
}

/// Returns the time of the last known start, published or not, or 0.
std::uint64_t UpstreamList::lastStartTimeMs(Incarnation Which) const {
  auto Known = Entries_.find(Which);
  if (Known != Entries_.end())
    return Known->second.Entry_.StartTimeMs_;
  std::uint64_t Last = 0;
  for (const UpstreamChange &Change : Ended_)
    if (Change.Incarnation_ == Which)
      Last = std::max(Last, Change.Entry_->StartTimeMs_);
  return Last;
}

/// Drops the last entries of an upstream that is published again.
void UpstreamList::removeEnded(Incarnation Which) {
  Ended_.erase(std::remove_if(Ended_.begin(), Ended_.end(),
                              [&](const auto &Change) {
                                return Change.Incarnation_ == Which;
                              }),
               Ended_.end());
}

UpstreamBatch UpstreamList::changesSince(Revision After) const {
  UpstreamBatch Batch;
  Batch.IsSnapshot_ = After < TombstonesAfter_ || After == 0;
  Batch.After_ = After;
  Batch.Through_ = Through_;
  for (const auto &[Which, Known] : Entries_) {
    if (Known.Revision_ > After)
      Batch.Changes_.push_back({Which, Known.Revision_, Known.Entry_});
    else if (Batch.IsSnapshot_)
      Batch.Unchanged_.push_back(Which);
  }
  if (Batch.IsSnapshot_)
    return Batch;
  for (auto Tombstone = Tombstones_.upper_bound(After);
       Tombstone != Tombstones_.end(); ++Tombstone)
    Batch.Changes_.push_back(
        {Tombstone->second, Tombstone->first, std::nullopt});
  return Batch;
}

PartDigests UpstreamList::digests() const {
  PartDigests Result{};
  for (const auto &[Which, Known] : Entries_)
    Result[Known.Entry_.Part_] ^= hashPair(raw(Which), Known.Revision_);
  return Result;
}

UpstreamBatch UpstreamList::diffByDigests(const PartDigests &Theirs) const {
  UpstreamBatch Batch;
  Batch.IsSnapshot_ = true;
  Batch.Through_ = Through_;
  PartDigests Ours = digests();
  for (std::size_t Part = 0; Part < ListPartCount; ++Part)
    Batch.UnchangedParts_.set(Part, Ours[Part] == Theirs[Part]);
  for (const auto &[Which, Known] : Entries_)
    if (!Batch.UnchangedParts_.test(Known.Entry_.Part_))
      Batch.Changes_.push_back({Which, Known.Revision_, Known.Entry_});
  return Batch;
}

UpstreamBatch UpstreamList::entriesIn(const ListParts &Which) const {
  UpstreamBatch Batch;
  for (const auto &[Id, Known] : Entries_)
    if (Which.test(Known.Entry_.Part_))
      Batch.Changes_.push_back({Id, Known.Revision_, Known.Entry_});
  return Batch;
}

} // namespace thymewall

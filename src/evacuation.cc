#include "thymewall/evacuation.h"

#include <algorithm>

namespace thymewall {

void EvacuationList::apply(const EvacuationBatch &Batch,
                           std::vector<EvacuationChange> &Applied) {
  for (const EvacuationChange &Change : Batch.Changes_)
    applyChange(Change, Applied);
  if (Batch.IsSnapshot_)
    removeAbsent(Batch, Applied);
  Through_ = std::max(Through_, Batch.Through_);
}

void EvacuationList::applyChange(const EvacuationChange &Change,
                                 std::vector<EvacuationChange> &Applied) {
  auto Known = EvacuatedAt_.find(Change.DataHall_);
  bool Evacuated = Known != EvacuatedAt_.end();
  Revision KnownAt = Evacuated ? Known->second : Through_;
  if (Change.Revision_ <= KnownAt)
    return;
  if (Change.Evacuated_)
    EvacuatedAt_[Change.DataHall_] = Change.Revision_;
  else if (Evacuated)
    EvacuatedAt_.erase(Known);
  if (Change.Evacuated_ != Evacuated)
    Applied.push_back(Change);
}

void EvacuationList::removeAbsent(const EvacuationBatch &Batch,
                                  std::vector<EvacuationChange> &Applied) {
  auto IsNamed = [&Batch](const std::string &DataHall) {
    return std::any_of(Batch.Changes_.begin(), Batch.Changes_.end(),
                       [&](const EvacuationChange &C) {
                         return C.Evacuated_ && C.DataHall_ == DataHall;
                       });
  };
  for (auto Hall = EvacuatedAt_.begin(); Hall != EvacuatedAt_.end();) {
    bool KnownLater = Hall->second > Batch.Through_;
    if (KnownLater || IsNamed(Hall->first)) {
      ++Hall;
      continue;
    }
    Applied.push_back({Hall->first, Batch.Through_, false});
    Hall = EvacuatedAt_.erase(Hall);
  }
}

EvacuationBatch EvacuationList::all() const {
  EvacuationBatch Batch{true, Through_, {}};
  for (const auto &[DataHall, At] : EvacuatedAt_)
    Batch.Changes_.push_back({DataHall, At, true});
  return Batch;
}

} // namespace thymewall

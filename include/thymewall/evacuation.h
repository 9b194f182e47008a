/// \file
/// Evacuated data halls: no new flows go to the upstreams of an evacuated hall
/// until the operators end its evacuation.
#ifndef THYMEWALL_EVACUATION_H
#define THYMEWALL_EVACUATION_H

#include "thymewall/core.h"

#include <map>
#include <vector>

namespace thymewall {

/// Start or end of the evacuation of a hall.
struct EvacuationChange {
  std::string DataHall_;
  Revision Revision_ = 0;
  bool Evacuated_ = false;
};
inline bool operator==(const EvacuationChange &A, const EvacuationChange &B) {
  auto Fields = [](const EvacuationChange &C) {
    return std::tie(C.DataHall_, C.Revision_, C.Evacuated_);
  };
  return Fields(A) == Fields(B);
}

/// Changes in any order. If `IsSnapshot_`, they are a snapshot of all evacuated
/// halls as of `Through_`, and a missing hall is not evacuated. Halls are few,
/// so peers always send a snapshot.
struct EvacuationBatch {
  bool IsSnapshot_ = false;
  Revision Through_ = 0;
  std::vector<EvacuationChange> Changes_;
};

/// Evacuated halls, complete through a revision. Ended evacuations need no
/// entry: a change at or before the revision is outdated.
class EvacuationList {
public:
  /// Applies changes that are newer than the known state and appends those that
  /// had an effect to \p Applied.
  void apply(const EvacuationBatch &Batch,
             std::vector<EvacuationChange> &Applied);

  /// Returns a snapshot for a peer.
  EvacuationBatch all() const;
  bool isEvacuated(const std::string &DataHall) const {
    return EvacuatedAt_.count(DataHall) != 0;
  }

private:
  void applyChange(const EvacuationChange &Change,
                   std::vector<EvacuationChange> &Applied);
  void removeAbsent(const EvacuationBatch &Batch,
                    std::vector<EvacuationChange> &Applied);

  std::map<std::string, Revision>
      EvacuatedAt_; ///< Revision of each evacuation.
  Revision Through_ = 0;
};

} // namespace thymewall

#endif

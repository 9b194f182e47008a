/// \file
/// Evacuated data halls: the operators ask that nothing new is sent to the
/// upstreams of a hall until they take the hall back.
#ifndef THYMEWALL_EVACUATION_H
#define THYMEWALL_EVACUATION_H

#include "thymewall/core.h"

#include <map>
#include <vector>

namespace thymewall {

/// A hall's last change: it is evacuated, or taken back.
struct EvacuationChange {
  std::string DataHall_;
  Revision At_ = 0;
  bool Evacuated_ = false;
};
inline bool operator==(const EvacuationChange &A, const EvacuationChange &B) {
  auto Fields = [](const EvacuationChange &C) {
    return std::tie(C.DataHall_, C.At_, C.Evacuated_);
  };
  return Fields(A) == Fields(B);
}

/// Changes, in any order. With `Whole_` they name every hall that is evacuated
/// as of `Through_`: one that they lack was taken back by then. Halls are few,
/// so that peers always tell all of them.
struct EvacuationBatch {
  bool Whole_ = false;
  Revision Through_ = 0;
  std::vector<EvacuationChange> Changes_;
};

/// The evacuated halls, complete through a revision. Needs no memory of halls
/// that were taken back: whoever tells of one as of a revision that is already
/// complete here tells of the past.
class EvacuationList {
public:
  /// Applies what is newer than what is known and appends to \p Applied what
  /// has changed here.
  void apply(const EvacuationBatch &Batch,
             std::vector<EvacuationChange> &Applied);

  /// All evacuated halls, for a peer.
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
      EvacuatedAt_; ///< When each was last evacuated.
  Revision Through_ = 0;
};

} // namespace thymewall

#endif

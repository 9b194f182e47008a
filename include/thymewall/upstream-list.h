/// \file
/// The published list of upstreams as a log of changes, ordered by the revision
/// that the configuration service gives to each change.
#ifndef THYMEWALL_UPSTREAM_LIST_H
#define THYMEWALL_UPSTREAM_LIST_H

#include "thymewall/core.h"
#include "thymewall/list-parts.h"

#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace thymewall {

/// An upstream as it is published. `Incarnation_` and `StartTimeMs_` together
/// are new with every start; most starts have a new `Incarnation_`.
struct UpstreamEntry {
  Incarnation Incarnation_{};
  /// Unix milliseconds of this start; 0 where it is not told. Tells apart
  /// starts with the same `Incarnation_`.
  std::uint64_t StartTimeMs_ = 0;
  ServiceId Service_{};
  Endpoint At_;
  std::string DataHall_;
  std::uint32_t Slots_ = 1;
  bool Draining_ = false;
  MonoTime WarmAt_{};     ///< End of its slow start.
  std::uint8_t Part_ = 0; ///< Of the published list.
};
inline bool operator==(const UpstreamEntry &A, const UpstreamEntry &B) {
  auto Fields = [](const UpstreamEntry &E) {
    return std::tie(E.Incarnation_, E.StartTimeMs_, E.Service_, E.At_,
                    E.DataHall_, E.Slots_, E.Draining_, E.WarmAt_, E.Part_);
  };
  return Fields(A) == Fields(B);
}

/// One upstream's last change; without an entry it is gone.
struct UpstreamChange {
  Incarnation Incarnation_{};
  Revision Revision_ = 0;
  std::optional<UpstreamEntry> Entry_;
  /// `Entry_` was its last one: it is published no more, and may still serve
  /// the flows that it holds.
  bool Ended_ = false;
};

inline bool operator==(const UpstreamChange &A, const UpstreamChange &B) {
  return std::tie(A.Incarnation_, A.Revision_, A.Entry_, A.Ended_) ==
         std::tie(B.Incarnation_, B.Revision_, B.Entry_, B.Ended_);
}

/// Changes that are complete from just after `After_` through `Through_`.
/// A whole list has `Whole_`: upstreams that it lacks are gone. For a receiver
/// that is complete through `After_` it only names, in `Unchanged_`, what has
/// not changed since.
struct UpstreamBatch {
  bool Whole_ = false;
  Revision After_ = 0;
  Revision Through_ = 0;
  std::vector<UpstreamChange> Changes_;
  std::vector<Incarnation> Unchanged_;
  /// Upstreams that have ended lately, with their last entries; told only to
  /// those that may never have heard of them.
  std::vector<UpstreamChange> Ended_{};
  /// Parts of a whole list that are just what the receiver said it has.
  ListParts UnchangedParts_{};
};

/// What the entries of each part are, by incarnation and revision.
using PartDigests = std::array<std::uint64_t, ListPartCount>;

/// The upstreams, complete through a revision.
class UpstreamList {
public:
  /// How many ends of upstreams are kept, so that a peer which is behind can be
  /// told of changes alone: a day of today's deployments has about 100.
  static constexpr std::size_t MaxTombstones = 512;
  /// Last entries of upstreams that have ended, for balancers that start: flows
  /// at such an upstream go on for tens of seconds. Up to 30 KB in a message.
  static constexpr std::size_t MaxEndedEntries = 512;

  /// Applies what is newer than `through()` and appends to \p Applied what has
  /// changed here. False for a batch that starts after `through()`: changes in
  /// between are missing and nothing was applied.
  bool apply(const UpstreamBatch &Batch, std::vector<UpstreamChange> &Applied);

  /// What is needed by a list that is complete through \p After; the whole list
  /// when the ends since then are no longer known.
  UpstreamBatch changesSince(Revision After) const;
  /// The whole list for a receiver that has entries with these digests, of
  /// which it doesn't know through which revision they are complete.
  UpstreamBatch diffByDigests(const PartDigests &Theirs) const;
  /// The entries of some parts; says nothing of what they lack.
  UpstreamBatch entriesIn(const ListParts &Which) const;
  PartDigests digests() const;

  /// The upstreams that have ended lately, the earliest first.
  std::vector<UpstreamChange> ended() const {
    return {Ended_.begin(), Ended_.end()};
  }

  Revision through() const { return Through_; }
  std::size_t size() const { return Entries_.size(); }

private:
  struct Row {
    Revision Revision_ = 0;
    UpstreamEntry Entry_;
  };
  void applyChange(const UpstreamChange &Change,
                   std::vector<UpstreamChange> &Applied);
  void removeAbsent(const UpstreamBatch &Batch,
                    std::vector<UpstreamChange> &Applied);
  void applyEnded(const UpstreamChange &Change,
                  std::vector<UpstreamChange> &Applied);
  void addTombstone(Incarnation Which, Revision At);
  void addEnded(Incarnation Which, const Row &Last);
  bool hasEnded(Incarnation Which) const;
  std::uint64_t bornMs(Incarnation Which) const;
  void removeEnded(Incarnation Which);

  std::map<Incarnation, Row> Entries_;
  std::map<Revision, Incarnation> Tombstones_;
  std::deque<UpstreamChange> Ended_; ///< With `Ended_` set, and their entries.
  Revision TombstonesAfter_ = 0; ///< All ends after it are in `Tombstones_`.
  Revision Through_ = 0;
};

} // namespace thymewall

#endif

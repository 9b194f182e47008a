/// \file
/// The published list of upstreams, replicated as a log of changes that are
/// ordered by the revisions of the configuration service.
#ifndef THYMEWALL_UPSTREAM_LIST_H
#define THYMEWALL_UPSTREAM_LIST_H

#include "thymewall/core.h"
#include "thymewall/list-parts.h"

#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace thymewall {

/// A published upstream. The pair of `Incarnation_` and `StartTimeMs_`
/// identifies a start, since a restarted upstream may keep its incarnation.
struct UpstreamEntry {
  Incarnation Incarnation_{};
  /// Time of the start in Unix milliseconds; 0 if it is not published.
  /// Distinguishes starts that share an incarnation.
  std::uint64_t StartTimeMs_ = 0;
  ServiceId Service_{};
  Endpoint Address_;
  std::string DataHall_;
  std::uint32_t Slots_ = 1;
  bool Draining_ = false;
  MonoTime WarmAt_{};     ///< End of the slow start.
  std::uint8_t Part_ = 0; ///< Part of the list; see list-parts.h.
};
inline bool operator==(const UpstreamEntry &A, const UpstreamEntry &B) {
  auto Fields = [](const UpstreamEntry &E) {
    return std::tie(E.Incarnation_, E.StartTimeMs_, E.Service_, E.Address_,
                    E.DataHall_, E.Slots_, E.Draining_, E.WarmAt_, E.Part_);
  };
  return Fields(A) == Fields(B);
}

/// The last change of an upstream: its entry, or none if it was removed.
struct UpstreamChange {
  Incarnation Incarnation_{};
  Revision Revision_ = 0;
  std::optional<UpstreamEntry> Entry_;
  /// `Entry_` is the last one of an upstream that is no longer published. It
  /// may still serve its open flows.
  bool Ended_ = false;
};

inline bool operator==(const UpstreamChange &A, const UpstreamChange &B) {
  return std::tie(A.Incarnation_, A.Revision_, A.Entry_, A.Ended_) ==
         std::tie(B.Incarnation_, B.Revision_, B.Entry_, B.Ended_);
}

/// All changes with a revision above `After_` and up to `Through_`. With
/// `IsSnapshot_` it is a snapshot: upstreams that it lacks are removed. In a
/// snapshot for a receiver that is complete through `After_`, `Unchanged_`
/// lists the upstreams whose entries it has already.
struct UpstreamBatch {
  bool IsSnapshot_ = false;
  Revision After_ = 0;
  Revision Through_ = 0;
  std::vector<UpstreamChange> Changes_;
  std::vector<Incarnation> Unchanged_;
  /// Recently removed upstreams with their last entries; sent only to receivers
  /// that may not know them.
  std::vector<UpstreamChange> Ended_{};
  /// Parts of a snapshot that match the receiver's digests and are left out.
  ListParts UnchangedParts_{};
};

/// A digest of the incarnations and revisions of each part's entries.
using PartDigests = std::array<std::uint64_t, ListPartCount>;

/// A replica of the list, complete through a revision.
class UpstreamList {
public:
  /// Number of removals kept, so that a peer whose list is out of date can get
  /// changes instead of a snapshot.
  static constexpr std::size_t MaxTombstones = 512;
  /// Number of last entries of removed upstreams that are kept for balancers
  /// that start, since the upstreams' flows may outlive their entries.
  static constexpr std::size_t MaxEndedEntries = 512;

  /// Applies the changes newer than `through()` and appends those that took
  /// effect to \p Applied. Returns false and applies nothing if the batch
  /// starts after `through()`, so that changes in between are missing.
  bool apply(const UpstreamBatch &Batch, std::vector<UpstreamChange> &Applied);

  /// Returns the changes after \p After, or a snapshot if the removals since
  /// then are no longer kept.
  UpstreamBatch changesSince(Revision After) const;
  /// Returns a snapshot without the parts whose digests equal \p Theirs. For a
  /// receiver that does not know through which revision its list is complete.
  UpstreamBatch diffByDigests(const PartDigests &Theirs) const;
  /// Returns the entries of some parts, not as a snapshot.
  UpstreamBatch entriesIn(const ListParts &Which) const;
  PartDigests digests() const;

  /// Returns the recently removed upstreams, oldest first.
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
  std::uint64_t lastStartTimeMs(Incarnation Which) const;
  void removeEnded(Incarnation Which);

  std::map<Incarnation, Row> Entries_;
  std::map<Revision, Incarnation> Tombstones_;
  std::deque<UpstreamChange> Ended_; ///< With `Ended_` and an entry.
  Revision TombstonesAfter_ = 0;     ///< `Tombstones_` is complete after it.
  Revision Through_ = 0;
};

} // namespace thymewall

#endif

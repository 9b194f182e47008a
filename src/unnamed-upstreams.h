/// \file
/// Entries of upstreams whose service the routing table doesn't name. Either
/// the table that names it comes later, or they have another writer.
#ifndef THYMEWALL_SRC_UNNAMED_UPSTREAMS_H
#define THYMEWALL_SRC_UNNAMED_UPSTREAMS_H

#include "thymewall/routing.h"
#include "thymewall/upstream-list.h"

#include <map>

namespace thymewall::detail {

class UnnamedUpstreams {
public:
  void add(const UpstreamChange &Change) {
    Entries_[Change.Incarnation_] = Change;
  }
  void remove(Incarnation Which) { Entries_.erase(Which); }
  /// Removes and returns the entries of services that a table names.
  std::vector<UpstreamChange> takeNamed(const RoutingTable &Table);
  std::size_t size() const { return Entries_.size(); }

private:
  std::map<Incarnation, UpstreamChange> Entries_;
};

} // namespace thymewall::detail

#endif

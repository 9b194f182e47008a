#include "gossip-impl.h"

#include <algorithm>

namespace thymewall {

using detail::GossipLink;

namespace {

/// Returns parts of \p Wanted that hold about \p Upstreams of \p Listed
/// entries. \p From differs between balancers, so that they request different
/// parts first.
ListParts selectParts(const ListParts &Wanted, std::uint64_t From,
                      std::size_t Upstreams, std::size_t Listed) {
  std::size_t Most =
      ListPartCount * Upstreams / std::max<std::size_t>(Listed, 1);
  Most = std::max<std::size_t>(Most, 1);
  ListParts Result;
  for (std::size_t I = 0; I < ListPartCount && Result.count() < Most; ++I) {
    std::size_t Part = (From + I) % ListPartCount;
    if (Wanted.test(Part))
      Result.set(Part);
  }
  return Result;
}

} // namespace

/// Requests parts that the peer has and that aren't requested from another
/// peer: no part is received twice, and no balancer sends the full list to all.
void GossipNode::Impl::requestParts(MonoTime Now, LinkId Link) {
  GossipLink &L = Links_[Link];
  if (L.RequestedParts_.any() && Now < L.PartsRequestDeadline_)
    return;
  ListParts Wanted = L.PeerParts_ & ~Parts_;
  for (const auto &[Other, Of] : Links_)
    if (Other != Link && Now < Of.PartsRequestDeadline_)
      Wanted &= ~Of.RequestedParts_;
  if (Wanted.none())
    return;
  L.RequestedParts_ = selectParts(Wanted, Score_ + raw(Link),
                                  UpstreamsPerRequest, L.estimatedListSize());
  L.PartsRequestDeadline_ = Now + RequestTimeout;
  L.PendingRequests_.push_back({Now, false});
  Version OwnVersion = Routing_ ? Routing_->Version_ : 0;
  Hooks_.Send_(Link, StateRequest{OwnVersion, 0, false, L.RequestedParts_,
                                  std::nullopt});
}

void GossipNode::Impl::handleParts(MonoTime Now, LinkId Link,
                                   const StateUpdate &M) {
  GossipLink &L = Links_[Link];
  L.RequestedParts_.reset();
  if (!hasMissingParts(M.Parts_))
    return;
  apply(Now, M.Routing_, M.Upstreams_, M.Evacuations_, MonoTime{});
  addParts(Now, M.Parts_);
  if (startsFromParts(L))
    requestParts(Now, Link);
}

/// Whether any of the parts is missing here. A second copy of a part is
/// ignored: it may name upstreams that have ended since, which the response to
/// a digest already sent would not remove.
bool GossipNode::Impl::hasMissingParts(const ListParts &Parts) const {
  return List_.through() == 0 && (Parts & ~Parts_).any();
}

/// Announces parts to peers when their number has doubled, to limit the
/// heartbeats of a start, and when the list is complete.
void GossipNode::Impl::addParts(MonoTime Now, const ListParts &Parts) {
  Parts_ |= Parts;
  if (List_.through() == 0 &&
      (Parts_.count() >= 2 * AnnouncedParts_ || Parts_.all()))
    sendHeartbeats(Now);
}

/// With all parts, a peer that knows a revision can send just the differences.
std::optional<PartDigests> GossipNode::Impl::requestDigests() const {
  if (List_.through() != 0 || !Parts_.all())
    return std::nullopt;
  return List_.digests();
}

} // namespace thymewall

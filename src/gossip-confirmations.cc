#include "gossip-impl.h"

namespace thymewall {

/// \p SentAt is a lower bound, so that the time for which messages wait in
/// sockets adds to the age of the state at each hop. Otherwise balancers that
/// read their sockets late would confirm old state to each other as recent.
void GossipNode::Impl::acceptConfirmation(MonoTime Now, MonoTime SentAt,
                                          const PeerHeartbeat &M) {
  if (M.StateAgeMs_ == PeerHeartbeat::UnknownAgeMs)
    return;
  Version OwnVersion = Routing_ ? Routing_->Version_ : 0;
  if (OwnVersion < M.Routing_ || List_.through() < M.Through_)
    return; // the peer has newer state than this balancer
  if (Now - SentAt > HeartbeatInterval)
    ++Counters_.StaleConfirmations_;
  if (M.ReaderAgeMs_ != PeerHeartbeat::UnknownAgeMs)
    noteReader(M.ReaderScore_,
               SentAt - std::chrono::milliseconds(M.ReaderAgeMs_), Now);
  confirm(Now, SentAt - std::chrono::milliseconds(M.StateAgeMs_),
          M.Sender_.Name_, SentAt);
  // Sent at once: a lower reader score that waited for the next confirmation at
  // each hop would expire after three hops, and two balancers would go on
  // reading.
  if (FirstReader_.Score_ < AnnouncedReader_)
    sendHeartbeats(Now);
}

void GossipNode::Impl::noteReader(std::uint64_t Score, MonoTime At,
                                  MonoTime Now) {
  FirstReader_.update(Score, At, Now, TakeoverAge);
  if (FirstReader_.Score_ < Score_)
    IsReader_ = false;
}

void GossipNode::Impl::noteAlive(MonoTime Now, std::uint64_t Score,
                                 MonoTime At) {
  bool OthersFirst = FirstAlive_.Score_ < Score_;
  FirstAlive_.update(Score, At, Now, LinkTimeout);
  if (OthersFirst && FirstAlive_.Score_ >= Score_)
    FirstAliveSince_ = Now;
}

/// Balancers on the other side of a network partition must not wait for one
/// whose last sign of life is delayed.
void GossipNode::Impl::acceptFirstAlive(MonoTime Now, MonoTime SentAt,
                                        const PeerHeartbeat &M) {
  if (M.Leaving_)
    return;
  noteAlive(Now, detail::readerScore(M.Sender_.Name_), SentAt);
  if (M.FirstAliveAgeMs_ != PeerHeartbeat::UnknownAgeMs)
    noteAlive(Now, M.FirstAliveScore_,
              SentAt - std::chrono::milliseconds(M.FirstAliveAgeMs_));
  if (M.FailureAgeMs_ != PeerHeartbeat::UnknownAgeMs)
    acceptFailure(Now, SentAt - std::chrono::milliseconds(M.FailureAgeMs_));
  // Forwarded at once: if it waited for the next heartbeat at each hop, it
  // would expire after three hops.
  bool Fresher = FirstAlive_.At_ - AnnouncedAliveAt_ > AliveUpdateStep;
  if (Fresher && !Members_.tracksAllMembers())
    sendHeartbeats(Now);
}

void GossipNode::Impl::acceptFailure(MonoTime Now, MonoTime At) {
  Outages_.recordReportedFailure(At);
  noteFailure(Now, At);
}

void GossipNode::Impl::noteFailure(MonoTime Now, MonoTime At) {
  FailedAt_ = std::max(FailedAt_, At);
  bool Fresher = FailedAt_ - AnnouncedFailureAt_ > AliveUpdateStep;
  if (Fresher && !Members_.tracksAllMembers())
    sendHeartbeats(Now);
}

/// Calls show that the service is away only if it refused them, or gave no
/// response on a connection of their own while this process was running. Behind
/// an impaired host, calls fail although the service works.
void GossipNode::Impl::readFailed(MonoTime Now,
                                  const ConfigResponse &Response) {
  bool HistoryGone = Response.Outcome_ == ConfigResponse::Outcome::HistoryGone;
  if (Response.FailingSince_ || HistoryGone)
    IsReader_ = false;
  if (!Response.FailingSince_)
    return;
  bool Suspended = *Response.FailingSince_ < RunningSince_ ||
                   Now - LastTick_ > SuspendThreshold;
  if (Response.Outcome_ == ConfigResponse::Outcome::Failed && Suspended)
    return;
  Outages_.recordOwnFailure(*Response.FailingSince_, Now);
  if (!impaired())
    noteFailure(Now, Now);
}

/// \p Peer is empty if this balancer has read the state itself.
void GossipNode::Impl::confirm(MonoTime Now, MonoTime AsOf,
                               const std::string &Peer, MonoTime SentAt) {
  if (AsOf <= ConfirmedAsOf_)
    return;
  noteOutageEnd(Now, AsOf);
  ConfirmedAsOf_ = AsOf;
  Lag_.ConfirmedBy_ = Peer;
  Lag_.MaxTransit_ = Now - SentAt;
  Hooks_.OnConfirmed_(AsOf);
  if (ConfirmedAsOf_ - AnnouncedAsOf_ > ConfirmationStep)
    sendHeartbeats(Now);
}

} // namespace thymewall

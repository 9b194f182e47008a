#include "packet-process-impl.h"

#include "clock.h"

namespace thymewall::detail {

void PacketProcess::Impl::onQueuedVerdict(FlowId Flow, const Verdict &V) {
  auto It = QueuedPackets_.find(Flow);
  if (It == QueuedPackets_.end())
    return;
  std::vector<std::uint8_t> Bytes = std::move(It->second);
  QueuedPackets_.erase(It);
  std::visit(
      [&](const auto &Typed) { execute(Typed, Bytes.data(), Bytes.size()); },
      V);
  MonoTime Now = monoNow();
  Packet P;
  Hooks_.Decode_(Bytes.data(), Bytes.size(), P);
  if (P.Opens_ && std::holds_alternative<Forward>(V))
    Openings_.onOpeningSent(Now, Bytes.data(), Bytes.size());
  const auto *D = std::get_if<Dropped>(&V);
  if (D && isTransientError(D->Error_))
    Held_.hold(Now, Bytes.data(), Bytes.size());
}

void PacketProcess::Impl::onAdmissionEvent(const AdmissionEvent &Event) {
  std::string Service = serviceLabel(Event.Service_);
  Admission_.record(Event, Service);
  logAdmission(Event, Service);
}

void PacketProcess::Impl::scheduleQueueTimer() {
  MonoTime At = Core_.nextQueuedExpiry();
  if (At == QueueTimerAt_)
    return;
  QueueTimerAt_ = At;
  if (At == MonoTime::max()) {
    QueueTimer_.cancel();
    return;
  }
  QueueTimer_.expires_at(toSteady(At));
  QueueTimer_.async_wait([this](const asio::error_code &Error) {
    if (Error)
      return;
    QueueTimerAt_ = MonoTime::max();
    Core_.expireQueued(monoNow());
    scheduleQueueTimer();
  });
}

} // namespace thymewall::detail

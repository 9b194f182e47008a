#include "upstream-checker.h"

#include "clock.h"
#include "peer-probes.h"
#include "udp-socket.h"

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

namespace thymewall::detail {

namespace {

/// Timeout of a connection attempt.
constexpr auto AttemptTimeout = std::chrono::milliseconds(80);
/// A later timer means that this process was suspended, so that the timeout of
/// the attempt proves nothing.
constexpr auto MaxTimerDelay = std::chrono::milliseconds(40);

/// A check, kept alive by its pending operations.
class Check : public std::enable_shared_from_this<Check> {
public:
  Check(asio::io_context &Context, const UpstreamCheck &Request,
        std::shared_ptr<const CheckerHooks> Hooks)
      : Socket_(Context), Timer_(Context), Request_(Request),
        Hooks_(std::move(Hooks)), StartedAt_(std::chrono::steady_clock::now()) {
  }

  void attempt() {
    ++Attempt_;
    ProbedAt_ = Hooks_->ProbePeers_();
    Deadline_ = std::chrono::steady_clock::now() + AttemptTimeout;
    Timer_.expires_at(Deadline_);
    Timer_.async_wait([Self = shared_from_this(),
                       Attempt = Attempt_](const asio::error_code &Error) {
      if (!Error && Self->Attempt_ == Attempt)
        Self->onAttemptTimeout();
    });
    asio::ip::udp::endpoint At = toAsio(Request_.Address_);
    Socket_.async_connect({At.address(), At.port()},
                          [Self = shared_from_this(),
                           Attempt = Attempt_](const asio::error_code &Error) {
                            if (Self->Attempt_ == Attempt)
                              Self->onConnect(Error);
                          });
  }

private:
  void onConnect(const asio::error_code &Error) {
    if (!Error)
      return finish(CheckResult::Connected);
    bool Refused = Error == asio::error::connection_refused;
    finish(Refused ? CheckResult::Dead : CheckResult::Unclear);
  }

  void onAttemptTimeout() {
    if (std::chrono::steady_clock::now() - Deadline_ > MaxTimerDelay)
      return finish(CheckResult::Unclear);
    close();
    switch (Attempts_.recordTimeout(Hooks_->ProbeAnswered_(ProbedAt_))) {
    case CheckAttempts::Next::TryAgain:
      return attempt();
    case CheckAttempts::Next::Dead:
      return finish(CheckResult::Dead);
    case CheckAttempts::Next::Unclear:
      return finish(CheckResult::Unclear);
    }
  }

  void close() {
    asio::error_code Ignored;
    Socket_.close(Ignored);
  }

  void finish(CheckResult Result) {
    ++Attempt_; // ignores handlers that are still pending
    Timer_.cancel();
    close();
    Hooks_->OnResult_(Request_.Upstream_, Result, toMono(StartedAt_));
  }

  asio::ip::tcp::socket Socket_;
  asio::steady_timer Timer_;
  UpstreamCheck Request_;
  std::shared_ptr<const CheckerHooks> Hooks_;
  CheckAttempts Attempts_;
  MonoTime ProbedAt_{};
  SteadyTime StartedAt_;
  SteadyTime Deadline_{};
  int Attempt_ = 0;
};

} // namespace

UpstreamChecker::UpstreamChecker(asio::io_context &Context, CheckerHooks Hooks)
    : Context_(Context),
      Hooks_(std::make_shared<const CheckerHooks>(std::move(Hooks))) {}

void UpstreamChecker::check(const UpstreamCheck &Request) {
  std::make_shared<Check>(Context_, Request, Hooks_)->attempt();
}

} // namespace thymewall::detail

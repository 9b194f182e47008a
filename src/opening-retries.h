/// \file
/// Runs `UnansweredOpenings` on an asio timer.
#ifndef THYMEWALL_SRC_OPENING_RETRIES_H
#define THYMEWALL_SRC_OPENING_RETRIES_H

#include "thymewall/unanswered-openings.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

namespace thymewall::detail {

class OpeningRetries {
public:
  /// Called with each opening packet whose timeout has passed, whether or not
  /// it was answered.
  using Handler = std::function<void(MonoTime Now, const std::uint8_t *Data,
                                     std::size_t Size)>;

  OpeningRetries(asio::io_context &Context, Handler OnExpired);

  void setTimeout(Micros Timeout) { Openings_.setTimeout(Timeout); }
  /// Starts the timeout of an opening packet that was forwarded to an upstream.
  void onOpeningSent(MonoTime Now, const std::uint8_t *Data, std::size_t Size);

private:
  void scheduleTimer();
  void onTimer();

  asio::steady_timer Timer_;
  Handler OnExpired_;
  UnansweredOpenings Openings_;
};

} // namespace thymewall::detail

#endif

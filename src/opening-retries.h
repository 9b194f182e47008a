/// \file
/// The timer around `UnansweredOpenings`.
#ifndef THYMEWALL_SRC_OPENING_RETRIES_H
#define THYMEWALL_SRC_OPENING_RETRIES_H

#include "thymewall/unanswered-openings.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

namespace thymewall::detail {

class OpeningRetries {
public:
  /// Called with an opening packet whose time for an answer is over, answered
  /// or not.
  using Handler = std::function<void(MonoTime Now, const std::uint8_t *Data,
                                     std::size_t Size)>;

  OpeningRetries(asio::io_context &Context, Handler OnExpired);

  void setTimeout(Micros Timeout) { Openings_.setTimeout(Timeout); }
  /// An opening packet was sent to an upstream.
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

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

  OpeningRetries(asio::io_context &Context, Handler OnDue);

  void setWait(Micros Wait) { Openings_.setWait(Wait); }
  /// An opening packet was sent to an upstream.
  void sent(MonoTime Now, const std::uint8_t *Data, std::size_t Size);

private:
  void await();
  void review();

  asio::steady_timer Timer_;
  Handler OnDue_;
  UnansweredOpenings Openings_;
};

} // namespace thymewall::detail

#endif

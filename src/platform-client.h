/// \file
/// Reads and watches the users' platform (docs/PROTOCOL.md, "Platform"). Its
/// threads only block on HTTP; results are posted to the Asio context.
#ifndef THYMEWALL_SRC_PLATFORM_CLIENT_H
#define THYMEWALL_SRC_PLATFORM_CLIENT_H

#include "thymewall/control.h"

#include <asio/io_context.hpp>
#include <functional>
#include <memory>

namespace thymewall::detail {

/// What the platform said about one document.
struct PlatformAnswer {
  DocumentKind Kind_ = DocumentKind::Declaration;
  std::string Text_;            ///< Empty when there is nothing newer.
  std::uint64_t RefreshId_ = 0; ///< Of the last `readNow` before the call.
};

class PlatformClient {
public:
  using Handler = std::function<void(const PlatformAnswer &)>;

  PlatformClient(asio::io_context &Context, const Endpoint &Platform,
                 Handler OnAnswer);
  ~PlatformClient();

  /// The version from which the next call watches on.
  void setKnownVersion(DocumentKind Kind, Version Known);
  /// Whether to keep a watch open; one read is made at the start anyway.
  void setWatching(bool Watching);
  /// Longest pause after failed calls; each failure doubles the pause up to
  /// it, so that a platform that comes back is not met by all at once.
  void setMaxRetryDelay(std::chrono::milliseconds Pause);
  /// Reads every document once, now.
  void readNow(std::uint64_t RefreshId);
  /// Calls made so far: each counts against the platform's budget.
  std::uint64_t calls() const;

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace thymewall::detail

#endif

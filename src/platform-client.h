/// \file
/// Reads and watches the documents of the customer's platform
/// (docs/PROTOCOL.md, "Platform"). One thread per document kind blocks on HTTP
/// calls; answers are posted to the Asio context.
#ifndef THYMEWALL_SRC_PLATFORM_CLIENT_H
#define THYMEWALL_SRC_PLATFORM_CLIENT_H

#include "thymewall/control.h"

#include <asio/io_context.hpp>
#include <functional>
#include <memory>

namespace thymewall::detail {

/// An answer of the platform about one document.
struct PlatformAnswer {
  DocumentKind Kind_ = DocumentKind::Declaration;
  std::string Text_;            ///< Empty when there is nothing newer.
  std::uint64_t RefreshId_ = 0; ///< That of the last `readNow` before the call.
};

class PlatformClient {
public:
  using Handler = std::function<void(const PlatformAnswer &)>;

  PlatformClient(asio::io_context &Context, const Endpoint &Platform,
                 Handler OnAnswer);
  ~PlatformClient();

  /// Sets the version after which the next call asks for documents.
  void setKnownVersion(DocumentKind Kind, Version Known);
  /// Sets whether to watch for changes by long polls. Each document is read
  /// once at the start in any case.
  void setWatching(bool Watching);
  /// Sets the longest delay of the exponential backoff after failed calls.
  void setMaxRetryDelay(std::chrono::milliseconds Delay);
  /// Aborts calls in progress and reads every document once.
  void readNow(std::uint64_t RefreshId);
  /// Returns the number of calls made so far.
  std::uint64_t calls() const;

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace thymewall::detail

#endif

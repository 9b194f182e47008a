/// \file
/// HTTP/1.1 client on an Asio context: one persistent connection, one request
/// at a time, and a deadline per request.
#ifndef THYMEWALL_SRC_HTTP_CLIENT_H
#define THYMEWALL_SRC_HTTP_CLIENT_H

#include "thymewall/core.h"

#include <asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace thymewall::detail {

/// A GET request. The path and the parameters may contain any bytes; they are
/// percent-encoded when the request is sent.
struct HttpRequest {
  std::string Path_;
  /// Names and values of the query's parameters.
  std::vector<std::pair<std::string, std::string>> Query_;
  /// The response must begin by this time and then arrive without a long pause.
  std::chrono::steady_clock::time_point Deadline_{};
  /// The same on a connection that served earlier requests, if sooner.
  std::chrono::steady_clock::time_point PersistentDeadline_ =
      std::chrono::steady_clock::time_point::max();
};

/// Returns the request target as it is sent. A server that decodes it gets the
/// bytes of the path and of each parameter unchanged.
std::string encodeTarget(const HttpRequest &Request);

struct HttpResponse {
  unsigned Status_ = 0;
  std::string Body_;
};

/// Why a request has no response that can be used.
struct HttpFailure {
  enum class Kind : std::uint8_t {
    NoResponse, ///< The connection failed or the request timed out.
    Unreadable  ///< The response is too long or is not HTTP.
  };
  Kind Kind_ = Kind::NoResponse;
  std::string Reason_;
  /// Since when a connection that was opened for this request has given no
  /// response. Empty if an earlier connection was used: one that goes silent
  /// says nothing about the server.
  std::optional<std::chrono::steady_clock::time_point> UnansweredSince_;
};

class HttpClient {
public:
  /// Time without requests after which a connection is closed. Whether it still
  /// works can't be known without using it, and the next request would pay for
  /// finding out with its whole timeout.
  static constexpr auto MaxIdleTime = std::chrono::milliseconds(1000);
  /// Largest response body that is accepted, in bytes.
  static constexpr std::uint64_t MaxBodyBytes = 8 << 20;

  /// Receives the response, or `std::nullopt` and the reason.
  using Handler =
      std::function<void(std::optional<HttpResponse>, const HttpFailure &)>;

  HttpClient(asio::io_context &Context, const Endpoint &Server);
  ~HttpClient();

  /// Sends a request and later calls \p OnResponse once, never before this
  /// function returns. The previous request must have completed. The next
  /// request after a failure opens a new connection, and so does a request
  /// whose persistent connection the server closes before it answers.
  void get(const HttpRequest &Request, Handler OnResponse);

private:
  class Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace thymewall::detail

#endif

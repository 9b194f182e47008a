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

namespace thymewall::detail {

struct HttpResponse {
  unsigned Status_ = 0;
  std::string Body_;
};

class HttpClient {
public:
  /// Receives the response, or `std::nullopt` and the \p Reason if the
  /// connection failed or the request timed out.
  using Handler = std::function<void(std::optional<HttpResponse>,
                                     const std::string &Reason)>;

  HttpClient(asio::io_context &Context, const Endpoint &Server);
  ~HttpClient();

  /// Sends a GET request and later calls \p OnResponse once, never before this
  /// function returns. The response must begin by \p Deadline and then arrive
  /// without a long pause. The previous request must have completed. The next
  /// request after a failure opens a new connection, and so does a request
  /// whose persistent connection the server closes before it answers.
  void get(const std::string &Target,
           std::chrono::steady_clock::time_point Deadline, Handler OnResponse);

private:
  class Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace thymewall::detail

#endif

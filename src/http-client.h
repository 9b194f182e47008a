/// \file
/// An HTTP/1.1 client on an Asio context: one connection that is kept, one call
/// at a time, and a deadline for each. Messages are parsed by Boost.Beast.
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
  /// Nothing when the connection failed or the deadline passed; \p Reason says
  /// which.
  using Handler = std::function<void(std::optional<HttpResponse>,
                                     const std::string &Reason)>;

  HttpClient(asio::io_context &Context, const Endpoint &Server);
  ~HttpClient();

  /// Calls \p OnResponse once, never before this returns. The answer must begin
  /// by \p Deadline and then keep coming. The call before must have been
  /// answered. After a failure the connection is made anew.
  void get(const std::string &Target,
           std::chrono::steady_clock::time_point Deadline, Handler OnResponse);

private:
  class Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace thymewall::detail

#endif

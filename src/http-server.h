/// \file
/// Small HTTP/1.1 server on an Asio context for readiness, status and metrics
/// pages. Only GET requests are supported.
#ifndef THYMEWALL_SRC_HTTP_SERVER_H
#define THYMEWALL_SRC_HTTP_SERVER_H

#include "thymewall/core.h"

#include <asio/io_context.hpp>
#include <functional>
#include <memory>

namespace thymewall::detail {

/// Response of the server: status code, content type and body.
struct HttpPage {
  unsigned Status_ = 200;
  std::string Type_ = "text/plain";
  std::string Body_;
};

/// Returns the path of a request target, without its query.
inline std::string pathOf(const std::string &Target) {
  return Target.substr(0, Target.find('?'));
}

class HttpServer {
public:
  /// Sends the response; may be called after the request handler has returned.
  using Reply = std::function<void(const HttpPage &Page)>;
  /// Handles a GET request for \p Target (path and query) and calls \p Respond
  /// with the page; an unknown target gets status 404.
  using RequestHandler =
      std::function<void(const std::string &Target, const Reply &Respond)>;

  /// Listens on \p Local. Throws `std::system_error` if it can't be bound.
  HttpServer(asio::io_context &Context, const Endpoint &Local,
             RequestHandler Handler);
  ~HttpServer();

private:
  class Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace thymewall::detail

#endif

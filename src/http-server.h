/// \file
/// A small HTTP/1.1 server on an Asio context, for readiness, status and
/// metrics. Messages are parsed by Boost.Beast.
#ifndef THYMEWALL_SRC_HTTP_SERVER_H
#define THYMEWALL_SRC_HTTP_SERVER_H

#include "thymewall/core.h"

#include <asio/io_context.hpp>
#include <functional>
#include <memory>

namespace thymewall::detail {

struct HttpPage {
  unsigned Status_ = 200;
  std::string Type_ = "text/plain";
  std::string Body_;
};

/// The path of a target, without its query.
inline std::string pathOf(const std::string &Target) {
  return Target.substr(0, Target.find('?'));
}

class HttpServer {
public:
  /// Gives a page back, now or later.
  using Reply = std::function<void(const HttpPage &Page)>;
  /// Makes the page of a target (path and query); status 404 for one that there
  /// is not.
  using RequestHandler =
      std::function<void(const std::string &Target, const Reply &Respond)>;

  /// Throws `std::system_error` when the address can't be bound.
  HttpServer(asio::io_context &Context, const Endpoint &Local,
             RequestHandler Handler);
  ~HttpServer();

private:
  class Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace thymewall::detail

#endif

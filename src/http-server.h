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

class HttpServer {
public:
  /// Makes the page of a path; status 404 for one that there is not.
  using Source = std::function<HttpPage(const std::string &Path)>;

  /// Throws `std::system_error` when the address can't be bound.
  HttpServer(asio::io_context &Context, const Endpoint &Where, Source Pages);
  ~HttpServer();

private:
  class Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace thymewall::detail

#endif

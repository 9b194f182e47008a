#include "http-server.h"

#include "udp-socket.h"

#include <algorithm>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <optional>

namespace thymewall::detail {

namespace {

namespace http = boost::beast::http;
using Parser = http::request_parser<http::empty_body>;
using HandlerPtr = std::shared_ptr<const HttpServer::RequestHandler>;

constexpr std::size_t ReadBufferBytes = 2048;
/// A connection is closed this long after it opened or completed its last
/// request.
constexpr auto IdleTimeout = std::chrono::seconds(30);
/// Connections beyond this number are closed as soon as they are accepted.
constexpr std::size_t MaxConnections = 64;

std::string formatResponse(const HttpPage &Page) {
  std::string Text = "HTTP/1.1 " + std::to_string(Page.Status_) + " ";
  Text += http::obsolete_reason(http::int_to_status(Page.Status_));
  Text += "\r\nContent-Type: " + Page.Type_;
  Text += "\r\nContent-Length: " + std::to_string(Page.Body_.size());
  return Text + "\r\n\r\n" + Page.Body_;
}

/// A client connection. Pending asynchronous operations keep it alive.
class Connection : public std::enable_shared_from_this<Connection> {
public:
  Connection(asio::ip::tcp::socket Socket, HandlerPtr Handler,
             std::shared_ptr<std::size_t> OpenCount)
      : Socket_(std::move(Socket)), IdleTimer_(Socket_.get_executor()),
        Handler_(std::move(Handler)), OpenCount_(std::move(OpenCount)) {
    ++*OpenCount_;
  }
  ~Connection() { --*OpenCount_; }

  void start() {
    Parser_.emplace();
    armIdleTimer();
    read();
  }

private:
  void armIdleTimer() {
    IdleTimer_.expires_after(IdleTimeout);
    IdleTimer_.async_wait(
        [Self = shared_from_this()](const asio::error_code &E) {
          asio::error_code Ignored;
          if (!E)
            Self->Socket_.close(Ignored);
        });
  }

  void read() {
    Socket_.async_read_some(
        asio::buffer(Buffer_),
        [Self = shared_from_this()](const asio::error_code &Error,
                                    std::size_t Size) {
          if (Error)
            Self->IdleTimer_.cancel();
          else
            Self->parse(Size);
        });
  }

  void parse(std::size_t Size) {
    Unparsed_.append(Buffer_.data(), Size);
    boost::system::error_code Error;
    std::size_t Parsed = Parser_->put(
        boost::asio::const_buffer(Unparsed_.data(), Unparsed_.size()), Error);
    Unparsed_.erase(0, Parsed);
    if (Parser_->is_done())
      return handleRequest();
    if (Error && Error != http::error::need_more) {
      IdleTimer_.cancel();
      return; // invalid request: the destructor closes the socket
    }
    read();
  }

  void handleRequest() {
    const auto &Request = Parser_->get();
    std::string Target(Request.target());
    if (Request.method() != http::verb::get)
      return write({405, "text/plain", ""});
    (*Handler_)(Target, [Self = shared_from_this()](const HttpPage &Page) {
      Self->write(Page);
    });
  }

  void write(const HttpPage &Page) {
    Output_ = formatResponse(Page);
    bool KeepAlive = Parser_->keep_alive();
    asio::async_write(Socket_, asio::buffer(Output_),
                      [Self = shared_from_this(),
                       KeepAlive](const asio::error_code &Error, std::size_t) {
                        if (Error || !KeepAlive)
                          Self->IdleTimer_.cancel();
                        else
                          Self->start();
                      });
  }

  asio::ip::tcp::socket Socket_;
  asio::steady_timer IdleTimer_;
  HandlerPtr Handler_;
  std::shared_ptr<std::size_t> OpenCount_;
  std::optional<Parser> Parser_;
  std::array<char, ReadBufferBytes> Buffer_{};
  std::string Unparsed_;
  std::string Output_;
};

} // namespace

class HttpServer::Impl : public std::enable_shared_from_this<Impl> {
public:
  Impl(asio::io_context &Context, const Endpoint &Local, RequestHandler Handler)
      : Acceptor_(Context, {toAsio(Local).address(), Local.Port_}),
        Handler_(std::make_shared<const RequestHandler>(std::move(Handler))) {}

  void accept() {
    Acceptor_.async_accept(
        [Self = shared_from_this()](const asio::error_code &Error,
                                    asio::ip::tcp::socket Socket) {
          if (!Self->Acceptor_.is_open())
            return;
          if (!Error && *Self->OpenCount_ < MaxConnections)
            std::make_shared<Connection>(std::move(Socket), Self->Handler_,
                                         Self->OpenCount_)
                ->start();
          Self->accept();
        });
  }

  void close() {
    asio::error_code Ignored;
    Acceptor_.close(Ignored);
  }

private:
  asio::ip::tcp::acceptor Acceptor_;
  HandlerPtr Handler_;
  std::shared_ptr<std::size_t> OpenCount_ = std::make_shared<std::size_t>(0);
};

HttpServer::HttpServer(asio::io_context &Context, const Endpoint &Local,
                       RequestHandler Handler)
    : Impl_(std::make_shared<Impl>(Context, Local, std::move(Handler))) {
  Impl_->accept();
}
HttpServer::~HttpServer() { Impl_->close(); }

} // namespace thymewall::detail

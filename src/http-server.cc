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
using PagesPtr = std::shared_ptr<const HttpServer::RequestHandler>;

constexpr std::size_t ReadSize = 2048;
/// A connection that sends nothing for this long is closed; the fabric asks
/// twice a second.
constexpr auto IdleLimit = std::chrono::seconds(30);
/// Connections held at once: the fabric, a scraper and some operators.
constexpr std::size_t MaxConnections = 64;

std::string render(const HttpPage &Page) {
  std::string Text = "HTTP/1.1 " + std::to_string(Page.Status_) + " ";
  Text += http::obsolete_reason(http::int_to_status(Page.Status_));
  Text += "\r\nContent-Type: " + Page.Type_;
  Text += "\r\nContent-Length: " + std::to_string(Page.Body_.size());
  return Text + "\r\n\r\n" + Page.Body_;
}

/// One connection; lives while an operation on it is under way.
class Connection : public std::enable_shared_from_this<Connection> {
public:
  Connection(asio::ip::tcp::socket Socket, PagesPtr Pages,
             std::shared_ptr<std::size_t> Open)
      : Socket_(std::move(Socket)), Idle_(Socket_.get_executor()),
        Pages_(std::move(Pages)), Open_(std::move(Open)) {
    ++*Open_;
  }
  ~Connection() { --*Open_; }

  void start() {
    Parser_.emplace();
    armIdleTimer();
    read();
  }

private:
  void armIdleTimer() {
    Idle_.expires_after(IdleLimit);
    Idle_.async_wait([Self = shared_from_this()](const asio::error_code &E) {
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
            Self->Idle_.cancel();
          else
            Self->parse(Size);
        });
  }

  void parse(std::size_t Size) {
    Pending_.append(Buffer_.data(), Size);
    boost::system::error_code Error;
    std::size_t Used = Parser_->put(
        boost::asio::const_buffer(Pending_.data(), Pending_.size()), Error);
    Pending_.erase(0, Used);
    if (Parser_->is_done())
      return answer();
    if (Error && Error != http::error::need_more) {
      Idle_.cancel();
      return; // not HTTP: the connection ends with this object
    }
    read();
  }

  void answer() {
    const auto &Request = Parser_->get();
    std::string Target(Request.target());
    if (Request.method() != http::verb::get)
      return write({405, "text/plain", ""});
    (*Pages_)(Target, [Self = shared_from_this()](const HttpPage &Page) {
      Self->write(Page);
    });
  }

  void write(const HttpPage &Page) {
    Text_ = render(Page);
    bool Kept = Parser_->keep_alive();
    asio::async_write(Socket_, asio::buffer(Text_),
                      [Self = shared_from_this(),
                       Kept](const asio::error_code &Error, std::size_t) {
                        if (Error || !Kept)
                          Self->Idle_.cancel();
                        else
                          Self->start();
                      });
  }

  asio::ip::tcp::socket Socket_;
  asio::steady_timer Idle_;
  PagesPtr Pages_;
  std::shared_ptr<std::size_t> Open_;
  std::optional<Parser> Parser_;
  std::array<char, ReadSize> Buffer_{};
  std::string Pending_;
  std::string Text_;
};

} // namespace

class HttpServer::Impl : public std::enable_shared_from_this<Impl> {
public:
  Impl(asio::io_context &Context, const Endpoint &Where, RequestHandler Pages)
      : Acceptor_(Context, {toAsio(Where).address(), Where.Port_}),
        Pages_(std::make_shared<const RequestHandler>(std::move(Pages))) {}

  void accept() {
    Acceptor_.async_accept(
        [Self = shared_from_this()](const asio::error_code &Error,
                                    asio::ip::tcp::socket Socket) {
          if (!Self->Acceptor_.is_open())
            return;
          if (!Error && *Self->Open_ < MaxConnections)
            std::make_shared<Connection>(std::move(Socket), Self->Pages_,
                                         Self->Open_)
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
  PagesPtr Pages_;
  std::shared_ptr<std::size_t> Open_ = std::make_shared<std::size_t>(0);
};

HttpServer::HttpServer(asio::io_context &Context, const Endpoint &Where,
                       RequestHandler Pages)
    : Impl_(std::make_shared<Impl>(Context, Where, std::move(Pages))) {
  Impl_->accept();
}
HttpServer::~HttpServer() { Impl_->close(); }

} // namespace thymewall::detail

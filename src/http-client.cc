#include "http-client.h"

#include "udp-socket.h"

#include <asio/connect.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/url/encode.hpp>
#include <boost/url/rfc/unreserved_chars.hpp>

namespace thymewall::detail {

namespace {

namespace http = boost::beast::http;
using Parser = http::response_parser<http::string_body>;

constexpr std::size_t ReadBufferBytes = 16384;
/// Idle timeout within a response. It extends the request's deadline, so that a
/// slow but steady transfer of a long list is not aborted and repeated.
constexpr auto ReadIdleTimeout = std::chrono::milliseconds(1000);

/// Characters that need no encoding in a path or in a parameter. Encoding more
/// than necessary is always valid.
constexpr auto PlainChars = boost::urls::unreserved_chars + '/';

} // namespace

std::string encodeTarget(const HttpRequest &Request) {
  std::string Target = boost::urls::encode(Request.Path_, PlainChars);
  char Separator = '?';
  for (const auto &[Name, Value] : Request.Query_) {
    Target += Separator + boost::urls::encode(Name, PlainChars) + '=' +
              boost::urls::encode(Value, PlainChars);
    Separator = '&';
  }
  return Target;
}

class HttpClient::Impl : public std::enable_shared_from_this<Impl> {
public:
  Impl(asio::io_context &Context, const Endpoint &Server)
      : Socket_(Context), Timer_(Context), Server_(toAsio(Server)),
        Host_(formatEndpoint(Server)) {}

  void get(const HttpRequest &Request, Handler OnResponse) {
    OnResponse_ = std::move(OnResponse);
    Request_ = "GET " + encodeTarget(Request) + " HTTP/1.1\r\nHost: " + Host_ +
               "\r\n\r\n";
    ++RequestId_;
    // The timer that closes it may be late.
    if (std::chrono::steady_clock::now() >= IdleUntil_)
      closeConnection();
    IsReused_ = Socket_.is_open();
    FailAt_ = IsReused_
                  ? std::min(Request.Deadline_, Request.PersistentDeadline_)
                  : Request.Deadline_;
    NewConnectionFailAt_ = Request.Deadline_;
    ConnectedSince_.reset();
    armTimer();
    if (IsReused_)
      send();
    else
      connect();
  }

  void close() {
    OnResponse_ = nullptr;
    ++RequestId_;
    Timer_.cancel();
    closeConnection();
  }

private:
  /// Wraps a completion handler so that it does nothing after the request
  /// ended.
  template <typename Function> auto guard(Function Then) {
    return [Self = shared_from_this(), RequestId = RequestId_,
            Then](const asio::error_code &Error, auto... Rest) {
      if (Self->RequestId_ != RequestId)
        return;
      if (Error)
        Self->connectionFailed(Error.message());
      else
        Then(*Self, Rest...);
    };
  }

  /// Fails the request at `FailAt_`, which is extended while data arrives.
  void armTimer() {
    Timer_.expires_at(FailAt_);
    Timer_.async_wait([Self = shared_from_this(),
                       RequestId = RequestId_](const asio::error_code &Error) {
      if (Error || Self->RequestId_ != RequestId)
        return;
      if (Self->FailAt_ > std::chrono::steady_clock::now())
        Self->armTimer();
      else
        Self->fail(HttpFailure::Kind::NoResponse,
                   Self->ConnectedSince_
                       ? "timed out waiting for the response"
                       : "timed out on a connection that served earlier "
                         "requests");
    });
  }

  void connect() {
    ConnectedSince_ = std::chrono::steady_clock::now();
    Socket_.async_connect(
        {Server_.address(), Server_.port()}, guard([](Impl &Self) {
          asio::error_code Ignored;
          Self.Socket_.set_option(asio::ip::tcp::no_delay(true), Ignored);
          Self.send();
        }));
  }

  void send() {
    asio::async_write(
        Socket_, asio::buffer(Request_),
        guard([](Impl &Self, std::size_t) { Self.startReading(); }));
  }

  void startReading() {
    Parser_.emplace();
    Parser_->body_limit(MaxBodyBytes);
    Parser_->eager(true);
    Unparsed_.clear();
    read();
  }

  void read() {
    Socket_.async_read_some(
        asio::buffer(Buffer_),
        guard([](Impl &Self, std::size_t Size) { Self.parse(Size); }));
  }

  void parse(std::size_t Size) {
    IsReused_ = false;
    FailAt_ =
        std::max(FailAt_, std::chrono::steady_clock::now() + ReadIdleTimeout);
    Unparsed_.append(Buffer_.data(), Size);
    boost::system::error_code Error;
    std::size_t Parsed = 0;
    while (Parsed < Unparsed_.size() && !Parser_->is_done()) {
      std::size_t Consumed =
          Parser_->put(boost::asio::const_buffer(Unparsed_.data() + Parsed,
                                                 Unparsed_.size() - Parsed),
                       Error);
      Parsed += Consumed;
      if (Error && Error != http::error::need_more)
        return fail(HttpFailure::Kind::Unreadable,
                    "invalid HTTP response: " + Error.message());
      if (Error || Consumed == 0)
        break;
    }
    Unparsed_.erase(0, Parsed);
    if (Parser_->is_done())
      finish();
    else
      read();
  }

  void finish() {
    HttpResponse Response{Parser_->get().result_int(),
                          std::move(Parser_->get().body())};
    bool KeepAlive = Parser_->keep_alive();
    Handler Done = std::move(OnResponse_);
    endRequest(!KeepAlive);
    Done(std::move(Response), {});
  }

  /// A server may close a persistent connection at any time, which says nothing
  /// about whether it answers. The request is sent once more on a new one.
  void connectionFailed(const std::string &Reason) {
    if (!IsReused_)
      return fail(HttpFailure::Kind::NoResponse, Reason);
    IsReused_ = false;
    closeConnection();
    FailAt_ = NewConnectionFailAt_;
    connect();
  }

  void fail(HttpFailure::Kind Kind, const std::string &Reason) {
    HttpFailure Failure{Kind, Reason, std::nullopt};
    if (Kind == HttpFailure::Kind::NoResponse)
      Failure.UnansweredSince_ = ConnectedSince_;
    Handler Done = std::move(OnResponse_);
    endRequest(true);
    Done(std::nullopt, Failure);
  }

  void endRequest(bool Close) {
    ++RequestId_;
    if (Close)
      closeConnection();
    IdleUntil_ = std::chrono::steady_clock::now() + MaxIdleTime;
    Timer_.expires_at(IdleUntil_); // cancels the wait for the deadline
    if (Close)
      return;
    Timer_.async_wait([Self = shared_from_this(),
                       RequestId = RequestId_](const asio::error_code &Error) {
      if (!Error && Self->RequestId_ == RequestId)
        Self->closeConnection();
    });
  }

  void closeConnection() {
    asio::error_code Ignored;
    Socket_.close(Ignored);
  }

  asio::ip::tcp::socket Socket_;
  asio::steady_timer Timer_;
  std::chrono::steady_clock::time_point FailAt_;
  std::chrono::steady_clock::time_point
      NewConnectionFailAt_; ///< On a new connection.
  /// When a connection was opened for the current request; empty if it uses an
  /// earlier one.
  std::optional<std::chrono::steady_clock::time_point> ConnectedSince_;
  asio::ip::udp::endpoint Server_;
  std::string Host_;
  std::string Request_;
  std::string Unparsed_; ///< Received, but not parsed yet.
  std::optional<Parser> Parser_;
  std::array<char, ReadBufferBytes> Buffer_{};
  Handler OnResponse_;
  /// When an unused connection is closed.
  std::chrono::steady_clock::time_point IdleUntil_;
  /// The connection served an earlier request and has not answered this one.
  bool IsReused_ = false;
  std::uint64_t RequestId_ = 0; ///< Changes when a request starts or ends.
};

HttpClient::HttpClient(asio::io_context &Context, const Endpoint &Server)
    : Impl_(std::make_shared<Impl>(Context, Server)) {}
HttpClient::~HttpClient() { Impl_->close(); }
void HttpClient::get(const HttpRequest &Request, Handler OnResponse) {
  Impl_->get(Request, std::move(OnResponse));
}

} // namespace thymewall::detail

// The HTTP client against a faulty server, and the HTTP server against a faulty
// client, on loopback. Durations are not checked.
#include "http-client.h"
#include "http-server.h"

#include <asio/ip/tcp.hpp>
#include <asio/read_until.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <doctest/doctest.h>

using namespace thymewall;
using namespace thymewall::detail;
using namespace std::chrono_literals;

namespace {

using asio::ip::tcp;

/// Answers each request with the next text of the script. An empty text closes
/// the connection, a form feed pauses for 400 ms, and requests after the end of
/// the script get no answer.
class ScriptedServer {
public:
  ScriptedServer(asio::io_context &Context, std::vector<std::string> Script)
      : Acceptor_(Context, {asio::ip::address_v4::loopback(), 0}),
        Script_(std::move(Script)) {
    accept();
  }

  Endpoint at() const {
    return Endpoint::v4(0x7f000001, Acceptor_.local_endpoint().port());
  }
  int connections() const { return Connections_; }

private:
  void accept() {
    Acceptor_.async_accept(
        [this](const asio::error_code &Error, tcp::socket Socket) {
          if (Error)
            return;
          ++Connections_;
          serve(std::make_shared<tcp::socket>(std::move(Socket)));
          accept();
        });
  }

  void serve(const std::shared_ptr<tcp::socket> &Socket) {
    auto Request = std::make_shared<std::string>();
    asio::async_read_until(
        *Socket, asio::dynamic_buffer(*Request), "\r\n\r\n",
        [this, Socket, Request](const asio::error_code &Error, std::size_t) {
          if (Error || Next_ == Script_.size()) {
            Unanswered_.push_back(Socket);
            return;
          }
          auto Text = std::make_shared<std::string>(Script_[Next_++]);
          if (Text->empty())
            return; // destroying the last reference closes the socket
          write(Socket, Text);
        });
  }

  void write(const std::shared_ptr<tcp::socket> &Socket,
             const std::shared_ptr<std::string> &Text) {
    std::size_t Pause = Text->find('\f');
    std::string Rest =
        Pause == std::string::npos ? "" : Text->substr(Pause + 1);
    Text->resize(std::min(Pause, Text->size()));
    asio::async_write(
        *Socket, asio::buffer(*Text),
        [this, Socket, Text, Rest](const asio::error_code &E, std::size_t) {
          if (E)
            return;
          if (!Rest.empty())
            return writeLater(Socket, std::make_shared<std::string>(Rest));
          if (Text->find("close") == std::string::npos)
            serve(Socket);
        });
  }

  void writeLater(const std::shared_ptr<tcp::socket> &Socket,
                  const std::shared_ptr<std::string> &Text) {
    auto Timer = std::make_shared<asio::steady_timer>(
        Acceptor_.get_executor(), std::chrono::milliseconds(400));
    Timer->async_wait([this, Socket, Text, Timer](const asio::error_code &) {
      write(Socket, Text);
    });
  }

  tcp::acceptor Acceptor_;
  std::vector<std::string> Script_;
  std::vector<std::shared_ptr<tcp::socket>> Unanswered_;
  std::size_t Next_ = 0;
  int Connections_ = 0;
};

std::string ok(const std::string &Body) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(Body.size()) +
         "\r\n\r\n" + Body;
}

/// Sends \p Count requests in sequence, with pauses, and returns each result:
/// "200 body" or "failed".
std::vector<std::string> sendRequests(asio::io_context &Context,
                                      const Endpoint &At, int Count,
                                      std::chrono::milliseconds Pause = 0ms) {
  HttpClient Client(Context, At);
  asio::steady_timer Timer(Context);
  std::vector<std::string> Results;
  std::function<void()> Call = [&] {
    Client.get({"/x", {}, std::chrono::steady_clock::now() + 300ms},
               [&](std::optional<HttpResponse> A, const HttpFailure &Failure) {
                 CHECK(A.has_value() == Failure.Reason_.empty());
                 Results.push_back(A ? std::to_string(A->Status_) + " " +
                                           A->Body_
                                     : "failed");
                 if (static_cast<int>(Results.size()) == Count)
                   return Context.stop();
                 if (Pause == 0ms)
                   return Call();
                 Timer.expires_after(Pause);
                 Timer.async_wait([&](const asio::error_code &) { Call(); });
               });
  };
  Call();
  Context.run();
  return Results;
}

using Strings = std::vector<std::string>;

/// Returns the server's output for raw bytes that are sent in pieces.
std::string sendRaw(const HttpServer::RequestHandler &Handler,
                    const Strings &Pieces) {
  asio::io_context Context;
  tcp::acceptor Free(Context, {asio::ip::address_v4::loopback(), 0});
  std::uint16_t Port = Free.local_endpoint().port();
  Free.close();
  HttpServer Server(Context, Endpoint::v4(0x7f000001, Port), Handler);
  tcp::socket Client(Context);
  std::string Received;
  std::array<char, 4096> Buffer{};
  std::size_t Sent = 0;
  std::function<void()> Send = [&] {
    if (Sent == Pieces.size())
      return;
    asio::async_write(Client, asio::buffer(Pieces[Sent++]),
                      [&](const asio::error_code &, std::size_t) { Send(); });
  };
  std::function<void()> Read = [&] {
    Client.async_read_some(asio::buffer(Buffer),
                           [&](const asio::error_code &E, std::size_t Size) {
                             Received.append(Buffer.data(), Size);
                             if (E || Received.find("END") != std::string::npos)
                               return Context.stop();
                             Read();
                           });
  };
  Client.async_connect({asio::ip::address_v4::loopback(), Port},
                       [&](const asio::error_code &Error) {
                         REQUIRE_FALSE(Error);
                         Send();
                         Read();
                       });
  Context.run();
  return Received;
}

void handlePage(const std::string &Target, const HttpServer::Reply &Answer) {
  bool Known = pathOf(Target) == "/known";
  Answer({Known ? 200U : 404U, "text/plain", "END"});
}

} // namespace

TEST_CASE("a response that keeps arriving may end after its deadline") {
  asio::io_context Context;
  std::string SlowResponse = ok("whole");
  SlowResponse.insert(SlowResponse.size() - 2,
                      "\f"); // 400 ms; the deadline is after 300 ms
  ScriptedServer Server(Context, {SlowResponse, ok("next")});
  CHECK(sendRequests(Context, Server.at(), 2) ==
        Strings{"200 whole", "200 next"});
}

TEST_CASE("a response that stops half-way fails") {
  asio::io_context Context;
  std::string HalfResponse = ok("whole");
  HalfResponse.resize(HalfResponse.size() - 2);
  ScriptedServer Server(Context, {HalfResponse, ok("next")});
  CHECK(sendRequests(Context, Server.at(), 2) == Strings{"failed", "200 next"});
}

TEST_CASE("a request that times out on a reused connection is followed by one "
          "on a new connection") {
  asio::io_context Context;
  std::string PartialResponse = ok("");
  PartialResponse.resize(10);
  ScriptedServer Server(Context,
                        {ok("page 1"), PartialResponse, ok("page 1"), ok("2")});
  CHECK(sendRequests(Context, Server.at(), 4) ==
        Strings{"200 page 1", "failed", "200 page 1", "200 2"});
  CHECK(Server.connections() == 2);
}

TEST_CASE("a request target is one word whatever its parts contain") {
  std::string All;
  for (int C = 0; C < 256; ++C)
    All += static_cast<char>(C);
  std::string Target =
      encodeTarget({"/a b" + All, {{All, "1"}, {"x", All}}, {}});
  for (char C : Target)
    CHECK((C > ' ' && C < 0x7f));
  CHECK(std::count(Target.begin(), Target.end(), '?') == 1);
  CHECK(std::count(Target.begin(), Target.end(), '&') == 1);
  CHECK(std::count(Target.begin(), Target.end(), '=') == 2);
  CHECK(encodeTarget({"/a/b", {{"after", "a b+%&\xff"}, {"k", ""}}, {}}) ==
        "/a/b?after=a%20b%2B%25%26%FF&k=");
  CHECK(encodeTarget({"/a", {}, {}}) == "/a");
}

TEST_CASE("successive requests reuse the connection") {
  asio::io_context Context;
  ScriptedServer Server(Context, {ok("a"), ok("b"), ok("c")});
  CHECK(sendRequests(Context, Server.at(), 3) ==
        Strings{"200 a", "200 b", "200 c"});
  CHECK(Server.connections() == 1);
}

// A connection may go silent while it isn't used, without a reset.
TEST_CASE("a request after a rest doesn't depend on the connection before it") {
  asio::io_context Context;
  ScriptedServer Server(Context, {ok("a"), ok("b"), ok("c")});
  CHECK(
      sendRequests(Context, Server.at(), 3, HttpClient::MaxIdleTime + 100ms) ==
      Strings{"200 a", "200 b", "200 c"});
  CHECK(Server.connections() == 3);
}

TEST_CASE("a persistent connection that the server has closed is no failure of "
          "the server") {
  asio::io_context Context;
  ScriptedServer Server(Context, {ok("a"), "", ok("b"), "", "", ok("c")});
  // The third request fails on the new connection, too.
  CHECK(sendRequests(Context, Server.at(), 4) ==
        Strings{"200 a", "200 b", "failed", "200 c"});
  CHECK(Server.connections() == 4);
}

TEST_CASE("a response with an error status is not a failure") {
  asio::io_context Context;
  ScriptedServer Server(
      Context, {"HTTP/1.1 429 Too Many\r\nContent-Length: 0\r\n\r\n", ok("b")});
  CHECK(sendRequests(Context, Server.at(), 2) == Strings{"429 ", "200 b"});
}

TEST_CASE("the client reads a chunked body") {
  asio::io_context Context;
  ScriptedServer Server(Context,
                        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                         "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"});
  CHECK(sendRequests(Context, Server.at(), 1) == Strings{"200 abcde"});
}

TEST_CASE("the next request after a failure opens a new connection") {
  std::string First;
  SUBCASE("the server closes without a response") { First = ""; }
  SUBCASE("the response is incomplete") {
    First = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\nX: close\r\n\r\nhalf";
  }
  SUBCASE("the response is not HTTP") { First = "what is this\r\n\r\n"; }
  asio::io_context Context;
  ScriptedServer Server(Context, {First, ok("b")});
  CHECK(sendRequests(Context, Server.at(), 2) == Strings{"failed", "200 b"});
  CHECK(Server.connections() == 2);
}

TEST_CASE("a request without a response fails at its deadline") {
  asio::io_context Context;
  ScriptedServer Server(Context, {});
  CHECK(sendRequests(Context, Server.at(), 1) == Strings{"failed"});
}

TEST_CASE("the server handles split requests, unknown paths and methods other "
          "than GET") {
  CHECK(sendRaw(handlePage,
                {"GET /kno", "wn?a=b HTTP/1.1\r\nHo", "st: x\r\n\r\n"})
            .find("HTTP/1.1 200 OK") == 0);
  CHECK(sendRaw(handlePage, {"GET /other HTTP/1.1\r\n\r\n"})
            .find("HTTP/1.1 404") == 0);
  CHECK(sendRaw(handlePage, {"POST /known HTTP/1.1\r\nConnection: close\r\n"
                             "Content-Length: 0\r\n\r\n"})
            .find("HTTP/1.1 405") == 0);
}

TEST_CASE(
    "the server closes the connection on invalid HTTP without a response") {
  CHECK(sendRaw(handlePage, {"\x01\x02\x03\r\n\r\n"}).empty());
}

// Silence of an earlier connection says nothing about the server.
TEST_CASE("a failure tells whether a connection of its own went silent") {
  asio::io_context Context;
  ScriptedServer Server(Context, {ok("a")});
  HttpClient Client(Context, Server.at());
  std::vector<HttpFailure> Failures;
  std::function<void()> Call = [&] {
    auto Begin = std::chrono::steady_clock::now();
    Client.get({"/x", {}, Begin + 400ms, Begin + 50ms},
               [&, Begin](const auto &, const HttpFailure &Failure) {
                 Failures.push_back(Failure);
                 if (Failures.size() == 3) {
                   CHECK(*Failure.UnansweredSince_ >= Begin);
                   return Context.stop();
                 }
                 Call();
               });
  };
  Call();
  Context.run();
  REQUIRE(Failures.size() == 3);
  CHECK(Failures[0].Reason_.empty()); // answered
  CHECK_FALSE(Failures[1].Reason_.empty());
  CHECK_FALSE(Failures[1].UnansweredSince_);
  CHECK(Failures[2].UnansweredSince_);
  CHECK(Server.connections() == 2);
}

TEST_CASE("a response that can't be read is no silence of the server") {
  for (const std::string &Response :
       {std::string("what is this\r\n\r\n"),
        "HTTP/1.1 200 OK\r\nContent-Length: " +
            std::to_string(HttpClient::MaxBodyBytes + 1) + "\r\n\r\n"}) {
    asio::io_context Context;
    ScriptedServer Server(Context, {Response});
    HttpClient Client(Context, Server.at());
    HttpFailure Result;
    Client.get({"/x", {}, std::chrono::steady_clock::now() + 400ms},
               [&](const auto &, const HttpFailure &Failure) {
                 Result = Failure;
                 Context.stop();
               });
    Context.run();
    CHECK(Result.Kind_ == HttpFailure::Kind::Unreadable);
    CHECK_FALSE(Result.UnansweredSince_);
  }
}

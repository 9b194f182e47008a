/// \file
/// Stand-in for the platform's key-value store that serves lists page by page
/// over HTTP, and a reader that calls it through the store client.
#ifndef THYMEWALL_TEST_PAGED_STORE_H
#define THYMEWALL_TEST_PAGED_STORE_H

#include "clock.h"
#include "http-server.h"
#include "published-items.h"
#include "store-client.h"

#include <asio/ip/tcp.hpp>
#include <functional>
#include <map>

namespace thymewall::test {

/// Decodes the parameters of a request target.
inline std::map<std::string, std::string> queryOf(const std::string &Target) {
  std::map<std::string, std::string> Query;
  std::string Name;
  std::string Text;
  std::size_t Start = std::min(Target.find('?'), Target.size() - 1) + 1;
  for (std::size_t I = Start; I <= Target.size(); ++I) {
    if (I == Target.size() || Target[I] == '&') {
      Query[std::exchange(Name, "")] = std::exchange(Text, "");
    } else if (Target[I] == '=') {
      Name = std::exchange(Text, "");
    } else if (Target[I] == '%') {
      Text +=
          static_cast<char>(std::stoi(Target.substr(I + 1, 2), nullptr, 16));
      I += 2;
    } else {
      Text += Target[I] == '+' ? ' ' : Target[I];
    }
  }
  return Query;
}

class PagedStore {
public:
  using Query = std::map<std::string, std::string>;
  /// Replaces the response to a request, if it returns one.
  using Fault = std::function<std::optional<detail::HttpPage>(
      const std::string &Path, const Query &Parameters)>;

  PagedStore()
      : At_(freeAddress()),
        Server_(Context_, At_,
                [this](const std::string &Target,
                       const detail::HttpServer::Reply &Respond) {
                  Targets_.push_back(Target);
                  Respond(respond(Target));
                }),
        Client_(platform::makeStoreClient(Context_, At_)) {}

  /// Publishes an item with the next revision.
  void put(const std::string &Key, const Json &Value) {
    Items_[Key] = makeItem(Key, Value, ++Revision_);
  }
  /// Publishes an upstream.
  void putUpstream(const std::string &Key) {
    put(Key, {{"backend", "index"},
              {"address", "10.128.0.9:8080"},
              {"zone", "ams-hall-a"},
              {"version", "v1"},
              {"capacity", 3},
              {"state", "ready"},
              {"warmup-left-ms", 0},
              {"call-seq", 4}});
  }
  void setPageSize(std::size_t Items) { PageSize_ = Items; }
  void setFault(Fault Replace) { Fault_ = std::move(Replace); }

  /// Makes a call and returns its response.
  ConfigResponse call(ConfigRequest::Kind Kind, Revision After = 0) {
    ConfigRequest Request;
    Request.Kind_ = Kind;
    Request.After_ = After;
    Request.WaitUntil_ = detail::monoNow();
    Request.GiveUpAt_ = Request.WaitUntil_ + ConfigReader::ResponseTimeout;
    Request.PersistentGiveUpAt_ = Request.GiveUpAt_;
    std::optional<ConfigResponse> Result;
    Client_(Request, [&](const ConfigResponse &Response) {
      Result = Response;
      Context_.stop();
    });
    Context_.restart();
    Context_.run();
    REQUIRE(Result);
    return *Result;
  }
  Revision revision() const { return Revision_; }
  /// Targets of all requests so far.
  const std::vector<std::string> &targets() const { return Targets_; }

  /// Returns the page of a list that starts after a key.
  detail::HttpPage page(const Query &Parameters) const {
    auto Value = [&](const char *Name) {
      auto Found = Parameters.find(Name);
      return Found == Parameters.end() ? std::string() : Found->second;
    };
    std::string Prefix = Value("path-prefix");
    Json Page = Json::array();
    bool HasMore = false;
    for (const auto &[Key, Item] : Items_) {
      if (Key.compare(0, Prefix.size(), Prefix) != 0 || Key <= Value("after"))
        continue;
      HasMore = Page.size() == PageSize_;
      if (HasMore)
        break;
      Page.push_back(Item);
    }
    return jsonPage({{"items", Page},
                     {"has-more", HasMore},
                     {"store-revision", Revision_}});
  }

private:
  static Endpoint freeAddress() {
    asio::io_context Context;
    asio::ip::tcp::acceptor Free(Context,
                                 {asio::ip::address_v4::loopback(), 0});
    return Endpoint::v4(0x7f000001, Free.local_endpoint().port());
  }
  static detail::HttpPage jsonPage(const Json &Body) {
    return {200, "application/json", Body.dump()};
  }

  detail::HttpPage respond(const std::string &Target) const {
    std::string Path = detail::pathOf(Target);
    Query Parameters = queryOf(Target);
    if (Fault_)
      if (std::optional<detail::HttpPage> Replaced = Fault_(Path, Parameters))
        return *Replaced;
    if (Path == "/thymewall/kv-range")
      return page(Parameters);
    if (Path == "/thymewall/kv-key")
      return item(Parameters["key-file"]);
    return events(std::stoull(Parameters["after"]));
  }

  detail::HttpPage item(const std::string &Key) const {
    auto Found = Items_.find(Key);
    if (Found == Items_.end())
      return {404, "application/json", "{}"};
    Json Body = Found->second;
    Body["store-revision"] = Revision_;
    return jsonPage(Body);
  }

  detail::HttpPage events(Revision After) const {
    Json Events = Json::array();
    for (const auto &[Key, Item] : Items_)
      if (Item.at("revision").get<Revision>() > After)
        Events.push_back(Item);
    return jsonPage({{"events", Events}, {"store-revision", Revision_}});
  }

  asio::io_context Context_;
  std::map<std::string, Json> Items_;
  Revision Revision_ = 0;
  std::size_t PageSize_ = 500;
  Fault Fault_;
  std::vector<std::string> Targets_;
  Endpoint At_;
  detail::HttpServer Server_;
  detail::ConfigClient Client_;
};

} // namespace thymewall::test

#endif

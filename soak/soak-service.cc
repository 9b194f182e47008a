#include "soak-world.h"

#include "base64.h"

#include <nlohmann/json.hpp>

namespace thymewall::soak {

namespace {

using Json = nlohmann::json;
using test::base64;

std::uint64_t number(const std::string &Target, const std::string &Key) {
  auto At = Target.find(Key + "=");
  return At == std::string::npos
             ? 0
             : std::stoull(Target.substr(At + Key.size() + 1));
}

detail::HttpPage page(const std::string &Body) {
  return {200, "application/json", Body};
}

constexpr auto LookEvery = 5ms;
constexpr auto SlowBy = 250ms;

} // namespace

Endpoint ConfigurationService::at(std::size_t Balancer) {
  return parseEndpoint("127.0.9." + std::to_string(10 + Balancer) + ":" +
                       std::to_string(ServicePort));
}

ConfigurationService::ConfigurationService(asio::io_context &Context,
                                           std::size_t Balancers)
    : Timer_(Context), Faults_(Balancers) {
  for (std::size_t I = 0; I < Balancers; ++I)
    Servers_.push_back(std::make_unique<detail::HttpServer>(
        Context, at(I),
        [this, I](const std::string &Target,
                  const detail::HttpServer::Reply &Answer) {
          serve(I, Target, Answer);
        }));
  look();
}

void ConfigurationService::put(const std::string &Key,
                               const std::string &Text) {
  Items_[Key] = {Text, ++Revision_};
}

void ConfigurationService::remove(const std::string &Key) {
  Items_[Key] = {"", ++Revision_};
}

std::string ConfigurationService::events(Revision After) const {
  Json Events = Json::array();
  for (const auto &[Key, I] : Items_) {
    if (I.At_ <= After)
      continue;
    Json Event = {{"key-file", Key}, {"revision", I.At_}};
    if (I.Json_.empty())
      Event["is-gone"] = true;
    else
      Event["val"] = base64(I.Json_);
    Events.push_back(Event);
  }
  return Json{{"events", Events}, {"store-revision", Revision_}}.dump();
}

std::string ConfigurationService::items() const {
  Json Items = Json::array();
  for (const auto &[Key, I] : Items_)
    if (!I.Json_.empty())
      Items.push_back(
          {{"key-file", Key}, {"revision", I.At_}, {"val", base64(I.Json_)}});
  return Json{
      {"items", Items}, {"has-more", false}, {"store-revision", Revision_}}
      .dump();
}

void ConfigurationService::serve(std::size_t Balancer,
                                 const std::string &Target,
                                 const detail::HttpServer::Reply &Answer) {
  const ServiceFault &Fault = Faults_[Balancer];
  if (Fault.Silent_)
    return; // the connection stays open, without an answer
  if (Fault.Refuses_)
    return Answer({503, "text/plain", ""});
  bool Watch = Target.find("kv-watch") != std::string::npos;
  Revision After = number(Target, "after");
  if (Watch && After < KnownAfter_)
    return Answer({410, "text/plain", ""});
  std::chrono::milliseconds Wait(Watch ? number(Target, "wait-timeout-ms") : 0);
  if (Fault.Slow_)
    Wait += SlowBy;
  Waiting_.push_back({Balancer, Watch ? After : Revision_, now() + Wait,
                      [this, Watch, After, Answer](const detail::HttpPage &) {
                        Answer(page(Watch ? events(After) : items()));
                      }});
}

void ConfigurationService::look() {
  std::vector<Waiting> Left;
  Left.swap(Waiting_);
  for (Waiting &W : Left) {
    const ServiceFault &Fault = Faults_[W.Balancer_];
    bool Due = now() >= W.Until_ || (Revision_ > W.After_ && !Fault.Slow_);
    if (!Due)
      Waiting_.push_back(std::move(W));
    else if (!Fault.Silent_)
      W.Answer_({});
  }
  Timer_.expires_after(LookEvery);
  Timer_.async_wait([this](const asio::error_code &Error) {
    if (!Error)
      look();
  });
}

} // namespace thymewall::soak

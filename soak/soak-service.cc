#include "soak-world.h"

#include "base64.h"

#include <nlohmann/json.hpp>

namespace thymewall::soak {

namespace {

using Json = nlohmann::json;
using test::base64;

std::uint64_t queryNumber(const std::string &Target, const std::string &Key) {
  auto At = Target.find(Key + "=");
  return At == std::string::npos
             ? 0
             : std::stoull(Target.substr(At + Key.size() + 1));
}

detail::HttpPage jsonPage(const std::string &Body) {
  return {200, "application/json", Body};
}

constexpr auto CompletionPollInterval = 5ms;
constexpr auto SlowResponseDelay = 250ms;

} // namespace

Endpoint ConfigurationService::endpointFor(std::size_t Balancer) {
  return parseEndpoint("127.0.9." + std::to_string(10 + Balancer) + ":" +
                       std::to_string(ServicePort));
}

ConfigurationService::ConfigurationService(asio::io_context &Context,
                                           std::size_t Balancers)
    : Timer_(Context), Faults_(Balancers) {
  for (std::size_t I = 0; I < Balancers; ++I)
    Servers_.push_back(std::make_unique<detail::HttpServer>(
        Context, endpointFor(I),
        [this, I](const std::string &Target,
                  const detail::HttpServer::Reply &SendReply) {
          handleRequest(I, Target, SendReply);
        }));
  completeRequests();
}

void ConfigurationService::put(const std::string &Key,
                               const std::string &Text) {
  Items_[Key] = {Text, ++Revision_};
}

void ConfigurationService::remove(const std::string &Key) {
  Items_[Key] = {"", ++Revision_};
}

std::string ConfigurationService::eventsJson(Revision After) const {
  Json Events = Json::array();
  for (const auto &[Key, I] : Items_) {
    if (I.ModRevision_ <= After)
      continue;
    Json Event = {{"key-file", Key}, {"revision", I.ModRevision_}};
    if (I.Json_.empty())
      Event["is-gone"] = true;
    else
      Event["val"] = base64(I.Json_);
    Events.push_back(Event);
  }
  return Json{{"events", Events}, {"store-revision", Revision_}}.dump();
}

std::string ConfigurationService::itemsJson() const {
  Json Items = Json::array();
  for (const auto &[Key, I] : Items_)
    if (!I.Json_.empty())
      Items.push_back({{"key-file", Key},
                       {"revision", I.ModRevision_},
                       {"val", base64(I.Json_)}});
  return Json{
      {"items", Items}, {"has-more", false}, {"store-revision", Revision_}}
      .dump();
}

void ConfigurationService::handleRequest(
    std::size_t Balancer, const std::string &Target,
    const detail::HttpServer::Reply &SendReply) {
  const ConfigurationFault &Fault = Faults_[Balancer];
  if (Fault.Unresponsive_)
    return; // the connection stays open without a response
  if (Fault.Unavailable_)
    return SendReply({503, "text/plain", ""});
  bool Watch = Target.find("kv-watch") != std::string::npos;
  Revision After = queryNumber(Target, "after");
  if (Watch && After < CompactedRevision_)
    return SendReply({410, "text/plain", ""});
  std::chrono::milliseconds Wait(Watch ? queryNumber(Target, "wait-timeout-ms")
                                       : 0);
  if (Fault.Slow_)
    Wait += SlowResponseDelay;
  PendingRequests_.push_back(
      {Balancer, Watch ? After : Revision_, now() + Wait,
       [this, Watch, After, SendReply](const detail::HttpPage &) {
         SendReply(jsonPage(Watch ? eventsJson(After) : itemsJson()));
       }});
}

void ConfigurationService::completeRequests() {
  std::vector<PendingRequest> Requests;
  Requests.swap(PendingRequests_);
  for (PendingRequest &R : Requests) {
    const ConfigurationFault &Fault = Faults_[R.Balancer_];
    bool Due =
        now() >= R.Deadline_ || (Revision_ > R.AfterRevision_ && !Fault.Slow_);
    if (!Due)
      PendingRequests_.push_back(std::move(R));
    else if (!Fault.Unresponsive_)
      R.SendReply_({});
  }
  Timer_.expires_after(CompletionPollInterval);
  Timer_.async_wait([this](const asio::error_code &Error) {
    if (!Error)
      completeRequests();
  });
}

} // namespace thymewall::soak

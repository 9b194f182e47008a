/// \file
/// Items of the platform's key-value store for tests.
#ifndef THYMEWALL_TEST_PUBLISHED_ITEMS_H
#define THYMEWALL_TEST_PUBLISHED_ITEMS_H

#include "base64.h"
#include "published.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

namespace thymewall::test {

using Json = nlohmann::json;
using platform::StoreResponse;

const MonoTime Now{std::chrono::seconds(50)};

inline Json makeItem(const std::string &Key, const Json &Value, Revision At) {
  return {{"key-file", Key},
          {"val", base64(Value.dump())},
          {"revision", At},
          {"created", At},
          {"lease-id", 0}};
}

inline Json routingDocument() {
  return Json::parse(R"({"version":7,"routes":[
    {"name":"a","hostname":"198.18.0.1","path-prefix":"/8443/","type":"idempotent",
     "split":[{"backend":"index","weight":90},{"backend":"archive","weight":10},
              {"backend":"old","weight":0}]},
    {"name":"b","hostname":"198.18.0.2","path-prefix":"/8080/","type":"download",
     "backend":"archive","max-attempts":2}],
    "backends":[{"name":"index","health-path":"/health"},{"name":"archive"}],
    "limits":{"idle-timeout-ms":15000}})");
}

inline StoreResponse decodeResponse(const Json &Root) {
  std::string Reason;
  auto Answer = platform::decodeStoreResponse(Root.dump(), Now, Reason);
  REQUIRE_MESSAGE(Answer, Reason);
  return *Answer;
}

/// Decodes a configuration, whether or not its text is valid.
inline StoreResponse decodeConfigurationText(const std::string &Text) {
  Json Item = makeItem("op/config", nullptr, 12);
  Item["val"] = base64(Text);
  return decodeResponse({{"items", {Item}}, {"store-revision", 15}});
}
inline StoreResponse decodeConfiguration(const Json &Document) {
  return decodeConfigurationText(Document.dump());
}

} // namespace thymewall::test

#endif

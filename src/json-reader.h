/// \file
/// Reads JSON objects key by key and collects every fault with file, key and
/// reason. Shared by declarations, host lists and settings.
#ifndef THYMEWALL_SRC_JSON_READER_H
#define THYMEWALL_SRC_JSON_READER_H

#include "thymewall/problem.h"

#include <nlohmann/json.hpp>
#include <set>

namespace thymewall::detail {

using Json = nlohmann::json;

/// Where faults of one document are collected.
class ProblemList {
public:
  explicit ProblemList(std::string File) : File_(std::move(File)) {}
  void add(std::string Key, std::string Reason) {
    All_.push_back({File_, std::move(Key), std::move(Reason)});
  }
  bool empty() const { return All_.empty(); }
  const Problems &all() const { return All_; }

private:
  std::string File_;
  Problems All_;
};

/// Parses a text; a syntax fault is a problem and gives null.
Json parseJson(const std::string &Text, ProblemList &Found);

/// One object. Every key that is not asked for is a problem at `finish`.
class ObjectReader {
public:
  ObjectReader(const Json &Object, std::string Path, ProblemList &Found);

  std::string string(const char *Key);
  std::string stringOr(const char *Key, std::string Default);
  std::int64_t integer(const char *Key, std::int64_t Min, std::int64_t Max);
  std::int64_t integerOr(const char *Key, std::int64_t Default,
                         std::int64_t Min, std::int64_t Max);
  double numberOr(const char *Key, double Default, double Min, double Max);
  bool booleanOr(const char *Key, bool Default);
  Endpoint endpoint(const char *Key);
  /// An array; empty when the key is absent and not \p Required.
  const Json &array(const char *Key, bool Required = true);
  const Json *objectOrNull(const char *Key);
  bool has(const char *Key) const;
  std::string path(const char *Key) const;
  void addProblem(const char *Key, std::string Reason);
  void finish();

private:
  const Json *find(const char *Key);
  const Json &Object_;
  std::string Path_;
  ProblemList &Found_;
  std::set<std::string> Asked_;
};

/// An array of addresses; a bad one is a problem with its place.
std::vector<Endpoint> readEndpoints(ObjectReader &Reader, const char *Key,
                                    bool Required, ProblemList &Found);

} // namespace thymewall::detail

#endif

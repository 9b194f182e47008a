/// \file
/// Reads JSON objects key by key and collects all problems with file, key and
/// reason.
#ifndef THYMEWALL_SRC_JSON_READER_H
#define THYMEWALL_SRC_JSON_READER_H

#include "thymewall/problem.h"

#include <nlohmann/json.hpp>
#include <set>

namespace thymewall::detail {

using Json = nlohmann::json;

/// Problems of one document.
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

/// Parses a text. Adds a problem and returns null on a syntax error.
Json parseJson(const std::string &Text, ProblemList &Found);

/// Reads the keys of one object. A missing key or a value of the wrong type or
/// range adds a problem; `finish` adds one for each key that was not read.
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
  /// Returns an empty array if the key is absent or holds no array.
  const Json &array(const char *Key, bool Required = true);
  /// Returns the value of any type, or null if the key is absent.
  const Json *objectOrNull(const char *Key);
  bool has(const char *Key) const;
  /// Returns the key with the path of the object before it.
  std::string path(const char *Key) const;
  void addProblem(const char *Key, std::string Reason);
  void finish();

private:
  const Json *find(const char *Key);
  const Json &Object_;
  std::string Path_;
  ProblemList &Found_;
  std::set<std::string> ReadKeys_;
};

/// Reads an array of addresses; an invalid one adds a problem with its index.
std::vector<Endpoint> readEndpoints(ObjectReader &Reader, const char *Key,
                                    bool Required, ProblemList &Found);

} // namespace thymewall::detail

#endif

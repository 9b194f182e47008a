#include "json-reader.h"

namespace thymewall::detail {

namespace {

const Json EmptyArray = Json::array();

std::string rangeText(std::int64_t Min, std::int64_t Max) {
  return "must be an integer from " + std::to_string(Min) + " to " +
         std::to_string(Max);
}

} // namespace

Json parseJson(const std::string &Text, ProblemList &Found) {
  try {
    return Json::parse(Text);
  } catch (const Json::parse_error &Error) {
    Found.add("(document)", "is not valid JSON: syntax error at byte " +
                                std::to_string(Error.byte));
    return nullptr;
  }
}

ObjectReader::ObjectReader(const Json &Object, std::string Path,
                           ProblemList &Found)
    : Object_(Object), Path_(std::move(Path)), Found_(Found) {
  if (!Object.is_object())
    Found.add(Path_.empty() ? "(document)" : Path_, "must be an object");
}

std::string ObjectReader::path(const char *Key) const {
  return Path_.empty() ? Key : Path_ + "." + Key;
}

void ObjectReader::addProblem(const char *Key, std::string Reason) {
  Found_.add(path(Key), std::move(Reason));
}

bool ObjectReader::has(const char *Key) const {
  return Object_.is_object() && Object_.contains(Key);
}

const Json *ObjectReader::find(const char *Key) {
  ReadKeys_.insert(Key);
  return has(Key) ? &Object_.at(Key) : nullptr;
}

std::string ObjectReader::string(const char *Key) {
  const Json *Value = find(Key);
  bool Valid =
      Value && Value->is_string() && !Value->get<std::string>().empty();
  if (Valid)
    return Value->get<std::string>();
  addProblem(Key, Value ? "must be a non-empty string" : "is missing");
  return {};
}

std::string ObjectReader::stringOr(const char *Key, std::string Default) {
  ReadKeys_.insert(Key);
  return has(Key) ? string(Key) : std::move(Default);
}

std::int64_t ObjectReader::integer(const char *Key, std::int64_t Min,
                                   std::int64_t Max) {
  const Json *Value = find(Key);
  if (!Value) {
    addProblem(Key, "is missing");
    return Min;
  }
  bool TooLarge = Value->is_number_unsigned() &&
                  Value->get<std::uint64_t>() > static_cast<std::uint64_t>(Max);
  bool Valid = Value->is_number_integer() && !TooLarge &&
               Value->get<std::int64_t>() >= Min &&
               Value->get<std::int64_t>() <= Max;
  if (Valid)
    return Value->get<std::int64_t>();
  addProblem(Key, rangeText(Min, Max));
  return Min;
}

std::int64_t ObjectReader::integerOr(const char *Key, std::int64_t Default,
                                     std::int64_t Min, std::int64_t Max) {
  ReadKeys_.insert(Key);
  return has(Key) ? integer(Key, Min, Max) : Default;
}

double ObjectReader::numberOr(const char *Key, double Default, double Min,
                              double Max) {
  const Json *Value = find(Key);
  if (!Value)
    return Default;
  bool Valid = Value->is_number() && Value->get<double>() >= Min &&
               Value->get<double>() <= Max;
  if (Valid)
    return Value->get<double>();
  addProblem(Key, "must be a number from " + std::to_string(Min) + " to " +
                      std::to_string(Max));
  return Default;
}

bool ObjectReader::booleanOr(const char *Key, bool Default) {
  const Json *Value = find(Key);
  if (!Value)
    return Default;
  if (Value->is_boolean())
    return Value->get<bool>();
  addProblem(Key, "must be true or false");
  return Default;
}

Endpoint ObjectReader::endpoint(const char *Key) {
  std::string Text = string(Key);
  if (Text.empty())
    return {};
  Endpoint Result = parseEndpoint(Text);
  if (Result.empty())
    addProblem(Key, "must be an IP address and port, such as 192.0.2.1:7000");
  return Result;
}

const Json &ObjectReader::array(const char *Key, bool Required) {
  const Json *Value = find(Key);
  if (Value && Value->is_array())
    return *Value;
  if (Value)
    addProblem(Key, "must be an array");
  else if (Required)
    addProblem(Key, "is missing");
  return EmptyArray;
}

const Json *ObjectReader::objectOrNull(const char *Key) { return find(Key); }

void ObjectReader::finish() {
  if (!Object_.is_object())
    return;
  for (const auto &[Key, Value] : Object_.items())
    if (ReadKeys_.count(Key) == 0)
      addProblem(Key.c_str(), "is not a known key");
}

std::vector<Endpoint> readEndpoints(ObjectReader &Reader, const char *Key,
                                    bool Required, ProblemList &Found) {
  std::vector<Endpoint> Result;
  for (const Json &Item : Reader.array(Key, Required)) {
    std::string Value = Item.is_string() ? Item.get<std::string>() : "";
    std::string Path =
        std::string(Key) + "[" + std::to_string(Result.size()) + "]";
    Result.push_back(parseEndpoint(Value));
    if (Result.back().empty())
      Found.add(Path, "must be an IP address and port");
  }
  return Result;
}

} // namespace thymewall::detail

#include "thymewall/declaration.h"

#include "json-reader.h"

#include <algorithm>
#include <boost/leaf/error.hpp>
#include <xxhash.h>

namespace thymewall {

using detail::Json;
using detail::ObjectReader;
using detail::ProblemList;

namespace {

constexpr std::uint16_t MinutesInDay = 24 * 60;
constexpr std::int64_t MaxDeadlineMs = 60'000;
const char *const DayNames[] = {"sun", "mon", "tue", "wed",
                                "thu", "fri", "sat"};

/// Reads and validates one document.
class Parser {
public:
  Parser(const std::string &File, const TimeZoneClock &Clock)
      : Found_(File), Clock_(Clock) {}

  DeclarationPtr parse(std::string Text);
  const Problems &problems() const { return Found_.all(); }

private:
  void readService(const Json &Object, const std::string &Path);
  void readUpstream(const Json &Object, const std::string &Path);
  void readBalancer(const Json &Object, const std::string &Path);
  void readSelector(const Json &Object, const std::string &Path);
  Term readTerm(const Json &Object, const std::string &Path);
  Window readWindow(const Json &Object, const std::string &Path);
  std::uint16_t readMinute(ObjectReader &Reader, const char *Key);
  Labels readLabels(ObjectReader &Reader);
  void readEvacuated(ObjectReader &Reader);
  void claimName(const std::string &Group, const std::string &Name,
                 const std::string &Path);

  template <typename Function>
  void forEachItem(const Json &Array, const char *Key, Function Read) {
    for (std::size_t I = 0; I < Array.size(); ++I)
      Read(Array[I], std::string(Key) + "[" + std::to_string(I) + "]");
  }

  ProblemList Found_;
  const TimeZoneClock &Clock_;
  Declaration Result_;
  std::map<std::string, std::map<std::uint32_t, std::string>> NamesById_;
  std::set<std::uint16_t> Ports_;
  std::set<Endpoint> Addresses_;
};

DeclarationPtr Parser::parse(std::string Text) {
  if (Text.size() > MaxDocumentBytes) {
    Found_.add("(document)", "is larger than 1 MiB");
    return nullptr;
  }
  Json Root = detail::parseJson(Text, Found_);
  if (!Found_.empty())
    return nullptr;
  ObjectReader Reader(Root, "", Found_);
  Result_.Version_ =
      static_cast<Version>(Reader.integer("version", 1, INT64_MAX));
  Reader.stringOr("comment", "");
  forEachItem(Reader.array("services"), "services",
              [this](auto &&...Args) { readService(Args...); });
  forEachItem(Reader.array("upstreams"), "upstreams",
              [this](auto &&...Args) { readUpstream(Args...); });
  forEachItem(Reader.array("balancers", false), "balancers",
              [this](auto &&...Args) { readBalancer(Args...); });
  forEachItem(Reader.array("selectors"), "selectors",
              [this](auto &&...Args) { readSelector(Args...); });
  readEvacuated(Reader);
  Reader.finish();
  if (!Found_.empty())
    return nullptr;
  Result_.Digest_ = XXH64(Text.data(), Text.size(), 0);
  Result_.Text_ = std::move(Text);
  return std::make_shared<const Declaration>(std::move(Result_));
}

void Parser::claimName(const std::string &Group, const std::string &Name,
                       const std::string &Path) {
  if (Name.empty())
    return;
  auto [It, Inserted] = NamesById_[Group].emplace(nameId(Name), Name);
  if (!Inserted)
    Found_.add(Path + ".name",
               It->second == Name
                   ? "\"" + Name + "\" is declared twice"
                   : "\"" + Name + "\" has the same identifier as \"" +
                         It->second + "\"; choose another name");
}

void Parser::readService(const Json &Object, const std::string &Path) {
  ObjectReader Reader(Object, Path, Found_);
  Service S;
  S.Name_ = Reader.string("name");
  S.Id_ = static_cast<ServiceId>(nameId(S.Name_));
  claimName("services", S.Name_, Path);
  S.Port_ = static_cast<std::uint16_t>(Reader.integer("port", 1, 65535));
  if (!Ports_.insert(S.Port_).second)
    Reader.addProblem("port", "is already used by another service");
  S.DefaultTimeout_ = std::chrono::milliseconds(
      Reader.integerOr("deadline_ms", 2000, 1, MaxDeadlineMs));
  S.MaxInFlightPerSlot_ = static_cast<std::uint32_t>(
      Reader.integerOr("in_flight_per_slot", 64, 1, 100'000));
  S.RetryBudget_ = Reader.numberOr("retry_budget", 0.1, 0, 1);
  Reader.finish();
  Result_.Services_.push_back(std::move(S));
}

Labels Parser::readLabels(ObjectReader &Reader) {
  Labels Result;
  const Json *Object = Reader.objectOrNull("labels");
  if (!Object)
    return Result;
  if (!Object->is_object()) {
    Reader.addProblem("labels", "must be an object");
    return Result;
  }
  for (const auto &[Key, Value] : Object->items()) {
    if (Value.is_string())
      Result[Key] = Value.get<std::string>();
    else
      Reader.addProblem(("labels." + Key).c_str(), "must be a string");
  }
  return Result;
}

void Parser::readUpstream(const Json &Object, const std::string &Path) {
  ObjectReader Reader(Object, Path, Found_);
  Upstream U;
  U.Name_ = Reader.string("name");
  U.Id_ = static_cast<UpstreamId>(nameId(U.Name_));
  claimName("upstreams", U.Name_, Path);
  U.Address_ = Reader.endpoint("address");
  if (!U.Address_.empty() && !Addresses_.insert(U.Address_).second)
    Reader.addProblem("address", "is already used by another upstream");
  U.DataHall_ = Reader.string("data_hall");
  U.Slots_ = static_cast<std::uint32_t>(Reader.integerOr("slots", 1, 1, 10000));
  U.RemembersRequests_ = Reader.booleanOr("remembers_requests", false);
  U.Labels_ = readLabels(Reader);
  Reader.finish();
  Result_.Upstreams_.push_back(std::move(U));
}

void Parser::readBalancer(const Json &Object, const std::string &Path) {
  ObjectReader Reader(Object, Path, Found_);
  BalancerEntry B;
  B.Name_ = Reader.string("name");
  claimName("balancers", B.Name_, Path);
  B.DataHall_ = Reader.string("data_hall");
  B.Labels_ = readLabels(Reader);
  Reader.finish();
  Result_.Balancers_.push_back(std::move(B));
}

void Parser::readSelector(const Json &Object, const std::string &Path) {
  ObjectReader Reader(Object, Path, Found_);
  Selector S;
  std::string Name = Reader.string("service");
  auto It = std::find_if(Result_.Services_.begin(), Result_.Services_.end(),
                         [&](const Service &K) { return K.Name_ == Name; });
  if (It == Result_.Services_.end() && !Name.empty())
    Reader.addProblem("service", "\"" + Name + "\" is not a declared service");
  S.Service_ = static_cast<std::size_t>(It - Result_.Services_.begin());
  forEachItem(Reader.array("terms"), (Path + ".terms").c_str(),
              [&](const Json &Item, const std::string &TermPath) {
                S.Terms_.push_back(readTerm(Item, TermPath));
              });
  if (S.Terms_.empty() && Reader.has("terms"))
    Reader.addProblem("terms", "must have at least one term");
  if (const Json *Item = Reader.objectOrNull("window"))
    S.Window_ = readWindow(*Item, Path + ".window");
  Reader.finish();
  Result_.Selectors_.push_back(std::move(S));
}

void Parser::readEvacuated(ObjectReader &Reader) {
  forEachItem(
      Reader.array("evacuated_data_halls", false), "evacuated_data_halls",
      [this](const Json &Value, const std::string &Path) {
        if (!Value.is_string() || Value.get<std::string>().empty())
          return Found_.add(Path, "must be the name of a data hall");
        if (!Result_.EvacuatedHalls_.insert(Value.get<std::string>()).second)
          Found_.add(Path, "repeats a data hall");
      });
}

Term Parser::readTerm(const Json &Object, const std::string &Path) {
  static const std::map<std::string, Term::Operator> Operators = {
      {"in", Term::Operator::In},
      {"notin", Term::Operator::NotIn},
      {"exists", Term::Operator::Exists},
      {"absent", Term::Operator::Absent}};
  ObjectReader Reader(Object, Path, Found_);
  Term T;
  T.Key_ = Reader.string("key");
  std::string Name = Reader.string("op");
  auto It = Operators.find(Name);
  if (It != Operators.end())
    T.Operator_ = It->second;
  else if (!Name.empty())
    Reader.addProblem("op", "must be in, notin, exists or absent");
  for (const Json &Value : Reader.array("values", false)) {
    if (Value.is_string())
      T.Values_.push_back(Value.get<std::string>());
    else
      Reader.addProblem("values", "must contain only strings");
  }
  bool NeedsValues =
      T.Operator_ == Term::Operator::In || T.Operator_ == Term::Operator::NotIn;
  if (NeedsValues && T.Values_.empty())
    Reader.addProblem("values", "must have at least one value for this op");
  if (!NeedsValues && !T.Values_.empty())
    Reader.addProblem("values", "must be empty for this op");
  Reader.finish();
  return T;
}

std::uint16_t Parser::readMinute(ObjectReader &Reader, const char *Key) {
  std::string Text = Reader.string(Key);
  auto Digit = [&](std::size_t I) {
    return Text[I] >= '0' && Text[I] <= '9' ? Text[I] - '0' : 100;
  };
  int Hour = 100;
  int Minute = 100;
  if (Text.size() == 5 && Text[2] == ':') {
    Hour = Digit(0) * 10 + Digit(1);
    Minute = Digit(3) * 10 + Digit(4);
  }
  bool Valid = (Hour < 24 && Minute < 60) || (Hour == 24 && Minute == 0);
  if (!Valid && !Text.empty())
    Reader.addProblem(Key, "must be a time of day from 00:00 to 24:00");
  return Valid ? static_cast<std::uint16_t>(Hour * 60 + Minute) : 0;
}

Window Parser::readWindow(const Json &Object, const std::string &Path) {
  ObjectReader Reader(Object, Path, Found_);
  Window W;
  if (Reader.has("days"))
    W.Days_ = 0;
  for (const Json &Value : Reader.array("days", false)) {
    auto It = std::find(std::begin(DayNames), std::end(DayNames),
                        Value.is_string() ? Value.get<std::string>() : "");
    if (It == std::end(DayNames))
      Reader.addProblem("days", "must contain days such as \"mon\"");
    else
      W.Days_ |= static_cast<std::uint8_t>(1 << (It - DayNames));
  }
  if (W.Days_ == 0)
    Reader.addProblem("days", "must name at least one day");
  W.FromMinute_ = readMinute(Reader, "from");
  W.ToMinute_ = readMinute(Reader, "to");
  if (W.FromMinute_ == W.ToMinute_)
    Reader.addProblem("to", "must differ from \"from\"");
  if (W.FromMinute_ == MinutesInDay)
    Reader.addProblem("from", "must be before 24:00");
  W.TimeZone_ = Reader.string("zone");
  if (!W.TimeZone_.empty() && !Clock_(W.TimeZone_, WallTime{}))
    Reader.addProblem("zone",
                      "\"" + W.TimeZone_ + "\" is not an IANA time zone");
  Reader.finish();
  return W;
}

} // namespace

boost::leaf::result<DeclarationPtr>
parseDeclaration(std::string Text, const std::string &File,
                 const TimeZoneClock &Clock) {
  Parser P(File, Clock);
  if (DeclarationPtr Result = P.parse(std::move(Text)))
    return Result;
  return boost::leaf::new_error(P.problems());
}

} // namespace thymewall

#include "thymewall/declaration.h"

#include "json-reader.h"

#include <algorithm>
#include <boost/leaf/error.hpp>
#include <unordered_set>
#include <xxhash.h>

namespace thymewall {

using detail::Json;
using detail::ObjectReader;
using detail::ProblemList;

bool matches(const Term &T, const Labels &L) {
  auto Found = L.find(T.Key_);
  bool Present = Found != L.end();
  bool Listed = Present && std::find(T.Values_.begin(), T.Values_.end(),
                                     Found->second) != T.Values_.end();
  switch (T.Operator_) {
  case Term::Operator::In:
    return Listed;
  case Term::Operator::NotIn:
    return !Listed;
  case Term::Operator::Exists:
    return Present;
  case Term::Operator::Absent:
    return !Present;
  }
  return false;
}

namespace {

constexpr std::uint8_t DaysInWeek = 7;
constexpr std::uint16_t MinutesInDay = 24 * 60;
constexpr std::int64_t MaxDeadlineMs = 60'000;
const char *const DayNames[] = {"sun", "mon", "tue", "wed",
                                "thu", "fri", "sat"};

bool onDay(const Window &W, int Weekday) {
  return ((W.Days_ >> ((Weekday + DaysInWeek) % DaysInWeek)) & 1) != 0;
}

} // namespace

bool contains(const Window &W, LocalMinute Local) {
  if (W.From_ < W.To_)
    return onDay(W, Local.Weekday_) && Local.Minute_ >= W.From_ &&
           Local.Minute_ < W.To_;
  if (Local.Minute_ >= W.From_)
    return onDay(W, Local.Weekday_);
  return Local.Minute_ < W.To_ && onDay(W, Local.Weekday_ - 1);
}

const Service *Declaration::service(ServiceId Id) const {
  for (const Service &S : Services_)
    if (S.Id_ == Id)
      return &S;
  return nullptr;
}

bool supersedes(const Declaration &A, const Declaration &B) {
  return std::tie(A.Version_, A.Digest_) > std::tie(B.Version_, B.Digest_);
}

namespace {

/// Reads one document into a declaration; one function a part.
class Parser {
public:
  Parser(const std::string &File, const ZoneClock &Zones)
      : Found_(File), Zones_(Zones) {}

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
  void claim(const std::string &Group, const std::string &Name,
             const std::string &Path);

  template <typename Function>
  void each(const Json &Array, const char *Key, Function Read) {
    for (std::size_t I = 0; I < Array.size(); ++I)
      Read(Array[I], std::string(Key) + "[" + std::to_string(I) + "]");
  }

  ProblemList Found_;
  const ZoneClock &Zones_;
  Declaration Result_;
  std::map<std::string, std::map<std::uint32_t, std::string>> Claimed_;
  std::set<std::uint16_t> Ports_;
  std::set<Endpoint> Addresses_;
};

DeclarationPtr Parser::parse(std::string Text) {
  if (Text.size() > MaxDocument) {
    Found_.add("(document)", "is larger than 1 MB");
    return nullptr;
  }
  Json Root = detail::parseJson(Text, Found_);
  if (!Found_.empty())
    return nullptr;
  ObjectReader Reader(Root, "", Found_);
  Result_.Version_ =
      static_cast<Version>(Reader.integer("version", 1, INT64_MAX));
  Reader.stringOr("comment", "");
  each(Reader.array("services"), "services",
       [this](auto &&...Args) { readService(Args...); });
  each(Reader.array("upstreams"), "upstreams",
       [this](auto &&...Args) { readUpstream(Args...); });
  each(Reader.array("balancers", false), "balancers",
       [this](auto &&...Args) { readBalancer(Args...); });
  each(Reader.array("selectors"), "selectors",
       [this](auto &&...Args) { readSelector(Args...); });
  readEvacuated(Reader);
  Reader.finish();
  if (!Found_.empty())
    return nullptr;
  Result_.Digest_ = XXH64(Text.data(), Text.size(), 0);
  Result_.Text_ = std::move(Text);
  return std::make_shared<const Declaration>(std::move(Result_));
}

void Parser::claim(const std::string &Group, const std::string &Name,
                   const std::string &Path) {
  if (Name.empty())
    return;
  auto [At, Fresh] = Claimed_[Group].emplace(nameId(Name), Name);
  if (!Fresh)
    Found_.add(Path + ".name",
               At->second == Name
                   ? "\"" + Name + "\" is declared twice"
                   : "\"" + Name + "\" has the identifier of \"" + At->second +
                         "\"; choose another name");
}

void Parser::readService(const Json &Object, const std::string &Path) {
  ObjectReader Reader(Object, Path, Found_);
  Service S;
  S.Name_ = Reader.string("name");
  S.Id_ = static_cast<ServiceId>(nameId(S.Name_));
  claim("services", S.Name_, Path);
  S.Port_ = static_cast<std::uint16_t>(Reader.integer("port", 1, 65535));
  if (!Ports_.insert(S.Port_).second)
    Reader.fault("port", "is the port of another service");
  S.DeadlineAfter_ = std::chrono::milliseconds(
      Reader.integerOr("deadline_ms", 2000, 1, MaxDeadlineMs));
  S.InFlightPerSlot_ = static_cast<std::uint32_t>(
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
    Reader.fault("labels", "must be an object");
    return Result;
  }
  for (const auto &[Key, Value] : Object->items()) {
    if (Value.is_string())
      Result[Key] = Value.get<std::string>();
    else
      Reader.fault(("labels." + Key).c_str(), "must be a string");
  }
  return Result;
}

void Parser::readUpstream(const Json &Object, const std::string &Path) {
  ObjectReader Reader(Object, Path, Found_);
  Upstream U;
  U.Name_ = Reader.string("name");
  U.Id_ = static_cast<UpstreamId>(nameId(U.Name_));
  claim("upstreams", U.Name_, Path);
  U.At_ = Reader.endpoint("address");
  if (!U.At_.empty() && !Addresses_.insert(U.At_).second)
    Reader.fault("address", "is the address of another upstream");
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
  claim("balancers", B.Name_, Path);
  B.DataHall_ = Reader.string("data_hall");
  B.Labels_ = readLabels(Reader);
  Reader.finish();
  Result_.Balancers_.push_back(std::move(B));
}

void Parser::readSelector(const Json &Object, const std::string &Path) {
  ObjectReader Reader(Object, Path, Found_);
  Selector S;
  std::string Name = Reader.string("service");
  auto Known = std::find_if(Result_.Services_.begin(), Result_.Services_.end(),
                            [&](const Service &K) { return K.Name_ == Name; });
  if (Known == Result_.Services_.end() && !Name.empty())
    Reader.fault("service", "\"" + Name + "\" is not a declared service");
  S.Service_ = static_cast<std::size_t>(Known - Result_.Services_.begin());
  each(Reader.array("terms"), (Path + ".terms").c_str(),
       [&](const Json &Item, const std::string &At) {
         S.Terms_.push_back(readTerm(Item, At));
       });
  if (S.Terms_.empty() && Reader.has("terms"))
    Reader.fault("terms", "must have at least one term");
  if (const Json *Item = Reader.objectOrNull("window"))
    S.Window_ = readWindow(*Item, Path + ".window");
  Reader.finish();
  Result_.Selectors_.push_back(std::move(S));
}

void Parser::readEvacuated(ObjectReader &Reader) {
  each(Reader.array("evacuated_data_halls", false), "evacuated_data_halls",
       [this](const Json &Value, const std::string &Path) {
         if (!Value.is_string() || Value.get<std::string>().empty())
           return Found_.add(Path, "must be the name of a data hall");
         if (!Result_.EvacuatedHalls_.insert(Value.get<std::string>()).second)
           Found_.add(Path, "names a data hall twice");
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
  auto Known = Operators.find(Name);
  if (Known != Operators.end())
    T.Operator_ = Known->second;
  else if (!Name.empty())
    Reader.fault("op", "must be in, notin, exists or absent");
  for (const Json &Value : Reader.array("values", false)) {
    if (Value.is_string())
      T.Values_.push_back(Value.get<std::string>());
    else
      Reader.fault("values", "must hold strings only");
  }
  bool Needs =
      T.Operator_ == Term::Operator::In || T.Operator_ == Term::Operator::NotIn;
  if (Needs && T.Values_.empty())
    Reader.fault("values", "must have at least one value for this op");
  if (!Needs && !T.Values_.empty())
    Reader.fault("values", "has no meaning for this op");
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
  bool Good = (Hour < 24 && Minute < 60) || (Hour == 24 && Minute == 0);
  if (!Good && !Text.empty())
    Reader.fault(Key, "must be a time of day from 00:00 to 24:00");
  return Good ? static_cast<std::uint16_t>(Hour * 60 + Minute) : 0;
}

Window Parser::readWindow(const Json &Object, const std::string &Path) {
  ObjectReader Reader(Object, Path, Found_);
  Window W;
  if (Reader.has("days"))
    W.Days_ = 0;
  for (const Json &Value : Reader.array("days", false)) {
    auto Known = std::find(std::begin(DayNames), std::end(DayNames),
                           Value.is_string() ? Value.get<std::string>() : "");
    if (Known == std::end(DayNames))
      Reader.fault("days", "must hold days such as \"mon\"");
    else
      W.Days_ |= static_cast<std::uint8_t>(1 << (Known - DayNames));
  }
  if (W.Days_ == 0)
    Reader.fault("days", "must name at least one day");
  W.From_ = readMinute(Reader, "from");
  W.To_ = readMinute(Reader, "to");
  if (W.From_ == W.To_)
    Reader.fault("to", "must differ from \"from\"");
  if (W.From_ == MinutesInDay)
    Reader.fault("from", "must be before 24:00");
  W.Zone_ = Reader.string("zone");
  if (!W.Zone_.empty() && !Zones_(W.Zone_, WallTime{}))
    Reader.fault("zone", "\"" + W.Zone_ + "\" is not an IANA time zone");
  Reader.finish();
  return W;
}

bool active(const Selector &S, const ZoneClock &Zones, WallTime When) {
  if (!S.Window_)
    return true;
  auto Local = Zones(S.Window_->Zone_, When);
  return Local && contains(*S.Window_, *Local);
}

bool allMatch(const Selector &S, const Labels &L) {
  return std::all_of(S.Terms_.begin(), S.Terms_.end(),
                     [&](const Term &T) { return matches(T, L); });
}

bool isEvacuated(const Declaration &D, const Upstream &U) {
  return D.EvacuatedHalls_.count(U.DataHall_) != 0;
}

using Selected = std::vector<std::vector<std::size_t>>;

/// For each service, the indexes of its upstreams under the active selectors.
Selected selectAll(const Declaration &D, const std::vector<bool> &Active) {
  Selected Result(D.Services_.size());
  for (std::size_t Index = 0; Index < D.Upstreams_.size(); ++Index)
    for (std::size_t S = 0; S < D.Selectors_.size(); ++S) {
      const Selector &Which = D.Selectors_[S];
      const Upstream &U = D.Upstreams_[Index];
      if (!Active[S] || !allMatch(Which, U.Labels_) || isEvacuated(D, U))
        continue;
      auto &Into = Result[Which.Service_];
      if (Into.empty() || Into.back() != Index)
        Into.push_back(Index);
    }
  return Result;
}

/// A name that nothing stands in is a mistake in writing.
void checkEvacuated(const Declaration &D, ProblemList &Found) {
  std::set<std::string> Named;
  for (const Upstream &U : D.Upstreams_)
    Named.insert(U.DataHall_);
  for (const BalancerEntry &B : D.Balancers_)
    Named.insert(B.DataHall_);
  for (const std::string &DataHall : D.EvacuatedHalls_)
    if (Named.count(DataHall) == 0)
      Found.add("evacuated_data_halls",
                "no upstream or balancer is in \"" + DataHall + "\"");
}

std::string minuteText(WallTime When) {
  auto Seconds = static_cast<std::time_t>(
      std::chrono::duration_cast<std::chrono::seconds>(When.time_since_epoch())
          .count());
  std::tm Parts{};
  gmtime_r(&Seconds, &Parts);
  char Text[32];
  std::strftime(Text, sizeof Text, "%Y-%m-%dT%H:%MZ", &Parts);
  return Text;
}

} // namespace

boost::leaf::result<DeclarationPtr> parseDeclaration(std::string Text,
                                                     const std::string &File,
                                                     const ZoneClock &Zones) {
  Parser P(File, Zones);
  if (DeclarationPtr Result = P.parse(std::move(Text)))
    return Result;
  return boost::leaf::new_error(P.problems());
}

std::string explain(const Declaration &D, const Service &S, const Upstream &U,
                    const ZoneClock &Zones, WallTime When) {
  if (isEvacuated(D, U))
    return "data hall \"" + U.DataHall_ + "\" is evacuated";
  std::string First;
  for (const Selector &Which : D.Selectors_) {
    if (&D.Services_[Which.Service_] != &S)
      continue;
    std::string Reason;
    for (const Term &T : Which.Terms_)
      if (Reason.empty() && !matches(T, U.Labels_))
        Reason = "label \"" + T.Key_ + "\" does not match";
    if (Reason.empty() && !active(Which, Zones, When))
      Reason = "outside the selector's window";
    if (Reason.empty())
      return {};
    if (First.empty())
      First = Reason;
  }
  return First.empty() ? "the service has no selector" : First;
}

std::vector<std::size_t> eligible(const Declaration &D, const Service &S,
                                  const ZoneClock &Zones, WallTime When) {
  std::vector<bool> Active;
  for (const Selector &Which : D.Selectors_)
    Active.push_back(&D.Services_[Which.Service_] == &S &&
                     active(Which, Zones, When));
  auto Index = static_cast<std::size_t>(&S - D.Services_.data());
  return selectAll(D, Active)[Index];
}

Problems checkWeek(const Declaration &D, const std::string &File,
                   const ZoneClock &Zones, WallTime From) {
  constexpr int MinutesInWeek = DaysInWeek * MinutesInDay;
  ProblemList Found(File);
  checkEvacuated(D, Found);
  std::set<std::pair<std::string, std::string>> Told;
  std::vector<bool> Last;
  for (int Minute = 0; Minute < MinutesInWeek; ++Minute) {
    WallTime When = From + std::chrono::minutes(Minute);
    std::vector<bool> Active;
    for (const Selector &S : D.Selectors_)
      Active.push_back(active(S, Zones, When));
    if (Minute != 0 && Active == Last)
      continue;
    Last = Active;
    std::vector<int> Uses(D.Upstreams_.size(), 0);
    Selected All = selectAll(D, Active);
    for (std::size_t S = 0; S < All.size(); ++S) {
      for (std::size_t Index : All[S])
        ++Uses[Index];
      const std::string &Name = D.Services_[S].Name_;
      if (All[S].empty() && Told.emplace("services", Name).second)
        Found.add("services." + Name,
                  "has no upstream from " + minuteText(When));
    }
    for (std::size_t U = 0; U < Uses.size(); ++U) {
      const std::string &Name = D.Upstreams_[U].Name_;
      if (Uses[U] > 1 && Told.emplace("upstreams", Name).second)
        Found.add("upstreams." + Name,
                  "serves two services from " + minuteText(When));
    }
  }
  return Found.all();
}

} // namespace thymewall

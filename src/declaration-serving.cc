#include "thymewall/declaration.h"

#include "json-reader.h"

#include <algorithm>

namespace thymewall {

using detail::ProblemList;

namespace {

constexpr std::uint8_t DaysInWeek = 7;
constexpr std::uint16_t MinutesInDay = 24 * 60;

bool includesDay(const Window &W, int Weekday) {
  return ((W.Days_ >> ((Weekday + DaysInWeek) % DaysInWeek)) & 1) != 0;
}

} // namespace

bool matches(const Term &T, const Labels &L) {
  auto Found = L.find(T.Key_);
  bool Present = Found != L.end();
  bool InValues = Present && std::find(T.Values_.begin(), T.Values_.end(),
                                       Found->second) != T.Values_.end();
  switch (T.Operator_) {
  case Term::Operator::In:
    return InValues;
  case Term::Operator::NotIn:
    return !InValues;
  case Term::Operator::Exists:
    return Present;
  case Term::Operator::Absent:
    return !Present;
  }
  return false;
}

bool contains(const Window &W, LocalMinute Local) {
  if (W.FromMinute_ < W.ToMinute_)
    return includesDay(W, Local.Weekday_) && Local.Minute_ >= W.FromMinute_ &&
           Local.Minute_ < W.ToMinute_;
  if (Local.Minute_ >= W.FromMinute_)
    return includesDay(W, Local.Weekday_);
  return Local.Minute_ < W.ToMinute_ && includesDay(W, Local.Weekday_ - 1);
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

bool isActive(const Selector &S, const TimeZoneClock &Clock, WallTime When) {
  if (!S.Window_)
    return true;
  auto Local = Clock(S.Window_->TimeZone_, When);
  return Local && contains(*S.Window_, *Local);
}

bool allMatch(const Selector &S, const Labels &L) {
  return std::all_of(S.Terms_.begin(), S.Terms_.end(),
                     [&](const Term &T) { return matches(T, L); });
}

bool isEvacuated(const Declaration &D, const Upstream &U) {
  return D.EvacuatedHalls_.count(U.DataHall_) != 0;
}

using SelectedUpstreams = std::vector<std::vector<std::size_t>>;

/// Returns the indexes of each service's upstreams under the active selectors.
SelectedUpstreams selectAll(const Declaration &D,
                            const std::vector<bool> &Active) {
  SelectedUpstreams Result(D.Services_.size());
  for (std::size_t Index = 0; Index < D.Upstreams_.size(); ++Index)
    for (std::size_t S = 0; S < D.Selectors_.size(); ++S) {
      const Selector &Candidate = D.Selectors_[S];
      const Upstream &U = D.Upstreams_[Index];
      if (!Active[S] || !allMatch(Candidate, U.Labels_) || isEvacuated(D, U))
        continue;
      auto &Indexes = Result[Candidate.Service_];
      if (Indexes.empty() || Indexes.back() != Index)
        Indexes.push_back(Index);
    }
  return Result;
}

/// Reports evacuated data halls that have no upstream or balancer; most likely
/// their names are misspelled.
void checkEvacuated(const Declaration &D, ProblemList &Found) {
  std::set<std::string> DataHalls;
  for (const Upstream &U : D.Upstreams_)
    DataHalls.insert(U.DataHall_);
  for (const BalancerEntry &B : D.Balancers_)
    DataHalls.insert(B.DataHall_);
  for (const std::string &DataHall : D.EvacuatedHalls_)
    if (DataHalls.count(DataHall) == 0)
      Found.add("evacuated_data_halls",
                "no upstream or balancer is in \"" + DataHall + "\"");
}

std::string formatMinute(WallTime When) {
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

std::string explain(const Declaration &D, const Service &S, const Upstream &U,
                    const TimeZoneClock &Clock, WallTime When) {
  if (isEvacuated(D, U))
    return "data hall \"" + U.DataHall_ + "\" is evacuated";
  std::string FirstReason;
  for (const Selector &Candidate : D.Selectors_) {
    if (&D.Services_[Candidate.Service_] != &S)
      continue;
    std::string Reason;
    for (const Term &T : Candidate.Terms_)
      if (Reason.empty() && !matches(T, U.Labels_))
        Reason = "label \"" + T.Key_ + "\" does not match";
    if (Reason.empty() && !isActive(Candidate, Clock, When))
      Reason = "outside the selector's window";
    if (Reason.empty())
      return {};
    if (FirstReason.empty())
      FirstReason = Reason;
  }
  return FirstReason.empty() ? "the service has no selector" : FirstReason;
}

std::vector<std::size_t> selectedUpstreams(const Declaration &D,
                                           const Service &S,
                                           const TimeZoneClock &Clock,
                                           WallTime When) {
  std::vector<bool> Active;
  for (const Selector &Candidate : D.Selectors_)
    Active.push_back(&D.Services_[Candidate.Service_] == &S &&
                     isActive(Candidate, Clock, When));
  auto Index = static_cast<std::size_t>(&S - D.Services_.data());
  return selectAll(D, Active)[Index];
}

Problems checkWeek(const Declaration &D, const std::string &File,
                   const TimeZoneClock &Clock, WallTime From) {
  constexpr int MinutesInWeek = DaysInWeek * MinutesInDay;
  ProblemList Found(File);
  checkEvacuated(D, Found);
  std::set<std::pair<std::string, std::string>> Reported;
  std::vector<bool> PreviousActive;
  for (int Minute = 0; Minute < MinutesInWeek; ++Minute) {
    WallTime When = From + std::chrono::minutes(Minute);
    std::vector<bool> Active;
    for (const Selector &S : D.Selectors_)
      Active.push_back(isActive(S, Clock, When));
    if (Minute != 0 && Active == PreviousActive)
      continue;
    PreviousActive = Active;
    std::vector<int> ServiceCounts(D.Upstreams_.size(), 0);
    SelectedUpstreams Selected = selectAll(D, Active);
    for (std::size_t S = 0; S < Selected.size(); ++S) {
      for (std::size_t Index : Selected[S])
        ++ServiceCounts[Index];
      const std::string &Name = D.Services_[S].Name_;
      if (Selected[S].empty() && Reported.emplace("services", Name).second)
        Found.add("services." + Name,
                  "has no upstream from " + formatMinute(When));
    }
    for (std::size_t U = 0; U < ServiceCounts.size(); ++U) {
      const std::string &Name = D.Upstreams_[U].Name_;
      if (ServiceCounts[U] > 1 && Reported.emplace("upstreams", Name).second)
        Found.add("upstreams." + Name,
                  "serves two services from " + formatMinute(When));
    }
  }
  return Found.all();
}

} // namespace thymewall

/// \file
/// Declarations: the JSON document in which operators name services, upstreams,
/// balancers and selectors. The same parser serves `thymewall-ctl check` and
/// the balancer, so a document that `check` accepts is accepted everywhere.
#ifndef THYMEWALL_DECLARATION_H
#define THYMEWALL_DECLARATION_H

#include "thymewall/problem.h"

#include <boost/leaf/result.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace thymewall {

constexpr std::size_t MaxDocumentBytes = 1024 * 1024;

using Labels = std::map<std::string, std::string>;

/// One condition of a selector.
struct Term {
  enum class Operator { In, NotIn, Exists, Absent };
  std::string Key_;
  Operator Operator_ = Operator::In;
  std::vector<std::string> Values_;
};
bool matches(const Term &T, const Labels &L);

/// A weekly window in local time. `ToMinute_` before `FromMinute_` runs over
/// midnight and belongs to the day on which it starts.
struct Window {
  std::uint8_t Days_ = 0x7f;         ///< Bit 0 is Sunday.
  std::uint16_t FromMinute_ = 0;     ///< Minute of the local day.
  std::uint16_t ToMinute_ = 24 * 60; ///< Minute of the local day, exclusive.
  std::string TimeZone_;             ///< IANA name.
};

/// A local time as a zone gives it.
struct LocalMinute {
  std::uint8_t Weekday_ = 0; ///< 0 is Sunday.
  std::uint16_t Minute_ = 0;
};
bool contains(const Window &W, LocalMinute Local);

/// Local time of a zone; an unknown zone gives nothing. `zone.h` has the hook
/// that reads the IANA database; tests give their own.
using TimeZoneClock = std::function<std::optional<LocalMinute>(
    const std::string &Zone, WallTime When)>;

struct Service {
  std::string Name_;
  ServiceId Id_{};
  std::uint16_t Port_ = 0;
  Micros DefaultTimeout_{}; ///< For requests that bring no deadline.
  std::uint32_t MaxInFlightPerSlot_ = 0; ///< Bound at each balancer.
  double RetryBudget_ = 0;               ///< Retries per first try of an open.
};

struct Upstream {
  std::string Name_;
  UpstreamId Id_{};
  Endpoint Address_;
  std::string DataHall_;
  std::uint32_t Slots_ = 1;
  bool RemembersRequests_ = false;
  Labels Labels_;
};

/// A declared balancer; its addresses come from the host list.
struct BalancerEntry {
  std::string Name_;
  std::string DataHall_;
  Labels Labels_;
};

/// Which upstreams serve which service, and when (always without a window).
struct Selector {
  std::size_t Service_ = 0; ///< Index into `Declaration::Services_`.
  std::vector<Term> Terms_;
  std::optional<Window> Window_;
};

struct Declaration {
  Version Version_ = 0;
  std::uint64_t Digest_ = 0; ///< XXH64 of the text.
  std::string Text_;
  std::vector<Service> Services_;
  std::vector<Upstream> Upstreams_;
  std::vector<BalancerEntry> Balancers_;
  std::vector<Selector> Selectors_;
  /// Nothing new is sent to the upstreams of these data halls.
  std::set<std::string> EvacuatedHalls_;

  const Service *service(ServiceId Id) const;
};
using DeclarationPtr = std::shared_ptr<const Declaration>;

/// True when \p A goes before \p B: by version, then by digest, so that two
/// documents of one version settle alike everywhere.
bool supersedes(const Declaration &A, const Declaration &B);

/// Parses and validates a whole document. On failure the error object is
/// `Problems`, with every fault found.
boost::leaf::result<DeclarationPtr>
parseDeclaration(std::string Text, const std::string &File,
                 const TimeZoneClock &Zones);

/// Why an upstream does not serve a service at a time; empty when it does.
std::string explain(const Declaration &D, const Service &S, const Upstream &U,
                    const TimeZoneClock &Zones, WallTime When);

/// Indexes into `Upstreams_` of those that serve \p S at \p When.
std::vector<std::size_t> eligibleUpstreams(const Declaration &D,
                                           const Service &S,
                                           const TimeZoneClock &Zones,
                                           WallTime When);

/// Looks through the week from \p From, minute by minute, for services without
/// an upstream and upstreams that serve two services; and for evacuated data
/// halls that the declaration does not name elsewhere.
Problems checkWeek(const Declaration &D, const std::string &File,
                   const TimeZoneClock &Zones, WallTime From);

} // namespace thymewall

#endif

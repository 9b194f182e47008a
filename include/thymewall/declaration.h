/// \file
/// The declaration: a JSON document in which operators define services,
/// upstreams, balancers and selectors. `thymewall-ctl check` and the balancer
/// use the same parser.
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

/// One label requirement of a selector.
struct Term {
  enum class Operator { In, NotIn, Exists, Absent };
  std::string Key_;
  Operator Operator_ = Operator::In;
  std::vector<std::string> Values_;
};
bool matches(const Term &T, const Labels &L);

/// A weekly window in local time. It runs over midnight if `ToMinute_` is less
/// than `FromMinute_`; `Days_` holds the days on which it starts.
struct Window {
  std::uint8_t Days_ = 0x7f;         ///< Bit 0 is Sunday.
  std::uint16_t FromMinute_ = 0;     ///< Minute of the local day.
  std::uint16_t ToMinute_ = 24 * 60; ///< Minute of the local day, exclusive.
  std::string TimeZone_;             ///< IANA name.
};

/// Day of the week and minute of the day in local time.
struct LocalMinute {
  std::uint8_t Weekday_ = 0; ///< 0 is Sunday.
  std::uint16_t Minute_ = 0;
};
bool contains(const Window &W, LocalMinute Local);

/// Converts a time to the local time of an IANA time zone; returns nullopt for
/// an unknown zone. See `timeZoneClock`.
using TimeZoneClock = std::function<std::optional<LocalMinute>(
    const std::string &Zone, WallTime When)>;

struct Service {
  std::string Name_;
  ServiceId Id_{};
  std::uint16_t Port_ = 0;
  Micros DefaultTimeout_{};              ///< For requests without a deadline.
  std::uint32_t MaxInFlightPerSlot_ = 0; ///< Limit of each balancer.
  double RetryBudget_ = 0;               ///< Retry tokens that each open adds.
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

/// A declared balancer. Its addresses are in the host list.
struct BalancerEntry {
  std::string Name_;
  std::string DataHall_;
  Labels Labels_;
};

/// Assigns the upstreams that match all terms to a service, within the window
/// if there is one.
struct Selector {
  std::size_t Service_ = 0; ///< Index into `Declaration::Services_`.
  std::vector<Term> Terms_;
  std::optional<Window> Window_;
};

struct Declaration {
  Version Version_ = 0;
  std::uint64_t Digest_ = 0; ///< XXH64 of the text.
  std::string Text_;         ///< The document itself.
  std::vector<Service> Services_;
  std::vector<Upstream> Upstreams_;
  std::vector<BalancerEntry> Balancers_;
  std::vector<Selector> Selectors_;
  /// Data halls whose upstreams get no new flows.
  std::set<std::string> EvacuatedHalls_;

  /// Returns null if the service is not declared.
  const Service *service(ServiceId Id) const;
};
using DeclarationPtr = std::shared_ptr<const Declaration>;

/// Returns true if \p A replaces \p B: by version, then by digest, so that all
/// balancers choose the same of two documents with one version.
bool supersedes(const Declaration &A, const Declaration &B);

/// Parses and validates a document. On failure the error object is `Problems`,
/// which holds every problem found.
boost::leaf::result<DeclarationPtr>
parseDeclaration(std::string Text, const std::string &File,
                 const TimeZoneClock &Clock);

/// Returns why an upstream does not serve a service at \p When, or an empty
/// string if it does.
std::string explain(const Declaration &D, const Service &S, const Upstream &U,
                    const TimeZoneClock &Clock, WallTime When);

/// Returns the indexes into `Upstreams_` of those that the selectors of \p S
/// select at \p When.
std::vector<std::size_t> selectedUpstreams(const Declaration &D,
                                           const Service &S,
                                           const TimeZoneClock &Clock,
                                           WallTime When);

/// Checks each minute of the week from \p From for services without an upstream
/// and for upstreams that serve two services. Also reports evacuated data halls
/// that have no upstream or balancer.
Problems checkWeek(const Declaration &D, const std::string &File,
                   const TimeZoneClock &Clock, WallTime From);

} // namespace thymewall

#endif

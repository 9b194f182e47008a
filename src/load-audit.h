/// \file
/// Checks a load run against the records of its callers and upstreams.
#ifndef THYMEWALL_SRC_LOAD_AUDIT_H
#define THYMEWALL_SRC_LOAD_AUDIT_H

#include <string>
#include <vector>

namespace thymewall::detail {

/// Result of an audit.
struct AuditResult {
  std::string Json_;    ///< Totals as one JSON object.
  bool Passed_ = false; ///< No guarantee was violated.
};

/// Checks the JSON records of the callers and the upstreams. \p ConfigSeconds
/// is only copied to the result. Throws a JSON exception for an invalid record.
AuditResult auditRun(const std::string &Callers,
                     const std::vector<std::string> &Upstreams,
                     double ConfigSeconds);

} // namespace thymewall::detail

#endif

/// \file
/// Judges a run from the records of its callers and upstreams alone.
#ifndef THYMEWALL_SRC_LOAD_AUDIT_H
#define THYMEWALL_SRC_LOAD_AUDIT_H

#include <string>
#include <vector>

namespace thymewall::detail {

struct AuditResult {
  std::string Json_;    ///< One JSON object.
  bool Passed_ = false; ///< No promise was seen broken.
};

/// \p Callers and \p Upstreams are records in JSON; throws
/// `std::runtime_error` for one that can't be read.
AuditResult auditRun(const std::string &Callers,
                     const std::vector<std::string> &Upstreams,
                     double ConfigSeconds);

} // namespace thymewall::detail

#endif

/// \file
/// Validation errors of documents and settings.
#ifndef THYMEWALL_PROBLEM_H
#define THYMEWALL_PROBLEM_H

#include "thymewall/core.h"

#include <vector>

namespace thymewall {

/// A validation error.
struct Problem {
  std::string File_;
  std::string Key_; ///< Path of the key, such as "services[0].port".
  std::string Reason_;
};
bool operator==(const Problem &A, const Problem &B);
/// Returns "FILE: KEY: REASON".
std::string format(const Problem &P);
using Problems = std::vector<Problem>;

} // namespace thymewall

#endif

/// \file
/// Faults of documents and settings.
#ifndef THYMEWALL_PROBLEM_H
#define THYMEWALL_PROBLEM_H

#include "thymewall/core.h"

#include <vector>

namespace thymewall {

/// One fault of a document: where it is and what is wrong.
struct Problem {
  std::string File_;
  std::string Key_;
  std::string Reason_;
};
bool operator==(const Problem &A, const Problem &B);
/// "FILE: KEY: REASON".
std::string format(const Problem &P);
using Problems = std::vector<Problem>;

} // namespace thymewall

#endif

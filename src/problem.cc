#include "thymewall/problem.h"

namespace thymewall {

bool operator==(const Problem &A, const Problem &B) {
  return std::tie(A.File_, A.Key_, A.Reason_) ==
         std::tie(B.File_, B.Key_, B.Reason_);
}

std::string format(const Problem &P) {
  return P.File_ + ": " + P.Key_ + ": " + P.Reason_;
}

} // namespace thymewall

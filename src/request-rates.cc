#include "thymewall/request-rates.h"

#include <algorithm>
#include <cmath>

namespace thymewall {

double RequestRates::Average::requestsAt(MonoTime Now) const {
  using Seconds = std::chrono::duration<double>;
  Micros Age = std::max(Now - At_, Micros(0));
  return Requests_ * std::exp(-(Seconds(Age) / Seconds(AveragingTime)));
}

void RequestRates::add(MonoTime Now, ServiceId Service) {
  Average &Known = Averages_[raw(Service)];
  Known = {Known.requestsAt(Now) + 1, std::max(Known.At_, Now)};
}

std::vector<ServiceLoad> RequestRates::at(MonoTime Now) const {
  constexpr double PerMinute = std::chrono::minutes(1) / AveragingTime;
  std::vector<ServiceLoad> Loads;
  for (const auto &[Id, Known] : Averages_) {
    auto Rate = static_cast<std::uint32_t>(
        std::lround(Known.requestsAt(Now) * PerMinute));
    if (Rate > 0)
      Loads.push_back({static_cast<ServiceId>(Id), Rate});
  }
  std::sort(Loads.begin(), Loads.end(),
            [](const ServiceLoad &A, const ServiceLoad &B) {
              return raw(A.Service_) < raw(B.Service_);
            });
  return Loads;
}

} // namespace thymewall

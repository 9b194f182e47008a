#include "thymewall/metrics.h"

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/indexed.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <cmath>
#include <map>
#include <nlohmann/json.hpp>

namespace thymewall {

namespace {

namespace bh = boost::histogram;

constexpr unsigned BinCount = 160;
constexpr double LowestMicros = 10;
constexpr double HighestMicros = 60e6;

using Axis = bh::axis::regular<double, bh::axis::transform::log>;
using Histogram = decltype(bh::make_histogram(std::declval<Axis>()));

Histogram makeHistogram() {
  return bh::make_histogram(Axis(BinCount, LowestMicros, HighestMicros));
}

using Key = std::pair<std::string, std::string>;

struct Delays {
  Histogram Histogram_ = makeHistogram();
  std::uint64_t Count_ = 0;
  std::uint64_t SumMicros_ = 0;
};

Micros quantileOf(const Delays &D, double Fraction) {
  double Cumulative = 0;
  auto Target = Fraction * static_cast<double>(D.Count_);
  for (auto &&Bin : bh::indexed(D.Histogram_, bh::coverage::all)) {
    Cumulative += static_cast<double>(*Bin);
    if (D.Count_ != 0 && Cumulative >= Target && Cumulative > 0)
      return Micros(static_cast<std::int64_t>(
          std::min(Bin.bin().upper(), HighestMicros)));
  }
  return Micros{0};
}

} // namespace

class DelayMetrics::Impl {
public:
  std::map<Key, Delays> Delays_;

  const Delays *find(const std::string &Tenant,
                     const std::string &Class) const {
    auto Found = Delays_.find({Tenant, Class});
    return Found == Delays_.end() ? nullptr : &Found->second;
  }
};

DelayMetrics::DelayMetrics() : Impl_(std::make_unique<Impl>()) {}
DelayMetrics::DelayMetrics(DelayMetrics &&) noexcept = default;
DelayMetrics &DelayMetrics::operator=(DelayMetrics &&) noexcept = default;
DelayMetrics::~DelayMetrics() = default;

void DelayMetrics::record(const std::string &Tenant, const std::string &Class,
                          Micros Delay) {
  Delays &D = Impl_->Delays_[{Tenant, Class}];
  auto Value = std::max<std::int64_t>(Delay.count(), 1);
  D.Histogram_(static_cast<double>(Value));
  ++D.Count_;
  D.SumMicros_ += static_cast<std::uint64_t>(Value);
}

std::uint64_t DelayMetrics::count(const std::string &Tenant,
                                  const std::string &Class) const {
  const Delays *D = Impl_->find(Tenant, Class);
  return D ? D->Count_ : 0;
}

Micros DelayMetrics::quantile(const std::string &Tenant,
                              const std::string &Class, double Fraction) const {
  const Delays *D = Impl_->find(Tenant, Class);
  return D ? quantileOf(*D, Fraction) : Micros{0};
}

std::string DelayMetrics::json() const {
  nlohmann::json Result = nlohmann::json::object();
  for (const auto &[Name, D] : Impl_->Delays_) {
    nlohmann::json Bins = nlohmann::json::array();
    for (auto &&Bin : bh::indexed(D.Histogram_))
      if (*Bin != 0)
        Bins.push_back(
            nlohmann::json::array({Bin.bin().upper(), double(*Bin)}));
    Result[Name.first][Name.second] = {{"count", D.Count_},
                                       {"p50_us", quantileOf(D, 0.5).count()},
                                       {"p99_us", quantileOf(D, 0.99).count()},
                                       {"bins", std::move(Bins)}};
  }
  return Result.dump();
}

std::string DelayMetrics::prometheus(const std::string &Name) const {
  std::string Text = "# TYPE " + Name + " histogram\n";
  for (const auto &[Series, D] : Impl_->Delays_) {
    std::string Labels =
        "tenant=\"" + Series.first + "\",class=\"" + Series.second + "\"";
    std::uint64_t Cumulative = 0;
    for (auto &&Bin : bh::indexed(D.Histogram_, bh::coverage::all)) {
      auto InBin = static_cast<std::uint64_t>(*Bin);
      Cumulative += InBin;
      if (InBin != 0 && std::isfinite(Bin.bin().upper()))
        Text += Name + "_bucket{" + Labels + ",le=\"" +
                std::to_string(Bin.bin().upper() / 1e6) + "\"} " +
                std::to_string(Cumulative) + "\n";
    }
    Text += Name + "_bucket{" + Labels + ",le=\"+Inf\"} " +
            std::to_string(D.Count_) + "\n";
    Text += Name + "_sum{" + Labels + "} " +
            std::to_string(static_cast<double>(D.SumMicros_) / 1e6) + "\n";
    Text += Name + "_count{" + Labels + "} " + std::to_string(D.Count_) + "\n";
  }
  return Text;
}

} // namespace thymewall

#include "load-scenario.h"

#include "json-reader.h"

#include <boost/leaf/error.hpp>

namespace thymewall::detail {

namespace {

using std::chrono::milliseconds;

template <typename T>
T integerAs(ObjectReader &Reader, const char *Key, std::int64_t Default,
            std::int64_t Min, std::int64_t Max) {
  return static_cast<T>(Reader.integerOr(Key, Default, Min, Max));
}

LoadClass readClass(const Json &Object, const std::string &Path,
                    ProblemList &Found) {
  ObjectReader Reader(Object, Path, Found);
  LoadClass C;
  C.Service_ = Reader.string("service");
  C.ServiceAddress_ = Reader.endpoint("at");
  C.Flows_ = integerAs<std::uint32_t>(Reader, "flows", 100, 1, 1'000'000);
  C.RequestsPerFlow_ =
      integerAs<std::uint32_t>(Reader, "requests_per_flow", 10, 0, 1'000'000);
  C.AtMostOnceFraction_ = Reader.numberOr("once_share", 0, 0, 1);
  C.Parts_ = integerAs<std::uint16_t>(Reader, "parts", 1, 1, MaxParts);
  C.MeanThinkTime_ = milliseconds(
      integerAs<std::int64_t>(Reader, "think_ms", 100, 0, 600'000));
  C.RequestTimeout_ = milliseconds(
      integerAs<std::int64_t>(Reader, "deadline_ms", 2000, 1, 60'000));
  Reader.finish();
  return C;
}

} // namespace

boost::leaf::result<Scenario> parseScenario(const std::string &Text,
                                            const std::string &File) {
  ProblemList Found(File);
  Json Root = parseJson(Text, Found);
  if (!Found.empty())
    return boost::leaf::new_error(Found.all());
  ObjectReader Reader(Root, "", Found);
  Scenario S;
  S.LocalAddress_ = Reader.endpoint("local");
  S.Sockets_ = integerAs<std::uint32_t>(Reader, "sockets", 16, 1, 4096);
  S.OpensPerSecond_ =
      integerAs<std::uint32_t>(Reader, "opens_per_second", 1000, 1, 1'000'000);
  S.MinHoldTime_ =
      milliseconds(integerAs<std::int64_t>(Reader, "hold_ms", 0, 0, 3'600'000));
  S.Seed_ = integerAs<std::uint64_t>(Reader, "seed", 1, 0, INT64_MAX);
  const Json &Classes = Reader.array("classes");
  for (std::size_t I = 0; I < Classes.size(); ++I)
    S.Classes_.push_back(
        readClass(Classes[I], "classes[" + std::to_string(I) + "]", Found));
  Reader.finish();
  if (!Found.empty())
    return boost::leaf::new_error(Found.all());
  return S;
}

} // namespace thymewall::detail

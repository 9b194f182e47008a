#include "thymewall/settings.h"

#include "json-reader.h"

#include <boost/leaf/error.hpp>
#include <sodium.h>

namespace thymewall {

namespace {

SecretKey readKey(const detail::Json &Value, const std::string &Path,
                  detail::ProblemList &Found) {
  SecretKey Result{};
  std::size_t Length = 0;
  std::string Text = Value.is_string() ? Value.get<std::string>() : "";
  int Failed = sodium_hex2bin(Result.data(), Result.size(), Text.data(),
                              Text.size(), nullptr, &Length, nullptr);
  if (Failed != 0 || Length != Result.size() || Text.size() != 2 * Length)
    Found.add(Path, "must be 32 hexadecimal digits");
  return Result;
}

/// Reads one key, or two while the second is being rotated out.
KeyPair readKeys(detail::ObjectReader &Reader, detail::ProblemList &Found) {
  KeyPair Result{};
  const detail::Json &Array = Reader.array("keys");
  bool ValidCount = Array.size() == 1 || Array.size() == 2;
  if (!ValidCount && Reader.has("keys"))
    Reader.addProblem("keys", "must contain one key, or two during a rotation");
  if (!ValidCount)
    return Result;
  for (std::size_t I = 0; I < Array.size(); ++I)
    Result[I] = readKey(Array[I], "keys[" + std::to_string(I) + "]", Found);
  if (Array.size() == 1)
    Result[1] = Result[0];
  return Result;
}

} // namespace

boost::leaf::result<Settings> parseSettings(const std::string &Text,
                                            const std::string &File) {
  detail::ProblemList Found(File);
  detail::Json Root = detail::parseJson(Text, Found);
  if (!Found.empty())
    return boost::leaf::new_error(Found.all());
  detail::ObjectReader Reader(Root, "", Found);
  Settings S;
  S.Name_ = Reader.string("name");
  S.DataHall_ = Reader.string("data_hall");
  S.Callers_ = Reader.endpoint("callers");
  S.Data_ = Reader.endpoint("data");
  S.Upstream_ = Reader.endpoint("upstream");
  S.Control_ = Reader.endpoint("control");
  S.Status_ = Reader.endpoint("status");
  S.Platform_ = Reader.endpoint("platform");
  S.Seeds_ = detail::readEndpoints(Reader, "seeds", false, Found);
  S.Keys_ = readKeys(Reader, Found);
  S.WatchersPerHall_ = static_cast<std::uint32_t>(
      Reader.integerOr("watchers_per_hall", 2, 1, 100));
  S.PeerLinks_ =
      static_cast<std::uint32_t>(Reader.integerOr("peer_links", 8, 1, 64));
  Reader.finish();
  if (!Found.empty())
    return boost::leaf::new_error(Found.all());
  return S;
}

boost::leaf::result<std::vector<std::string>>
parseCtlSettings(const std::string &Text, const std::string &File) {
  detail::ProblemList Found(File);
  detail::Json Root = detail::parseJson(Text, Found);
  if (!Found.empty())
    return boost::leaf::new_error(Found.all());
  detail::ObjectReader Reader(Root, "", Found);
  std::vector<std::string> Result;
  for (const Endpoint &Address :
       detail::readEndpoints(Reader, "balancers", true, Found))
    Result.push_back(formatEndpoint(Address));
  Reader.finish();
  if (!Found.empty())
    return boost::leaf::new_error(Found.all());
  return Result;
}

} // namespace thymewall

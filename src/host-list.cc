#include "thymewall/host-list.h"

#include "json-reader.h"

#include <boost/leaf/error.hpp>

namespace thymewall {

namespace {

Host readHost(const detail::Json &Object, const std::string &Path,
              detail::ProblemList &Found) {
  detail::ObjectReader Reader(Object, Path, Found);
  Host H;
  H.Name_ = Reader.string("name");
  std::string Role = Reader.string("role");
  std::string State = Reader.string("state");
  if (Role != "balancer" && Role != "upstream")
    Reader.addProblem("role", "must be balancer or upstream");
  if (State != "live" && State != "leaving")
    Reader.addProblem("state", "must be live or leaving");
  H.Role_ = Role == "upstream" ? Host::Role::Upstream : Host::Role::Balancer;
  H.Leaving_ = State == "leaving";
  if (H.Role_ == Host::Role::Balancer) {
    H.DataHall_ = Reader.string("data_hall");
    H.Data_ = Reader.endpoint("data");
    H.Control_ = Reader.endpoint("control");
  }
  Reader.finish();
  return H;
}

} // namespace

boost::leaf::result<HostListPtr> parseHostList(const std::string &Text,
                                               const std::string &File) {
  detail::ProblemList Found(File);
  detail::Json Root = detail::parseJson(Text, Found);
  if (!Found.empty())
    return boost::leaf::new_error(Found.all());
  HostList Result;
  detail::ObjectReader Reader(Root, "", Found);
  Result.Version_ =
      static_cast<Version>(Reader.integer("version", 1, INT64_MAX));
  const detail::Json &Hosts = Reader.array("hosts");
  for (std::size_t I = 0; I < Hosts.size(); ++I)
    Result.Hosts_.push_back(
        readHost(Hosts[I], "hosts[" + std::to_string(I) + "]", Found));
  Reader.finish();
  if (!Found.empty())
    return boost::leaf::new_error(Found.all());
  return std::make_shared<const HostList>(std::move(Result));
}

} // namespace thymewall

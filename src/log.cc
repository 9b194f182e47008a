#include "thymewall/log.h"

#include <boost/log/attributes/constant.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <iostream>

namespace thymewall {

namespace {

/// Quotes a value that would not stand as one word.
std::string word(const std::string &Value) {
  if (!Value.empty() && Value.find_first_of(" \"\n=") == std::string::npos)
    return Value;
  std::string Quoted = "\"";
  for (char C : Value) {
    if (C == '"' || C == '\\')
      Quoted += '\\';
    Quoted += C == '\n' ? ' ' : C;
  }
  return Quoted + "\"";
}

} // namespace

void startLog(const std::string &Process) {
  namespace expr = boost::log::expressions;
  boost::log::add_common_attributes();
  boost::log::core::get()->add_global_attribute(
      "Process", boost::log::attributes::constant<std::string>(Process));
  auto Format = expr::stream
                << expr::format_date_time<boost::posix_time::ptime>(
                       "TimeStamp", "%Y-%m-%dT%H:%M:%S.%f")
                << " process=" << expr::attr<std::string>("Process") << " "
                << expr::smessage;
  boost::log::add_console_log(std::cerr, boost::log::keywords::format = Format,
                              boost::log::keywords::auto_flush = true);
}

void logState(std::string_view State, const std::vector<LogField> &Fields) {
  static boost::log::sources::logger Logger;
  std::string Line = "state=" + std::string(State);
  for (const LogField &F : Fields)
    Line += " " + std::string(F.first) + "=" + word(F.second);
  BOOST_LOG(Logger) << Line;
}

} // namespace thymewall

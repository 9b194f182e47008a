/// \file
/// Structured log lines, for changes of state only. Everything that happens
/// more often is a counter.
#ifndef THYMEWALL_LOG_H
#define THYMEWALL_LOG_H

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace thymewall {

/// Key and value of one field of a log line.
using LogField = std::pair<std::string_view, std::string>;

/// Sends log lines to standard error, each with time and process name.
void startLog(const std::string &Process);

/// One line: time, process, `State`, and the fields as key=value.
///
///   logState("declaration_in_force", {{"version", "12"}});
void logState(std::string_view State, const std::vector<LogField> &Fields);

} // namespace thymewall

#endif

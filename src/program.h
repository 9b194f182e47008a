/// \file
/// Helpers shared by all programs: command-line parsing, configuration files
/// and exit codes.
#ifndef THYMEWALL_SRC_PROGRAM_H
#define THYMEWALL_SRC_PROGRAM_H

#include "thymewall/problem.h"

#include <boost/leaf/handle_errors.hpp>
#include <cxxopts.hpp>
#include <optional>

namespace thymewall::detail {

/// Exit codes: `ExitFailure` reports a negative result, such as a failed check;
/// `ExitError` a wrong command line, a bad configuration or an exception.
enum ExitCode { ExitSuccess = 0, ExitFailure = 1, ExitError = 2 };

/// Returns the contents of a file, or `std::nullopt` if it can't be read.
std::optional<std::string> readFile(const std::string &Path);

/// Prints the problems to standard error, one per line.
void printProblems(const Problems &Found);

/// Adds --help and --version and parses the command line. Exits the process
/// after printing either of them, or with `ExitError` and a message if the
/// command line is invalid.
cxxopts::ParseResult parseArguments(cxxopts::Options &Options, int Count,
                                    char **Values);

/// Reads the configuration file at \p Path with \p Parse. On failure, prints
/// the problems and exits with `ExitError`.
template <typename Function>
auto loadConfig(const std::string &Path, Function Parse)
    -> std::decay_t<decltype(Parse(std::string(), Path).value())> {
  using Result = std::decay_t<decltype(Parse(std::string(), Path).value())>;
  std::optional<std::string> Text = readFile(Path);
  if (!Text) {
    printProblems({{Path, "(file)", "can't be read"}});
    std::exit(ExitError);
  }
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<Result> { return Parse(*Text, Path); },
      [](const Problems &Found) -> Result {
        printProblems(Found);
        std::exit(ExitError);
      },
      [&]() -> Result {
        printProblems({{Path, "(file)", "can't be parsed"}});
        std::exit(ExitError);
      });
}

/// Runs the body of a program and returns its exit code. An exception, such as
/// one for an address in use, is printed and becomes `ExitError`.
int runProgram(const std::function<int()> &Body);

} // namespace thymewall::detail

#endif

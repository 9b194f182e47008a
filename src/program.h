/// \file
/// What every program shares: the command line, settings from a file, and exit
/// codes.
#ifndef THYMEWALL_SRC_PROGRAM_H
#define THYMEWALL_SRC_PROGRAM_H

#include "thymewall/problem.h"

#include <boost/leaf/handle_errors.hpp>
#include <cxxopts.hpp>
#include <optional>

namespace thymewall::detail {

enum ExitCode { ExitSuccess = 0, ExitFailure = 1, ExitError = 2 };

/// Whole contents of a file; nothing when it can't be read.
std::optional<std::string> readFile(const std::string &Path);

/// Prints each problem on a line of standard error.
void printProblems(const Problems &Found);

/// Adds --help, --version and parses. Ends the process itself after printing
/// either, or with `ExitError` and a message for a wrong command line.
cxxopts::ParseResult parseArguments(cxxopts::Options &Options, int Count,
                                    char **Values);

/// Reads the file named by --config with \p Parse, or prints what is wrong and
/// ends the process with `ExitError`.
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

/// Runs a program's body; an exception that reaches it (an address in use, say)
/// is printed and becomes `ExitError`.
int runProgram(const std::function<int()> &Body);

} // namespace thymewall::detail

#endif

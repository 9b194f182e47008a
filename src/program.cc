#include "program.h"

#include <fstream>
#include <iostream>
#include <sstream>

namespace thymewall::detail {

namespace {

const char *const VersionText = "thymewall 0.1.0";

} // namespace

std::optional<std::string> readFile(const std::string &Path) {
  std::ifstream In(Path, std::ios::binary);
  if (!In)
    return std::nullopt;
  std::ostringstream Text;
  Text << In.rdbuf();
  return Text.str();
}

void printProblems(const Problems &Found) {
  for (const Problem &P : Found)
    std::cerr << format(P) << "\n";
}

cxxopts::ParseResult parseArguments(cxxopts::Options &Options, int Count,
                                    char **Values) {
  Options.add_options()("h,help", "print this help")("version",
                                                     "print the version");
  try {
    cxxopts::ParseResult Result = Options.parse(Count, Values);
    if (Result.count("help") != 0) {
      std::cout << Options.help();
      std::exit(ExitSuccess);
    }
    if (Result.count("version") != 0) {
      std::cout << VersionText << "\n";
      std::exit(ExitSuccess);
    }
    return Result;
  } catch (const cxxopts::exceptions::exception &Error) {
    std::cerr << Error.what() << "\n";
    std::exit(ExitError);
  }
}

int runProgram(const std::function<int()> &Body) {
  try {
    return Body();
  } catch (const std::exception &Error) {
    std::cerr << Error.what() << "\n";
    return ExitError;
  }
}

} // namespace thymewall::detail

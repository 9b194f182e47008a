/// \file
/// Command line of the stand-ins: options, or the same options in a JSON file
/// that --config names.
#ifndef THYMEWALL_TEST_STANDIN_OPTIONS_H
#define THYMEWALL_TEST_STANDIN_OPTIONS_H

#include "program.h"

#include <iostream>
#include <nlohmann/json.hpp>

namespace thymewall::detail {

/// Converts a JSON value to the text of an option. Arrays become
/// comma-separated lists.
inline std::string toOptionText(const nlohmann::json &Value) {
  if (Value.is_string())
    return Value.get<std::string>();
  if (!Value.is_array())
    return Value.dump();
  std::string Text;
  for (const nlohmann::json &Item : Value)
    Text += (Text.empty() ? "" : ",") + toOptionText(Item);
  return Text;
}

/// Parses the command line. --config FILE adds each key of the file's JSON
/// object as an option. On an invalid file, prints the file, the key and the
/// reason, and exits the process.
inline cxxopts::ParseResult parseStandinOptions(cxxopts::Options &Options,
                                                int Count, char **Values) {
  Options.add_options()("config", "the same options in JSON",
                        cxxopts::value<std::string>());
  cxxopts::ParseResult CommandLine = parseArguments(Options, Count, Values);
  if (CommandLine.count("config") == 0)
    return CommandLine;
  std::string Path = CommandLine["config"].as<std::string>();
  auto Root =
      nlohmann::json::parse(readFile(Path).value_or(""), nullptr, false);
  auto FailWith = [&](const std::string &Key, const std::string &Reason) {
    printProblems({{Path, Key, Reason}});
    std::exit(ExitError);
  };
  if (!Root.is_object())
    FailWith("(document)", "must be a JSON object");
  std::vector<std::string> Texts(Values, Values + Count);
  for (const auto &[Key, Value] : Root.items()) {
    Texts.push_back("--" + Key + "=" + toOptionText(Value));
    std::vector<const char *> SingleOption = {Values[0], Texts.back().c_str()};
    try {
      Options.parse(2, SingleOption.data());
    } catch (const cxxopts::exceptions::exception &Error) {
      FailWith(Key, Error.what());
    }
  }
  std::vector<const char *> AllArguments;
  AllArguments.reserve(Texts.size());
  for (const std::string &Text : Texts)
    AllArguments.push_back(Text.c_str());
  return Options.parse(static_cast<int>(AllArguments.size()),
                       AllArguments.data());
}

} // namespace thymewall::detail

#endif

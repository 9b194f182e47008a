/// \file
/// Command line of the stand-ins: options, or the same as JSON by --config.
#ifndef THYMEWALL_TEST_STANDIN_OPTIONS_H
#define THYMEWALL_TEST_STANDIN_OPTIONS_H

#include "program.h"

#include <iostream>
#include <nlohmann/json.hpp>

namespace thymewall::detail {

/// A JSON value as the text of an option; arrays become comma lists.
inline std::string optionText(const nlohmann::json &Value) {
  if (Value.is_string())
    return Value.get<std::string>();
  if (!Value.is_array())
    return Value.dump();
  std::string Text;
  for (const nlohmann::json &Item : Value)
    Text += (Text.empty() ? "" : ",") + optionText(Item);
  return Text;
}

/// Parses the command line; --config FILE adds each key of the file's object as
/// an option. What is wrong is printed with file and key, and ends the process.
inline cxxopts::ParseResult parseStandin(cxxopts::Options &Options, int Count,
                                         char **Values) {
  Options.add_options()("config", "the same options in JSON",
                        cxxopts::value<std::string>());
  cxxopts::ParseResult First = parseArguments(Options, Count, Values);
  if (First.count("config") == 0)
    return First;
  std::string Path = First["config"].as<std::string>();
  auto Root =
      nlohmann::json::parse(readFile(Path).value_or(""), nullptr, false);
  auto Fail = [&](const std::string &Key, const std::string &Reason) {
    printProblems({{Path, Key, Reason}});
    std::exit(ExitError);
  };
  if (!Root.is_object())
    Fail("(document)", "must be a JSON object");
  std::vector<std::string> Texts(Values, Values + Count);
  for (const auto &[Key, Value] : Root.items()) {
    Texts.push_back("--" + Key + "=" + optionText(Value));
    std::vector<const char *> One = {Values[0], Texts.back().c_str()};
    try {
      Options.parse(2, One.data());
    } catch (const cxxopts::exceptions::exception &Error) {
      Fail(Key, Error.what());
    }
  }
  std::vector<const char *> All;
  All.reserve(Texts.size());
  for (const std::string &Text : Texts)
    All.push_back(Text.c_str());
  return Options.parse(static_cast<int>(All.size()), All.data());
}

} // namespace thymewall::detail

#endif

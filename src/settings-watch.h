/// \file
/// Detects changes of a running process's settings file and parses its text.
#ifndef THYMEWALL_SRC_SETTINGS_WATCH_H
#define THYMEWALL_SRC_SETTINGS_WATCH_H

#include "thymewall/packet-settings.h"

#include <optional>
#include <string>

namespace thymewall::detail {

class SettingsWatch {
public:
  /// \p Path contains the settings that are in force.
  explicit SettingsWatch(std::string Path);

  /// Reads the file again. Returns whether its text has changed.
  bool reread();
  /// Parses the text that was read last. Logs the problems and returns nothing
  /// if it is invalid.
  std::optional<PacketSettings> parse() const;

private:
  std::string Path_;
  std::string Text_;
};

} // namespace thymewall::detail

#endif

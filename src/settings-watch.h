/// \file
/// The settings file of a running process: read again when asked, or when it
/// has changed without notice.
#ifndef THYMEWALL_SRC_SETTINGS_WATCH_H
#define THYMEWALL_SRC_SETTINGS_WATCH_H

#include "thymewall/packet-settings.h"

#include <optional>
#include <string>

namespace thymewall::detail {

class SettingsWatch {
public:
  /// \p Path holds what is in force.
  explicit SettingsWatch(std::string Path);

  /// True when the file's text differs from that of the last look.
  bool reread();
  /// Parses the text of the last look. Nothing when it is bad: the faults are
  /// logged, and what is in force stays.
  std::optional<PacketSettings> parse() const;

private:
  std::string Path_;
  std::string Text_;
};

} // namespace thymewall::detail

#endif

#include "settings-watch.h"

#include "program.h"
#include "thymewall/log.h"

#include <boost/leaf/handle_errors.hpp>

namespace thymewall::detail {

SettingsWatch::SettingsWatch(std::string Path) : Path_(std::move(Path)) {
  reread();
}

bool SettingsWatch::reread() {
  std::optional<std::string> Now = readFile(Path_);
  if (!Now || *Now == Text_)
    return false; // a missing file is probably being replaced
  Text_ = std::move(*Now);
  return true;
}

std::optional<PacketSettings> SettingsWatch::parse() const {
  using Result = std::optional<PacketSettings>;
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<Result> {
        BOOST_LEAF_AUTO(Read, parsePacketSettings(Text_, Path_));
        return Result(Read);
      },
      [](const Problems &Found) {
        for (const Problem &P : Found)
          logState("settings_refused", {{"reason", format(P)}});
        return Result();
      },
      [&] {
        logState("settings_refused", {{"file", Path_}});
        return Result();
      });
}

} // namespace thymewall::detail

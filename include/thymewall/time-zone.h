/// \file
/// Local times from the IANA time zone database.
#ifndef THYMEWALL_TIME_ZONE_H
#define THYMEWALL_TIME_ZONE_H

#include "thymewall/declaration.h"

namespace thymewall {

/// Returns a clock that uses the system's time zone database, including
/// daylight saving time. The clock does not throw.
TimeZoneClock timeZoneClock();

} // namespace thymewall

#endif

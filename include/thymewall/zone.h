/// \file
/// The IANA time zone database as a `TimeZoneClock` (summer time included).
#ifndef THYMEWALL_ZONE_H
#define THYMEWALL_ZONE_H

#include "thymewall/declaration.h"

namespace thymewall {

/// A clock over the system's zone database. Throws nothing; an unknown zone
/// gives nothing.
TimeZoneClock timeZoneClock();

} // namespace thymewall

#endif

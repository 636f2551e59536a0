// Pauses of this entry, in which callers may have sent requests that are read later.

#pragma once

#include "base/clock.h"

namespace greengagehead::entry {

class pause_detector {
public:
    /// Called at each tick.
    void record_tick(base::steady_time now);
    /// When the caller of a request that is read now has sent it at the earliest: before `now` when
    /// this entry has been paused.
    [[nodiscard]] base::steady_time earliest_sent(base::steady_time now) const;

private:
    base::steady_time last_tick; ///< Zero before the first one.
    /// Of the last pause; both zero when there was none. `pause_ended` is never after `last_tick`.
    base::steady_time pause_began;
    base::steady_time pause_ended;
};

} // namespace greengagehead::entry

// Detects pauses of this entry by the time between its ticks.

#include "entry/pause_detector.h"

#include <chrono>

namespace greengagehead::entry {

namespace {

using std::chrono::milliseconds;

/// A longer time between two ticks counts as a pause of this entry.
constexpr milliseconds min_pause {300};
/// What is read this soon after a pause may have been sent before it.
constexpr milliseconds backlog_time {100};

} // namespace

void pause_detector::record_tick(base::steady_time now)
{
    if (this->last_tick != base::steady_time {} && now - this->last_tick > min_pause) {
        this->pause_began = this->last_tick;
        this->pause_ended = now;
    }
    this->last_tick = now;
}

base::steady_time pause_detector::earliest_sent(base::steady_time now) const
{
    if (this->last_tick == base::steady_time {})
        return now;
    if (now - this->last_tick > min_pause)
        return this->last_tick;
    return now < this->pause_ended + backlog_time ? this->pause_began : now;
}

} // namespace greengagehead::entry

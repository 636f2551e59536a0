// Progress of an entry from its start to its first usable endpoint.

#include "entry/recovery_logger.h"

#include <algorithm>
#include <chrono>
#include <string>
#include <string_view>

#include "base/log_record.h"

namespace greengagehead::entry {

namespace {

constexpr std::chrono::milliseconds log_interval {1000};
constexpr std::array<std::string_view, state_part_count> part_names {"control_link", "leader",
                                                                     "lease", "view", "endpoint"};

std::int64_t milliseconds_since(base::steady_time begin, base::steady_time now)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(now - begin).count();
}

} // namespace

void recovery_logger::tick(state_parts const& present, base::steady_time now)
{
    if (this->recovered)
        return;
    auto const since_start = milliseconds_since(this->started, now);
    for (std::size_t part = 0; part < state_part_count; ++part) {
        if (present.at(part) && !this->first_seen.at(part))
            this->first_seen.at(part) = since_start;
    }
    this->recovered = std::all_of(this->first_seen.begin(), this->first_seen.end(),
                                  [](auto const& time) { return time.has_value(); });
    if (this->recovered)
        this->log_recovered(now);
    else if (now - this->started >= log_interval && now >= this->next_log)
        this->log_missing(now);
}

void recovery_logger::log_missing(base::steady_time now)
{
    this->next_log = now + log_interval;
    std::string missing;
    for (std::size_t part = 0; part < state_part_count; ++part) {
        if (!this->first_seen.at(part))
            missing.append(missing.empty() ? "" : " ").append(part_names.at(part));
    }
    base::log_record(base::log_event::state_missing)
        .with("ms", milliseconds_since(this->started, now))
        .with("missing", missing);
}

void recovery_logger::log_recovered(base::steady_time now) const
{
    base::log_record record(base::log_event::state_recovered);
    record.with("ms", milliseconds_since(this->started, now));
    for (std::size_t part = 0; part < state_part_count; ++part)
        record.with(part_names.at(part), *this->first_seen.at(part));
}

} // namespace greengagehead::entry

// Announcement, departure and state of endpoints.

#include "agent/endpoint_list.h"

#include <algorithm>

#include "agent/entry_leases.h"
#include "base/log_record.h"

namespace greengagehead::agent {

namespace {

constexpr int max_missed_announcements = 3;
constexpr std::uint32_t max_slots = 10'000;

base::error invalid(announcement const& description, std::string message)
{
    return {base::error_code::invalid_argument, base::error_step::admission, description.name,
            std::move(message)};
}

base::result<void> check(announcement const& description)
{
    if (description.name.empty())
        return invalid(description, "name must not be empty");
    if (description.url.empty())
        return invalid(description, "url must not be empty");
    if (description.slots == 0 || description.slots > max_slots)
        return invalid(description, "slots must be a whole number from 1 to 10000");
    return boost::outcome_v2::success();
}

/// With fewer slots than levels, every task would change the level. Such an endpoint counts only as
/// full or not full.
std::uint32_t level_of(endpoint_slots const& slots)
{
    constexpr auto full = endpoint_list::full_level;
    if (slots.capacity() < full)
        return slots.full() ? full : 0;
    return static_cast<std::uint32_t>(std::uint64_t {slots.used()} * full / slots.capacity());
}

/// Slots of the attempts that `selected` accepts.
template <typename Attempts>
std::uint32_t slots_of(Attempts const& attempts,
                       std::function<bool(attempt_key const&)> const& selected)
{
    std::uint32_t sum = 0;
    for (auto const& attempt : attempts)
        sum += selected(attempt.key) ? attempt.slots : 0;
    return sum;
}

} // namespace

endpoint_list::endpoint_list(std::chrono::milliseconds interval, queue_limits endpoint_limits)
    : announcement_interval(interval), limits(endpoint_limits)
{
}

base::result<void> endpoint_list::announce(announcement const& description, base::steady_time now)
{
    BOOST_OUTCOME_TRYV(check(description));
    auto const [position, added] = this->endpoints.try_emplace(
        description.name, listed_endpoint {endpoint_slots(description, this->limits, now), false});
    auto& listed = position->second;
    if (added || listed.departed || listed.slots.description() != description)
        base::log_record(base::log_event::endpoint_announced)
            .with("endpoint", description.name)
            .with("url", description.url)
            .with("slots", description.slots);
    listed.departed = false;
    listed.slots.refresh(description, now);
    return boost::outcome_v2::success();
}

base::result<void> endpoint_list::leave(std::string const& name)
{
    auto const found = this->endpoints.find(name);
    if (found == this->endpoints.end() || found->second.departed)
        return base::error {base::error_code::not_found, base::error_step::admission, name,
                            "no endpoint named " + name + " is announced"};
    found->second.departed = true;
    base::log_record(base::log_event::endpoint_left).with("endpoint", name).with("reason", "left");
    return boost::outcome_v2::success();
}

bool endpoint_list::expire(base::steady_time now)
{
    auto const limit = max_missed_announcements * this->announcement_interval;
    bool any = false;
    for (auto& [name, listed] : this->endpoints) {
        if (listed.departed || now - listed.slots.announced_at() <= limit)
            continue;
        listed.departed = true;
        any = true;
        base::log_record(base::log_event::endpoint_left)
            .with("endpoint", name)
            .with("reason", "missed announcements");
    }
    std::erase_if(this->endpoints, [](auto const& item) {
        auto const& [name, listed] = item;
        return listed.departed && listed.slots.idle();
    });
    return any;
}

endpoint_slots* endpoint_list::find_present(std::string const& name)
{
    auto const found = this->endpoints.find(name);
    return found == this->endpoints.end() || found->second.departed ? nullptr
                                                                    : &found->second.slots;
}

endpoint_slots* endpoint_list::find(std::string const& name)
{
    auto const found = this->endpoints.find(name);
    return found == this->endpoints.end() ? nullptr : &found->second.slots;
}

std::vector<std::pair<std::string, attempt_key>> endpoint_list::waiting() const
{
    std::vector<std::pair<std::string, attempt_key>> keys;
    for (auto const& [name, listed] : this->endpoints) {
        for (auto const& attempt : listed.slots.queue())
            keys.emplace_back(name, attempt.key);
    }
    return keys;
}

std::vector<attempt_key> endpoint_list::unfinished() const
{
    std::vector<attempt_key> keys;
    for (auto const& [name, listed] : this->endpoints) {
        for (auto const& attempt : listed.slots.running_attempts())
            keys.push_back(attempt.key);
        for (auto const& attempt : listed.slots.queue())
            keys.push_back(attempt.key);
    }
    return keys;
}

std::vector<std::string> endpoint_list::names() const
{
    std::vector<std::string> all;
    for (auto const& [name, listed] : this->endpoints)
        all.push_back(name);
    return all;
}

std::vector<protocol::endpoint_state>
endpoint_list::states(entry_leases const& leases,
                      std::function<bool(attempt_key const&)> const& owned) const
{
    std::vector<protocol::endpoint_state> all;
    for (auto const& [name, listed] : this->endpoints) {
        if (listed.departed)
            continue;
        auto const& description = listed.slots.description();
        all.push_back({name, description.kinds, listed.slots.capacity(), listed.slots.used(),
                       listed.slots.queued(), description.cpu, description.memory_mb,
                       description.rack, description.draining || leases.draining(name),
                       slots_of(listed.slots.running_attempts(), owned)
                           + slots_of(listed.slots.queue(), owned)});
    }
    return all;
}

std::vector<std::pair<std::string, std::uint32_t>> endpoint_list::levels() const
{
    std::vector<std::pair<std::string, std::uint32_t>> all;
    for (auto const& [name, listed] : this->endpoints) {
        if (!listed.departed)
            all.emplace_back(name, level_of(listed.slots));
    }
    return all;
}

} // namespace greengagehead::agent

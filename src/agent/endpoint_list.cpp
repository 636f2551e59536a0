// Arrival and loss of endpoints.

#include "agent/endpoint_list.h"

#include <algorithm>

#include "agent/lease_book.h"
#include "base/log_record.h"

namespace greengagehead::agent {

namespace {

constexpr int missed_announcements_until_gone = 3;
constexpr std::uint32_t maximum_slots = 10'000;

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
    if (description.slots == 0 || description.slots > maximum_slots)
        return invalid(description, "slots must be a whole number from 1 to 10000");
    return boost::outcome_v2::success();
}

/// With fewer slots than levels, every task would change the level: such an endpoint is only full
/// or not.
std::uint32_t level_of(endpoint_slots const& slots)
{
    constexpr auto full = endpoint_list::full_level;
    if (slots.capacity() < full)
        return slots.full() ? full : 0;
    return static_cast<std::uint32_t>(std::uint64_t {slots.used()} * full / slots.capacity());
}

/// Slots of the attempts that `counts` accepts.
template <typename Attempts>
std::uint32_t slots_of(Attempts const& attempts,
                       std::function<bool(attempt_key const&)> const& counts)
{
    std::uint32_t sum = 0;
    for (auto const& item : attempts)
        sum += counts(item.key) ? item.slots : 0;
    return sum;
}

} // namespace

endpoint_list::endpoint_list(std::chrono::milliseconds interval, queue_limits wanted)
    : announcement_interval(interval), limits(wanted)
{
}

base::result<void> endpoint_list::announce(announcement const& description, base::steady_time now)
{
    BOOST_OUTCOME_TRYV(check(description));
    auto const [item, added] = this->endpoints.try_emplace(
        description.name, listed_endpoint {endpoint_slots(description, this->limits, now), false});
    auto& known = item->second;
    if (added || known.gone || known.slots.description() != description)
        base::log_record(base::log_event::endpoint_announced)
            .with("endpoint", description.name)
            .with("url", description.url)
            .with("slots", description.slots);
    known.gone = false;
    known.slots.refresh(description, now);
    return boost::outcome_v2::success();
}

base::result<void> endpoint_list::leave(std::string const& name)
{
    auto const found = this->endpoints.find(name);
    if (found == this->endpoints.end() || found->second.gone)
        return base::error {base::error_code::not_found, base::error_step::admission, name,
                            "no endpoint " + name + " has announced itself"};
    found->second.gone = true;
    base::log_record(base::log_event::endpoint_left).with("endpoint", name).with("reason", "left");
    return boost::outcome_v2::success();
}

bool endpoint_list::expire(base::steady_time now)
{
    auto const limit = missed_announcements_until_gone * this->announcement_interval;
    bool any = false;
    for (auto& [name, known] : this->endpoints) {
        if (known.gone || now - known.slots.announced_at() <= limit)
            continue;
        known.gone = true;
        any = true;
        base::log_record(base::log_event::endpoint_left)
            .with("endpoint", name)
            .with("reason", "missed announcements");
    }
    std::erase_if(this->endpoints, [](auto const& item) {
        auto const& [name, known] = item;
        return known.gone && known.slots.idle();
    });
    return any;
}

endpoint_slots* endpoint_list::present(std::string const& name)
{
    auto const found = this->endpoints.find(name);
    return found == this->endpoints.end() || found->second.gone ? nullptr : &found->second.slots;
}

endpoint_slots* endpoint_list::find(std::string const& name)
{
    auto const found = this->endpoints.find(name);
    return found == this->endpoints.end() ? nullptr : &found->second.slots;
}

std::vector<std::pair<std::string, attempt_key>> endpoint_list::waiting() const
{
    std::vector<std::pair<std::string, attempt_key>> keys;
    for (auto const& [name, known] : this->endpoints) {
        for (auto const& item : known.slots.queue())
            keys.emplace_back(name, item.key);
    }
    return keys;
}

std::vector<attempt_key> endpoint_list::unfinished() const
{
    std::vector<attempt_key> keys;
    for (auto const& [name, known] : this->endpoints) {
        for (auto const& item : known.slots.running_attempts())
            keys.push_back(item.key);
        for (auto const& item : known.slots.queue())
            keys.push_back(item.key);
    }
    return keys;
}

std::vector<std::string> endpoint_list::names() const
{
    std::vector<std::string> all;
    for (auto const& [name, known] : this->endpoints)
        all.push_back(name);
    return all;
}

std::vector<protocol::endpoint_state>
endpoint_list::states(lease_book const& leases,
                      std::function<bool(attempt_key const&)> const& held) const
{
    std::vector<protocol::endpoint_state> all;
    for (auto const& [name, known] : this->endpoints) {
        if (known.gone)
            continue;
        auto const& description = known.slots.description();
        all.push_back(
            {name, description.kinds, known.slots.capacity(), known.slots.used(),
             known.slots.queued(), description.cpu, description.memory_mb, description.rack,
             description.draining || leases.draining(name),
             slots_of(known.slots.running_attempts(), held) + slots_of(known.slots.queue(), held)});
    }
    return all;
}

std::vector<std::pair<std::string, std::uint32_t>> endpoint_list::levels() const
{
    std::vector<std::pair<std::string, std::uint32_t>> all;
    for (auto const& [name, known] : this->endpoints) {
        if (!known.gone)
            all.emplace_back(name, level_of(known.slots));
    }
    return all;
}

} // namespace greengagehead::agent

// Logs every few seconds while no leader answers, and once when one answers again.

#include "entry/control_outage_logger.h"

#include <chrono>
#include <utility>

#include "base/log_record.h"

namespace greengagehead::entry {

namespace {

using base::log_event;
using base::log_record;

/// An entry renews its lease every 300 ms, and a leader is elected within a second.
constexpr std::chrono::milliseconds outage_threshold {1000};
constexpr std::chrono::milliseconds log_interval {2000};

} // namespace

void control_outage_logger::record_answer(std::string const& peer, base::steady_time now)
{
    this->last_answer = now;
    if (std::exchange(this->outage_logged, false))
        log_record(log_event::control_regained).with("leader", peer);
}

void control_outage_logger::tick(std::string const& target_member,
                                 std::vector<std::string> const& members, base::steady_time now)
{
    if (this->last_answer == base::steady_time {})
        this->last_answer = now;
    if (now - this->last_answer >= outage_threshold && now >= this->next_log_time)
        this->log_lost(target_member, members, now);
}

void control_outage_logger::log_lost(std::string const& target_member,
                                     std::vector<std::string> const& members, base::steady_time now)
{
    this->next_log_time = now + log_interval;
    this->outage_logged = true;
    std::string all;
    std::string linked;
    for (auto const& member : members) {
        all += (all.empty() ? "" : " ") + member;
        if (this->links.contains(member))
            linked += (linked.empty() ? "" : " ") + member;
    }
    auto const outage
        = std::chrono::duration_cast<std::chrono::milliseconds>(now - this->last_answer);
    log_record(log_event::control_lost)
        .with("ms", outage.count())
        .with("asked", target_member)
        .with("linked", linked)
        .with("known", all);
}

} // namespace greengagehead::entry

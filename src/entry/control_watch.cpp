// One line every few seconds while no leader answers, and one when it answers again.

#include "entry/control_watch.h"

#include <chrono>
#include <utility>

#include "base/log_record.h"

namespace greengagehead::entry {

namespace {

using base::log_event;
using base::log_record;

/// An entry renews its lease every 300 ms, and a leader is elected within a second.
constexpr std::chrono::milliseconds answer_allowance {1000};
constexpr std::chrono::milliseconds line_interval {2000};

} // namespace

void control_watch::answered(std::string const& peer, base::steady_time now)
{
    this->last_answer = now;
    if (std::exchange(this->lost, false))
        log_record(log_event::control_regained).with("leader", peer);
}

void control_watch::tick(std::string const& asked, std::vector<std::string> const& known,
                         base::steady_time now)
{
    if (this->last_answer == base::steady_time {})
        this->last_answer = now;
    if (now - this->last_answer >= answer_allowance && now >= this->next_line)
        this->log_lost(asked, known, now);
}

void control_watch::log_lost(std::string const& asked, std::vector<std::string> const& known,
                             base::steady_time now)
{
    this->next_line = now + line_interval;
    this->lost = true;
    std::string all;
    std::string linked;
    for (auto const& member : known) {
        all += (all.empty() ? "" : " ") + member;
        if (this->links.contains(member))
            linked += (linked.empty() ? "" : " ") + member;
    }
    auto const missing
        = std::chrono::duration_cast<std::chrono::milliseconds>(now - this->last_answer);
    log_record(log_event::control_lost)
        .with("ms", missing.count())
        .with("asked", asked)
        .with("linked", linked)
        .with("known", all);
}

} // namespace greengagehead::entry

// Order, bound and ends of held requests.

#include "entry/held_requests.h"

#include <chrono>
#include <utility>
#include <vector>

#include "base/log_record.h"
#include "entry/entry_core.h"

namespace greengagehead::entry {

namespace {

/// Requests that are tried in one call of `tick`, which bounds its run time.
constexpr std::size_t max_resume_attempts = 64;
constexpr std::chrono::milliseconds log_interval {1000};

std::uint64_t ends_of(entry_counters const& counters)
{
    return counters.held_requests_resumed + counters.held_requests_expired
        + counters.held_requests_left + counters.held_requests_shut_down;
}

} // namespace

held_requests::held_requests(policy::recovery_hold_limits initial_limits,
                             entry_counters& entry_counts)
    : limits(initial_limits), policy(initial_limits, {}), counters(entry_counts)
{
}

void held_requests::set_started(base::steady_time now)
{
    this->policy = policy::recovery_hold(this->limits, now);
}

bool held_requests::recovering(base::steady_time now) const
{
    return !this->closed && this->policy.recovering(now);
}

bool held_requests::hold(held_request& request, base::steady_time now)
{
    if (this->closed)
        return false;
    auto const decision = this->policy.decide(request.needs, this->bytes_held, now);
    if (decision.verdict == policy::hold_verdict::no_memory)
        ++this->counters.hold_overflows;
    if (decision.verdict == policy::hold_verdict::too_little_time)
        ++this->counters.hold_time_refusals;
    if (decision.verdict != policy::hold_verdict::hold)
        return false;
    ++this->counters.requests_held;
    this->bytes_held += request.needs.bytes;
    key const position {request.needs.deadline, ++this->last_number};
    this->items.emplace(position, item {std::move(request), decision.until});
    return true;
}

held_requests::item_map::node_type held_requests::take(item_map::iterator position)
{
    this->bytes_held -= position->second.request.needs.bytes;
    return this->items.extract(position);
}

void held_requests::put_back(item_map::node_type node)
{
    this->bytes_held += node.mapped().request.needs.bytes;
    this->items.insert(std::move(node));
}

bool held_requests::proceed(item& waiting, bool may_resume, base::steady_time now)
{
    auto const& request = waiting.request;
    if (request.has_left()) {
        ++this->counters.held_requests_left;
        request.end(hold_end::caller_left, now);
        return true;
    }
    if (may_resume && request.try_resume(now)) {
        ++this->counters.held_requests_resumed;
        return true;
    }
    if (now < waiting.until)
        return false;
    ++this->counters.held_requests_expired;
    request.end(hold_end::expired, now);
    return true;
}

void held_requests::tick(bool complete, base::steady_time now)
{
    this->policy.record_state(complete, now);
    std::vector<key> present;
    present.reserve(this->items.size());
    for (auto const& [position, waiting] : this->items)
        present.push_back(position);
    std::size_t attempts = 0;
    for (auto const& position : present) {
        // A callback may have closed the table.
        auto const found = this->items.find(position);
        if (found == this->items.end())
            break;
        auto node = this->take(found);
        if (!this->proceed(node.mapped(), ++attempts <= max_resume_attempts, now))
            this->put_back(std::move(node));
    }
    this->log(now);
}

void held_requests::close(base::steady_time now)
{
    this->closed = true;
    while (!this->items.empty()) {
        auto const node = this->take(this->items.begin());
        ++this->counters.held_requests_shut_down;
        node.mapped().request.end(hold_end::shutting_down, now);
    }
}

void held_requests::log(base::steady_time now)
{
    if (now < this->next_log)
        return;
    auto const ends = ends_of(this->counters);
    if (this->counters.requests_held != this->logged_holds || ends != this->logged_ends) {
        this->next_log = now + log_interval;
        base::log_record(base::log_event::requests_held)
            .with("waiting", this->items.size())
            .with("bytes", this->bytes_held)
            .with("held", this->counters.requests_held)
            .with("resumed", this->counters.held_requests_resumed)
            .with("expired", this->counters.held_requests_expired)
            .with("left", this->counters.held_requests_left);
    }
    if (this->counters.hold_overflows != this->logged_overflows) {
        this->next_log = now + log_interval;
        base::log_record(base::log_event::hold_memory_exhausted)
            .with("refused", this->counters.hold_overflows - this->logged_overflows)
            .with("bytes", this->bytes_held)
            .with("limit", this->limits.max_bytes);
    }
    this->logged_holds = this->counters.requests_held;
    this->logged_ends = ends;
    this->logged_overflows = this->counters.hold_overflows;
}

} // namespace greengagehead::entry

// Queries about jobs that may have gone to another entry.

#include "policy/start_confirmations.h"

#include <algorithm>
#include <utility>

#include "policy/remote_submissions.h"

namespace greengagehead::policy {

static_assert(confirmation_validity < longest_run_end);

bool start_confirmations::may_start(job_number job, steady_time sent, steady_time now)
{
    if (now < sent + caller_return_delay)
        return true;
    if (auto const found = this->confirmed.find(job);
        found != this->confirmed.end() && now < found->second)
        return true;
    this->waiting.try_emplace(job, waiting_job {now, now, 0, {}, {}});
    return false;
}

std::vector<start_confirmations::job_number> start_confirmations::take_due(steady_time now)
{
    if (this->waiting.empty())
        return {};
    if (now >= this->interval_end) {
        this->interval_end = now + confirmation_interval;
        this->asked_in_interval = 0;
    }
    std::vector<job_number> due;
    for (auto const& [job, item] : this->waiting) {
        if (item.next_query <= now)
            due.push_back(job);
    }
    std::sort(due.begin(), due.end(), [this](auto const a, auto const b) {
        return std::pair(this->waiting.at(a).since, a) < std::pair(this->waiting.at(b).since, b);
    });
    due.resize(std::min(due.size(), max_jobs_asked - this->asked_in_interval));
    this->asked_in_interval += due.size();
    return due;
}

void start_confirmations::begin_query(job_number job, std::uint64_t id,
                                      std::set<std::string> entries, steady_time now)
{
    auto const found = this->waiting.find(job);
    if (found == this->waiting.end())
        return;
    auto& item = found->second;
    this->queries.erase(item.query);
    this->queries[id] = job;
    item.query = id;
    item.asked = now;
    item.next_query = now + confirmation_timeout;
    item.unanswered = std::move(entries);
}

bool start_confirmations::contains(std::uint64_t id) const
{
    return this->queries.contains(id);
}

std::optional<start_confirmations::job_number>
start_confirmations::record_reply(std::string const& entry, std::uint64_t id, bool running)
{
    auto const query = this->queries.find(id);
    if (query == this->queries.end())
        return std::nullopt;
    auto const job = query->second;
    auto& item = this->waiting.at(job);
    if (item.unanswered.erase(entry) == 0)
        return std::nullopt;
    if (running) {
        this->queries.erase(query);
        item.query = 0;
        item.next_query = item.asked + confirmation_interval;
        return std::nullopt;
    }
    if (!item.unanswered.empty())
        return std::nullopt;
    this->confirmed[job] = item.asked + confirmation_validity;
    this->forget(job);
    return job;
}

void start_confirmations::forget(job_number job)
{
    auto const found = this->waiting.find(job);
    if (found == this->waiting.end())
        return;
    this->queries.erase(found->second.query);
    this->waiting.erase(found);
}

std::vector<start_confirmations::job_number> start_confirmations::take_expired(steady_time now)
{
    std::vector<job_number> jobs;
    for (auto const& [job, item] : this->waiting) {
        if (now >= item.since + confirmation_limit)
            jobs.push_back(job);
    }
    for (auto const job : jobs)
        this->forget(job);
    return jobs;
}

void start_confirmations::expire(steady_time now)
{
    std::erase_if(this->confirmed, [now](auto const& item) { return item.second <= now; });
}

} // namespace greengagehead::policy

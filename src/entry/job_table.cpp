// Storage and eviction of jobs.

#include "entry/job_table.h"

namespace greengagehead::entry {

namespace {

constexpr std::size_t bytes_per_task = 100;

std::size_t size_of(job const& job)
{
    auto bytes = sizeof(job) + job.decisions.size() * (sizeof(decision) + 32);
    for (auto const& task : job.answer.tasks)
        bytes += bytes_per_task + task.result.size();
    return bytes;
}

} // namespace

job_table::job_table(std::size_t limit_bytes) : retained_limit(limit_bytes) { }

job& job_table::add(std::string const& id)
{
    auto added = std::make_unique<job>();
    added->number = ++this->last_number;
    added->id = id;
    auto& reference = *added;
    this->by_id[id] = added.get();
    this->jobs.emplace(reference.number, std::move(added));
    this->record_started();
    return reference;
}

job* job_table::find(std::string const& id)
{
    auto const found = this->by_id.find(id);
    return found == this->by_id.end() ? nullptr : found->second;
}

job const* job_table::find(std::string const& id) const
{
    auto const found = this->by_id.find(id);
    return found == this->by_id.end() ? nullptr : found->second;
}

job* job_table::find(std::uint64_t number)
{
    auto const found = this->jobs.find(number);
    return found == this->jobs.end() ? nullptr : found->second.get();
}

void job_table::remove(job& job)
{
    auto const number = job.number;
    this->by_id.erase(job.id);
    this->jobs.erase(number);
}

void job_table::retain_finished(job& job, base::steady_time now)
{
    auto const bytes = size_of(job);
    this->finished.push_back({job.number, bytes, now});
    this->retained_bytes += bytes;
    while (this->retained_bytes > this->retained_limit && this->finished.size() > 1)
        this->evict_oldest();
}

void job_table::expire_before(base::steady_time time)
{
    while (!this->finished.empty() && this->finished.front().finished_at < time)
        this->evict_oldest();
}

void job_table::evict_oldest()
{
    auto const oldest = this->finished.front();
    this->finished.pop_front();
    this->retained_bytes -= oldest.bytes;
    if (auto* job = this->find(oldest.number))
        this->remove(*job);
}

} // namespace greengagehead::entry

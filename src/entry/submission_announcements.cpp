// Collects, describes and sends the announcements of submissions.

#include "entry/submission_announcements.h"

#include <chrono>
#include <utility>

#include "entry/entry_components.h"
#include "entry/entry_links.h"
#include "policy/remote_submissions.h"

namespace greengagehead::entry {

namespace {

using std::chrono::milliseconds;

} // namespace

submission_announcements::submission_announcements(entry_components& shared,
                                                   entry_links const& others)
    : components(shared), links(others)
{
}

void submission_announcements::record_admitted(job const& job)
{
    this->jobs_by_key[job.key] = job.number;
}

job* submission_announcements::find_job(std::string const& key) const
{
    auto const found = this->jobs_by_key.find(key);
    return found == this->jobs_by_key.end() ? nullptr : this->components.jobs.find(found->second);
}

void submission_announcements::announce(job const& job)
{
    this->unannounced.push_back(job.number);
}

void submission_announcements::tick(base::steady_time now)
{
    if (this->unannounced.empty() || now < this->next_announcement)
        return;
    this->next_announcement = now + policy::announcement_interval;
    auto const numbers = std::exchange(this->unannounced, {});
    this->announce_jobs(numbers, now);
}

void submission_announcements::expire()
{
    std::erase_if(this->jobs_by_key, [this](auto const& item) {
        return this->components.jobs.find(item.second) == nullptr;
    });
}

protocol::submissions_running
submission_announcements::describe_jobs(std::vector<std::uint64_t> const& numbers,
                                        base::steady_time now) const
{
    protocol::submissions_running message {this->components.settings.id, {}, false};
    for (auto const number : numbers) {
        auto const* const job = this->components.jobs.find(number);
        if (job == nullptr)
            continue;
        if (job->is_final() && job->unconfirmed.empty())
            continue;
        auto const end = job->is_final() ? now + policy::unconfirmed_announcement : job->deadline;
        if (end <= now)
            continue;
        message.submissions.push_back({job->key,
                                       std::chrono::floor<milliseconds>(now - job->submitted),
                                       std::chrono::ceil<milliseconds>(end - now), false});
    }
    return message;
}

protocol::submissions_running
submission_announcements::describe_older_jobs(base::steady_time now) const
{
    std::vector<std::uint64_t> numbers;
    for (auto const& [number, job] : this->components.jobs.all()) {
        if (job->ephemeral && now - job->submitted >= policy::announcement_age)
            numbers.push_back(number);
    }
    return this->describe_jobs(numbers, now);
}

void submission_announcements::announce_jobs(std::vector<std::uint64_t> const& numbers,
                                             base::steady_time now) const
{
    this->send_to_all(this->describe_jobs(numbers, now));
}

void submission_announcements::announce_hold(
    protocol::submissions_running::submission const& held) const
{
    this->send_to_all({this->components.settings.id, {held}, false});
}

void submission_announcements::announce_start(std::string const& key, std::string const& job,
                                              base::steady_time now) const
{
    // A third entry may get the submission before the job has reached the age of announcements.
    auto const* const started = this->components.jobs.find(job);
    if (started != nullptr && !started->is_final())
        return this->announce_jobs({started->number}, now);
    this->announce_end(key);
}

void submission_announcements::announce_end(std::string const& key) const
{
    protocol::submissions_running::submission ended;
    ended.key = key;
    ended.held = true;
    this->send_to_all({this->components.settings.id, {ended}, false});
}

void submission_announcements::send_to_all(protocol::submissions_running const& message) const
{
    if (!message.submissions.empty())
        this->links.send_to_others(message);
}

} // namespace greengagehead::entry

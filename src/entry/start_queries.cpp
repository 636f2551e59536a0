// Asks the other entries for jobs that are to start, and answers such queries.

#include "entry/start_queries.h"

#include "entry/entry_components.h"
#include "entry/entry_links.h"
#include "entry/job_id.h"
#include "entry/submission_announcements.h"

namespace greengagehead::entry {

start_queries::start_queries(entry_components& shared, entry_links const& others,
                             submission_announcements const& sent)
    : components(shared), links(others), announcements(sent)
{
}

bool start_queries::may_start(job const& job, base::steady_time now)
{
    return !job.ephemeral || this->links.alone()
        || this->confirmations.may_start(job.number, job.earliest_sent, now);
}

void start_queries::ask(base::steady_time now)
{
    for (auto const number : this->confirmations.take_expired(now))
        this->give_up(number, now);
    auto const due = this->take_due_jobs(now);
    if (due.empty())
        return;
    // The others hold the jobs from now on, so that their answers stay true for a while.
    this->announcements.announce_jobs(due, now);
    auto const others = this->links.others();
    for (auto const number : due) {
        auto const* const job = this->components.jobs.find(number);
        auto const id = this->components.remote.allocate_id();
        this->confirmations.begin_query(number, id, others, now);
        for (auto const& entry : others)
            this->components.sender.send(
                entry, protocol::job_query {id, submission_id(job->key), false, {}});
    }
}

std::vector<std::uint64_t> start_queries::take_due_jobs(base::steady_time now)
{
    std::vector<std::uint64_t> due;
    for (auto const number : this->confirmations.take_due(now)) {
        auto const* const job = this->components.jobs.find(number);
        if (job != nullptr && job->phase == job_phase::running)
            due.push_back(number);
        else
            this->confirmations.forget(number);
    }
    return due;
}

bool start_queries::on_reply(std::string const& peer, protocol::job_reply const& reply)
{
    if (!this->confirmations.contains(reply.query_id))
        return false;
    auto const confirmed
        = this->confirmations.record_reply(peer, reply.query_id, reply.answer.has_value());
    auto* const job = confirmed ? this->components.jobs.find(*confirmed) : nullptr;
    if (job != nullptr && job->phase == job_phase::running)
        this->components.lifecycle.enqueue_waiting(*job);
    return true;
}

void start_queries::give_up(std::uint64_t number, base::steady_time now)
{
    auto* const job = this->components.jobs.find(number);
    if (job == nullptr || job->phase != job_phase::running)
        return;
    if (job->nothing_started())
        return this->components.lifecycle.refuse_unstarted(*job, now);
    this->components.lifecycle.fail(*job,
                                    {base::error_code::unavailable,
                                     base::error_step::placement,
                                     {},
                                     "not all entries have answered whether they run the job"},
                                    now);
}

bool start_queries::on_query(std::string const& peer, protocol::job_query const& query,
                             base::steady_time now)
{
    auto const key = key_of_submission(query.job);
    if (!key)
        return false;
    protocol::job_reply reply;
    reply.query_id = query.query_id;
    auto const* const job = this->announcements.find_job(*key);
    if (this->may_run(*key, job)) {
        // The entry that asks stops its job when this one is the later one.
        auto const running = job != nullptr ? this->announcements.describe_jobs({job->number}, now)
                                            : protocol::submissions_running {};
        if (!running.submissions.empty())
            this->components.sender.send(peer, running);
        reply.answer.emplace();
        reply.answer->job = query.job;
        reply.answer->ran = protocol::ran_extent::unknown;
    }
    this->components.sender.send(peer, reply);
    return true;
}

bool start_queries::may_run(std::string const& key, job const* job) const
{
    return this->components.submission_consent.contains(key)
        || (job != nullptr && (!job->is_final() || !job->unconfirmed.empty()));
}

} // namespace greengagehead::entry

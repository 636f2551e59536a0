// Records of attempts by job, their retention and the memory budget.

#include "agent/outcome_store.h"

#include <algorithm>
#include <utility>

#include "base/log_record.h"

namespace greengagehead::agent {

namespace {

using protocol::outcome_kind;

/// Jobs examined per call of `expire`. At 100 calls per second, 100,000 jobs take 4 s.
constexpr std::size_t sweep_jobs = 256;

/// Memory of a finished attempt in addition to its texts: details, record, and map keys.
constexpr std::size_t overhead_bytes = sizeof(attempt_details) + 400;

std::size_t size_of(attempt_details const& details)
{
    return overhead_bytes + details.endpoint.size() + details.url.size() + details.owner.size()
        + details.result.size() + details.message.size();
}

attempt_key make_key(std::string const& job, attempt_record const& record)
{
    return {{job, record.index}, record.epoch, record.attempt};
}

} // namespace

attempt_record* outcome_store::find(attempt_key const& key)
{
    auto* const job = this->restore_job(key.task.job);
    if (job == nullptr)
        return nullptr;
    for (auto& record : job->attempts) {
        if (record.index == key.task.index && record.attempt == key.attempt
            && record.epoch == key.epoch)
            return &record;
    }
    return nullptr;
}

attempt_record* outcome_store::find_blocking_run(protocol::task_ref const& task, bool idempotent)
{
    auto* const job = this->restore_job(task.job);
    if (job == nullptr)
        return nullptr;
    for (auto& record : job->attempts) {
        bool const blocks_start = !idempotent || !record.idempotent;
        if (record.index == task.index && blocks_start && record.kind != outcome_kind::not_run
            && record.phase != attempt_phase::attached)
            return &record;
    }
    return nullptr;
}

std::vector<attempt_key> outcome_store::attempts_of(std::string const& job)
{
    std::vector<attempt_key> keys;
    auto const* const found = this->restore_job(job);
    if (found == nullptr)
        return keys;
    for (auto const& record : found->attempts)
        keys.push_back(make_key(job, record));
    return keys;
}

outcome_store::job_record* outcome_store::restore_job(std::string const& job)
{
    auto restored = this->archived.take(job);
    for (auto& record : restored) {
        record.sequence = this->next_sequence++;
        this->jobs[job].attempts.push_back(std::move(record));
    }
    auto const found = this->jobs.find(job);
    return found == this->jobs.end() ? nullptr : &found->second;
}

void outcome_store::archive(std::string const& job, job_record& record)
{
    if (record.fence != 0)
        return;
    std::erase_if(record.attempts, [this, &job](attempt_record const& attempt) {
        if (!run_archive::accepts(job, attempt))
            return false;
        this->archived.put(job, attempt);
        return true;
    });
}

attempt_record& outcome_store::add(attempt_key const& key, bool idempotent)
{
    auto& record = this->jobs[key.task.job].attempts.emplace_back();
    record.index = key.task.index;
    record.attempt = key.attempt;
    record.epoch = key.epoch;
    record.phase = attempt_phase::waiting;
    record.idempotent = idempotent;
    record.details = std::make_unique<attempt_details>();
    ++this->unfinished_count;
    return record;
}

void outcome_store::finish(attempt_key const& key, outcome_kind kind, std::string result,
                           std::string message, base::steady_time now)
{
    auto* const record = this->find(key);
    if (record == nullptr || record->phase == attempt_phase::finished)
        return;
    record->phase = attempt_phase::finished;
    record->kind = kind;
    record->finished_at = now;
    record->sequence = this->next_sequence++;
    record->details->result = std::move(result);
    record->details->message = std::move(message);
    record->details->request.reset();
    --this->unfinished_count;
    ++this->unacknowledged_count;
    this->used_bytes += size_of(*record->details);
    this->unacknowledged_details.emplace(record->sequence, key);
    this->enforce_budget();
}

void outcome_store::acknowledge(attempt_key const& key)
{
    auto* const record = this->find(key);
    if (record == nullptr || record->phase != attempt_phase::finished || record->acknowledged)
        return;
    record->acknowledged = true;
    --this->unacknowledged_count;
    this->unacknowledged_details.erase(record->sequence);
    this->acknowledged_details.emplace(record->sequence, key);
    if (record->kind == outcome_kind::not_run)
        this->drop_details(*record);
}

void outcome_store::reopen(attempt_key const& key, std::string const& owner)
{
    auto* const record = this->find(key);
    if (record == nullptr || !record->acknowledged)
        return;
    if (!record->details) {
        record->details = std::make_unique<attempt_details>();
        record->details->message = "the details of the outcome are no longer stored";
        // Without its result, a success is of no use to the owner, who must not take it for one.
        if (record->kind == outcome_kind::succeeded)
            record->kind = outcome_kind::unknown;
        this->used_bytes += size_of(*record->details);
    }
    record->acknowledged = false;
    ++this->unacknowledged_count;
    this->acknowledged_details.erase(record->sequence);
    this->unacknowledged_details.emplace(record->sequence, key);
    this->set_owner(key, owner);
}

void outcome_store::set_owner(attempt_key const& key, std::string const& owner)
{
    auto* const record = this->find(key);
    if (record == nullptr || !record->details)
        return;
    bool const counted = record->phase == attempt_phase::finished;
    this->used_bytes -= counted ? size_of(*record->details) : 0;
    record->details->owner = owner;
    this->used_bytes += counted ? size_of(*record->details) : 0;
}

protocol::job_epoch outcome_store::fence(std::string const& job) const
{
    auto const found = this->jobs.find(job);
    return found == this->jobs.end() ? 0 : found->second.fence;
}

void outcome_store::raise_fence(std::string const& job, protocol::job_epoch epoch,
                                base::steady_time now)
{
    // Epoch 1 has no previous owner to fence off.
    if (epoch <= 1)
        return;
    auto& record = this->jobs[job];
    record.fence = std::max(record.fence, epoch);
    record.fenced_at = now;
}

void outcome_store::expire(base::steady_time now)
{
    auto job = this->jobs.lower_bound(this->sweep_position);
    for (std::size_t examined = 0; examined < sweep_jobs && job != this->jobs.end(); ++examined) {
        auto& record = job->second;
        std::erase_if(record.attempts, [this, now](attempt_record const& attempt) {
            if (!this->expired(attempt, now))
                return false;
            this->untrack(attempt);
            return true;
        });
        this->archive(job->first, record);
        bool const fence_expired
            = record.fence == 0 || record.fenced_at + this->limits.outcome < now;
        job = record.attempts.empty() && fence_expired ? this->jobs.erase(job) : std::next(job);
    }
    this->archived.expire(now - this->limits.outcome);
    this->sweep_position = job == this->jobs.end() ? std::string() : job->first;
}

protocol::task_outcome outcome_store::outcome(attempt_key const& key)
{
    protocol::task_outcome answer;
    answer.task = key.task;
    answer.attempt = key.attempt;
    answer.epoch = key.epoch;
    auto const* const record = this->find(key);
    if (record == nullptr)
        return answer;
    answer.kind = record->kind;
    if (record->details) {
        answer.endpoint = record->details->endpoint;
        answer.result = record->details->result;
        answer.message = record->details->message;
        answer.run_time = record->details->run_time;
    } else if (record->kind == outcome_kind::succeeded) {
        answer.kind = outcome_kind::unknown;
        answer.message = "the task succeeded, but its result is no longer stored";
    }
    return answer;
}

std::size_t outcome_store::result_bytes(attempt_key const& key)
{
    auto const* const record = this->find(key);
    return record == nullptr || !record->details ? 0 : record->details->result.size();
}

void outcome_store::enforce_budget()
{
    while (this->used_bytes > this->limits.bytes && !this->acknowledged_details.empty()) {
        auto* const oldest = this->find(this->acknowledged_details.begin()->second);
        this->drop_details(*oldest);
    }
    // Unacknowledged results are dropped last. Their owner still gets an outcome.
    for (auto item = this->unacknowledged_details.begin();
         this->used_bytes > this->limits.bytes && item != this->unacknowledged_details.end();
         ++item) {
        auto* const record = this->find(item->second);
        if (record->kind != outcome_kind::succeeded)
            continue;
        this->used_bytes -= size_of(*record->details);
        record->kind = outcome_kind::unknown;
        record->details->result = std::string();
        record->details->message = "the task succeeded, but its result was dropped to save memory";
        this->used_bytes += size_of(*record->details);
        base::log_record(base::log_event::result_dropped)
            .with("job", item->second.task.job)
            .with("task", record->index)
            .with("attempt", record->attempt);
    }
}

void outcome_store::drop_details(attempt_record& record)
{
    this->used_bytes -= size_of(*record.details);
    this->acknowledged_details.erase(record.sequence);
    record.details.reset();
}

bool outcome_store::expired(attempt_record const& record, base::steady_time now) const
{
    if (record.phase != attempt_phase::finished)
        return false;
    bool const keep_as_outcome
        = record.details || (!record.idempotent && record.kind != outcome_kind::not_run);
    return record.finished_at + (keep_as_outcome ? this->limits.outcome : this->limits.refusal)
        < now;
}

void outcome_store::untrack(attempt_record const& record)
{
    if (!record.acknowledged)
        --this->unacknowledged_count;
    this->unacknowledged_details.erase(record.sequence);
    this->acknowledged_details.erase(record.sequence);
    if (record.details)
        this->used_bytes -= size_of(*record.details);
}

} // namespace greengagehead::agent

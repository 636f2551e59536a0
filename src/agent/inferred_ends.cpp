// Logs ends that were concluded, and those that turn out to have come too early.

#include "agent/inferred_ends.h"

#include <string_view>

#include "base/log_record.h"

namespace greengagehead::agent {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

/// Logged as `stop_ms` when no stop was sent.
constexpr std::int64_t no_stop = -1;

std::string_view text_of(end_proof proof)
{
    static constexpr std::string_view texts[]
        = {"start refused", "lease expired", "later incarnation"};
    return texts[static_cast<std::size_t>(proof)];
}

std::string_view text_of(run_end_reason reason)
{
    static constexpr std::string_view texts[]
        = {"done", "failed", "stopped", "lease expired", "gang member ended"};
    return texts[static_cast<std::size_t>(reason)];
}

} // namespace

void inferred_ends::record(inferred_end const& end, std::string const& worker,
                           base::steady_time now)
{
    std::int64_t const since_stop
        = end.first_stop ? duration_cast<milliseconds>(now - *end.first_stop).count() : no_stop;
    base::log_record(base::log_event::run_end_inferred)
        .with("task", end.run.task)
        .with("run", end.run.number)
        .with("worker", worker)
        .with("proof", text_of(end.proof))
        .with("reports", end.missing_reports)
        .with("stop_ms", since_stop);
    ++this->counts.at(static_cast<std::size_t>(end.proof));
    this->recent.push_back({end.run, end.proof, now});
    if (this->recent.size() > max_recent)
        this->recent.pop_front();
    if (this->ends.size() > max_ends)
        this->ends.clear();
    this->ends[{end.run.task, end.run.number}] = now;
}

void inferred_ends::check(ended_run const& listed, std::string const& worker, base::steady_time now)
{
    auto const found = this->ends.find({listed.run.task, listed.run.number});
    if (found == this->ends.end())
        return;
    base::log_record(base::log_event::end_after_outcome)
        .with("task", listed.run.task)
        .with("run", listed.run.number)
        .with("worker", worker)
        .with("end", text_of(listed.reason))
        .with("ms", duration_cast<milliseconds>(now - found->second).count());
    this->ends.erase(found);
    ++this->listed_afterwards;
}

void inferred_ends::log_summary(base::steady_time now) const
{
    if (this->recent.empty())
        return;
    auto const count
        = [this](end_proof proof) { return this->counts.at(static_cast<std::size_t>(proof)); };
    base::log_record(base::log_event::inferred_ends_counted)
        .with("start_refused", count(end_proof::start_refused))
        .with("lease_expired", count(end_proof::lease_expired))
        .with("later_incarnation", count(end_proof::later_incarnation))
        .with("listed_afterwards", this->listed_afterwards);
    for (auto const& end : this->recent)
        base::log_record(base::log_event::inferred_end_recalled)
            .with("task", end.run.task)
            .with("run", end.run.number)
            .with("proof", text_of(end.proof))
            .with("ms", duration_cast<milliseconds>(now - end.inferred_at).count());
}

void inferred_ends::forget(worker_run const& run)
{
    this->ends.erase({run.task, run.number});
}

} // namespace greengagehead::agent

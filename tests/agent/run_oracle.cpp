// The rules of the oracle.

#include "agent/run_oracle.h"

#include <algorithm>

namespace greengagehead::agent::fakes {

namespace {

using protocol::outcome_kind;

std::string key_of_entry(protocol::process_id const& entry)
{
    return entry.name + "/" + std::to_string(entry.incarnation);
}

std::string key_of_run(worker_run const& run)
{
    return run.task + "/" + std::to_string(run.number);
}

std::string_view text_of(run_end_reason reason)
{
    static constexpr std::string_view texts[]
        = {"done", "failed", "stopped", "lease_expired", "gang_member_ended"};
    return texts[static_cast<std::size_t>(reason)];
}

std::string_view text_of(outcome_kind kind)
{
    static constexpr std::string_view texts[]
        = {"running", "succeeded", "failed", "not_run", "unknown", "cancelled"};
    return texts[static_cast<std::size_t>(kind)];
}

} // namespace

std::string run_oracle::name_of(protocol::attempt_ref const& attempt)
{
    return attempt.task.job + "." + std::to_string(attempt.task.index) + "/"
        + std::to_string(attempt.attempt);
}

void run_oracle::violate(std::string const& text)
{
    this->world.note("VIOLATION " + text);
    this->violations.push_back("at " + std::to_string(this->world.elapsed().count())
                               + " ms: " + text);
}

void run_oracle::on_stamp_sent(protocol::process_id const& entry)
{
    this->last_stamp[key_of_entry(entry)] = this->world.now;
}

void run_oracle::on_attempt_sent(protocol::attempt_ref const& attempt,
                                 protocol::process_id const& entry)
{
    this->world.note(entry.name + " sends " + name_of(attempt));
    this->attempts[name_of(attempt)] = {entry, this->world.now, false, false, {}};
}

void run_oracle::on_cancel(protocol::attempt_ref const& attempt)
{
    auto const found = this->attempts.find(name_of(attempt));
    if (found != this->attempts.end())
        found->second.cancelled = true;
}

void run_oracle::on_outcome(protocol::task_outcome const& outcome)
{
    protocol::attempt_ref const attempt {outcome.task, outcome.attempt};
    auto const found = this->attempts.find(name_of(attempt));
    if (found == this->attempts.end())
        return this->violate("(a) an outcome of an unknown attempt, " + name_of(attempt));
    auto const& state = found->second;
    auto const text
        = "outcome " + std::string(text_of(outcome.kind)) + " (" + outcome.message + ")";
    bool const needless = !state.closed && !state.cancelled && this->all_calm_since(state.sent);
    if (outcome.kind != outcome_kind::succeeded && needless)
        this->violate("(d) without a trouble, " + name_of(attempt) + " has the " + text);
    if (!state.closed)
        this->world.note("agent sends " + name_of(attempt) + ", " + text);
    found->second.has_outcome = true;
    this->close(attempt, text);
}

void run_oracle::on_given_up(protocol::attempt_ref const& attempt, std::string const& reason)
{
    this->world.note("entry gives up " + name_of(attempt) + ": " + reason);
    this->close(attempt, "given up by its entry: " + reason);
}

void run_oracle::close(protocol::attempt_ref const& attempt, std::string const& reason)
{
    auto& state = this->attempts.at(name_of(attempt));
    if (!state.closed)
        state.closed = reason;
}

void run_oracle::on_run_started(model_run const& run, bool exempt)
{
    ++this->runs;
    this->world.note("worker starts " + run.run.task + " run " + std::to_string(run.run.number)
                     + " of " + name_of(run.attempt) + (exempt ? ", for a former life" : ""));
    bool const first = this->met_runs.insert(key_of_run(run.run)).second;
    // The agent could have waited until the start cannot be carried out any more.
    bool const avoidable = first && this->attempts.at(name_of(run.attempt)).has_outcome;
    this->present[run.run.task] = {run, this->world.now, exempt && !avoidable, {}, false, false};
}

void run_oracle::on_stop_accepted(worker_run const& run)
{
    this->met_runs.insert(key_of_run(run));
}

void run_oracle::on_run_ended(model_run const& run, run_end_reason reason)
{
    this->world.note("worker ends " + run.run.task + " run " + std::to_string(run.run.number) + ": "
                     + std::string(text_of(reason)));
    auto const found = this->present.find(run.run.task);
    if (found == this->present.end())
        return;
    auto const ended = found->second;
    this->present.erase(found);
    this->runs_done += reason == run_end_reason::done ? 1 : 0;
    auto const& state = this->attempts.at(name_of(run.attempt));
    if (reason != run_end_reason::done && !state.cancelled && !state.closed && !ended.exempt
        && this->calm_since(ended.started, state.entry.name))
        this->violate("(d) without a trouble, the run of " + name_of(run.attempt)
                      + " ended: " + std::string(text_of(reason)));
}

void run_oracle::on_list_received(std::vector<listed_run> const& listed)
{
    for (auto const& row : listed) {
        auto const found = this->present.find(row.run.task);
        if (found != this->present.end() && found->second.run.run == row.run
            && !found->second.listed)
            found->second.listed = this->world.now;
    }
}

void run_oracle::on_trouble(base::steady_time until)
{
    this->trouble_until = std::max(this->trouble_until, until);
}

void run_oracle::on_starts_refused(base::steady_time until)
{
    this->starts_refused_until = std::max(this->starts_refused_until, until);
}

void run_oracle::on_entry_trouble(std::string const& entry, base::steady_time until)
{
    auto& known = this->entry_trouble_until[entry];
    known = std::max(known, until);
}

base::steady_time run_oracle::last_trouble() const
{
    auto last = std::max(this->trouble_until, this->starts_refused_until);
    for (auto const& [entry, until] : this->entry_trouble_until)
        last = std::max(last, until);
    return last;
}

bool run_oracle::calm_since(base::steady_time time, std::string const& entry) const
{
    auto const of_entry = this->entry_trouble_until.find(entry);
    auto const last = of_entry == this->entry_trouble_until.end()
        ? this->trouble_until
        : std::max(this->trouble_until, of_entry->second);
    return last + trouble_aftermath <= time;
}

bool run_oracle::all_calm_since(base::steady_time time) const
{
    return this->last_trouble() + trouble_aftermath <= time;
}

std::string run_oracle::objection(present_run const& run) const
{
    auto const& state = this->attempts.at(name_of(run.run.attempt));
    if (state.closed)
        return "(a, c) " + *state.closed;
    auto const last = this->last_stamp.at(key_of_entry(state.entry));
    if (this->world.now > last + resubmission_delay)
        return "(b) the last stamp of its entry was sent "
            + std::to_string(
                   std::chrono::duration_cast<std::chrono::milliseconds>(this->world.now - last)
                       .count())
            + " ms ago";
    return {};
}

void run_oracle::check(bool machine_frozen)
{
    for (auto& [task, run] : this->present) {
        if (run.reported)
            continue;
        auto const reason = this->objection(run);
        if (reason.empty())
            continue;
        bool const late
            = run.exempt && (!run.listed || this->world.now <= *run.listed + longest_exempt_run);
        if (late || machine_frozen) {
            auto& count = late ? this->late_starts_exempted : this->frozen_runs_exempted;
            count += run.exemption_counted ? 0 : 1;
            run.exemption_counted = true;
            continue;
        }
        run.reported = true;
        this->violate("the run of " + name_of(run.run.attempt) + " is on the worker: " + reason);
    }
}

bool run_oracle::awaits_outcome(std::set<std::string> const& entries) const
{
    return std::any_of(this->attempts.begin(), this->attempts.end(), [&](auto const& each) {
        return !each.second.closed && entries.contains(key_of_entry(each.second.entry));
    });
}

void run_oracle::check_outcomes(std::set<std::string> const& entries)
{
    for (auto const& [name, state] : this->attempts) {
        if (!state.closed && entries.contains(key_of_entry(state.entry)))
            this->violate("(e) no outcome of " + name);
    }
}

} // namespace greengagehead::agent::fakes

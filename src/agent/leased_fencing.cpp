// What the runner does when the worker accepts or refuses its fencing token, and when nothing of a
// former process of the agent can run any more.

#include <utility>

#include "agent/leased_runner.h"
#include "base/log_record.h"

namespace greengagehead::agent {

void leased_runner::on_token_accepted()
{
    this->token.on_accepted();
    if (std::exchange(this->is_taken_over, true))
        return;
    // Until now another process may have granted leases.
    this->lease.on_taken_over(this->now());
    this->is_settled = false;
    this->quiet_since.reset();
    this->settled_after_report.reset();
}

void leased_runner::settle_by_report(std::uint64_t number, worker_report const& report)
{
    if (this->is_settled || !report.reply.clock)
        return;
    if (this->foreign.since()) {
        this->quiet_since.reset();
        this->settled_after_report.reset();
        return;
    }
    if (!this->quiet_since)
        this->quiet_since = report.reply.clock;
    if (*report.reply.clock < *this->quiet_since + this->limits.longest_stop_wait())
        return;
    // The report may have been made before its clock was read.
    if (!this->settled_after_report)
        this->settled_after_report = this->reports_sent;
    else if (number > *this->settled_after_report)
        this->settle("nothing runs");
}

void leased_runner::settle(std::string_view reason)
{
    this->is_settled = true;
    base::log_record(base::log_event::worker_settled).with("reason", reason);
}

void leased_runner::on_stale_fence(std::uint64_t sent)
{
    bool const before = this->available();
    switch (this->token.on_refused(sent, this->now())) {
    case fencing_token::refusal::former_token:
        return;
    case fencing_token::refusal::raised:
        return this->log_raised_fence();
    case fencing_token::refusal::superseded:
        break;
    }
    base::log_record(base::log_event::agent_superseded)
        .with("worker", this->identity.present().id)
        .with("fence", sent)
        .with("runs", this->runs.size());
    if (before)
        this->availability_changed.emit(false);
}

void leased_runner::resume_if_due()
{
    if (this->is_shutting_down || !this->token.resume(this->now()))
        return;
    this->log_raised_fence();
    this->is_taken_over = false;
    this->is_settled = false;
    this->quiet_since.reset();
    this->settled_after_report.reset();
    // Whoever has used the higher token may have extended the lease of the runs that this process
    // had.
    this->lease.on_resumed(this->now());
    this->restarted_after_report = this->reports_sent;
    // Reports decide about the runs that the process had, before the silence of the worker does.
    this->last_contact = this->now();
    this->next_report = this->now();
    if (this->available())
        this->availability_changed.emit(true);
}

void leased_runner::log_raised_fence() const
{
    base::log_record(base::log_event::fence_raised)
        .with("worker", this->identity.present().id)
        .with("fence", this->token.value());
}

} // namespace greengagehead::agent

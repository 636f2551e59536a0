// What the runner does when the worker refuses its fencing token.

#include "agent/leased_runner.h"
#include "base/log_record.h"

namespace greengagehead::agent {

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
        .with("worker", this->incarnation.id)
        .with("fence", sent)
        .with("runs", this->runs.size());
    if (before)
        this->availability_changed.emit(false);
}

void leased_runner::resume_if_due()
{
    if (!this->token.resume(this->now()))
        return;
    this->log_raised_fence();
    // Reports decide about the runs that the process had, before the silence of the worker does.
    this->last_contact = this->now();
    this->next_report = this->now();
    if (this->available())
        this->availability_changed.emit(true);
}

void leased_runner::log_raised_fence() const
{
    base::log_record(base::log_event::fence_raised)
        .with("worker", this->incarnation.id)
        .with("fence", this->token.value());
}

} // namespace greengagehead::agent

// When a refused fencing token is raised, and when it shows that another process has taken over.

#include "agent/fencing_token.h"

#include <algorithm>

namespace greengagehead::agent {

fencing_token::fencing_token(std::uint64_t initial_token, base::steady_time now)
    : initial(initial_token), began(now), present(initial_token), raise_before(now + raising_time)
{
}

void fencing_token::on_accepted()
{
    this->accepted = true;
    this->next_step = first_step;
}

fencing_token::refusal fencing_token::on_refused(std::uint64_t sent, base::steady_time now)
{
    // The token was raised once for all calls that were in flight with the former one.
    if (sent != this->present || this->superseded())
        return refusal::former_token;
    if (!this->accepted && now < this->raise_before) {
        this->raise();
        return refusal::raised;
    }
    this->supersede(now);
    return refusal::superseded;
}

void fencing_token::supersede(base::steady_time now)
{
    bool const stable = !this->resumed_at
        || now - *this->resumed_at >= std::max<base::steady_time::duration>(
               stable_time, stable_delays * this->resume_delay);
    this->resume_delay = stable
        ? this->first_resume_delay()
        : std::min<base::steady_time::duration>(this->resume_delay * 2, longest_resume_delay);
    this->superseded_at = now;
    this->announced_since = now;
    this->last_announced = now;
}

base::steady_time::duration fencing_token::first_resume_delay() const
{
    return std::max<base::steady_time::duration>(
        longest_replacement, missed_announcements * this->announcement_interval);
}

bool fencing_token::resume(base::steady_time now)
{
    if (!this->superseded())
        return false;
    // An announcement that is missing may have gone to another process, or this one was paused and
    // reads old ones.
    auto const longest_gap = this->announcement_interval * 3 / 2;
    if (now - this->last_announced > longest_gap)
        this->announced_since = now;
    this->last_announced = now;
    if (now < this->announced_since + this->resume_delay)
        return false;
    this->superseded_at.reset();
    this->resumed_at = now;
    this->accepted = false;
    this->next_step = first_step;
    this->raise_before = now + raising_time;
    // Higher tokens would be higher than that of a later process.
    auto const age = std::chrono::duration_cast<std::chrono::milliseconds>(now - this->began);
    this->present
        = std::max(this->present + 1, this->initial + static_cast<std::uint64_t>(age.count()));
    return true;
}

void fencing_token::raise()
{
    this->present += this->next_step;
    this->next_step = std::min(this->next_step * 2, longest_step);
}

} // namespace greengagehead::agent

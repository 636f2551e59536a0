// When a refused fencing token is raised, and when it shows that another process has taken over.

#include "agent/fencing_token.h"

#include <algorithm>

namespace greengagehead::agent {

fencing_token::fencing_token(std::uint64_t initial, base::steady_time now)
    : present(initial), raise_before(now + raising_time)
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
    this->superseded_at = now;
    return refusal::superseded;
}

bool fencing_token::resume(base::steady_time now)
{
    if (!this->superseded() || now < *this->superseded_at + this->resume_delay)
        return false;
    this->superseded_at.reset();
    this->resume_delay
        = std::min<base::steady_time::duration>(this->resume_delay * 2, longest_resume_delay);
    this->accepted = false;
    this->next_step = first_step;
    this->raise_before = now + raising_time;
    this->raise();
    return true;
}

void fencing_token::raise()
{
    this->present += this->next_step;
    this->next_step = std::min(this->next_step * 2, longest_step);
}

} // namespace greengagehead::agent

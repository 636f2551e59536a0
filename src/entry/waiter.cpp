// Construction of replies.

#include "entry/waiter.h"

#include <utility>

namespace greengagehead::entry {

namespace {

submit_reply::kind kind_of(protocol::job_state state)
{
    if (state == protocol::job_state::running)
        return submit_reply::kind::running;
    if (state == protocol::job_state::refused)
        return submit_reply::kind::refused;
    return submit_reply::kind::answered;
}

} // namespace

void deliver(waiter const& target, protocol::job_answer const& answer,
             std::string const& explanation)
{
    if (target.on_submit)
        target.on_submit({kind_of(answer.state), answer});
    else
        target.on_query({0, answer, target.explain ? explanation : std::string()});
}

void deliver_unknown(waiter const& target, protocol::job_answer answer, base::error failure)
{
    answer.state = protocol::job_state::running;
    answer.ran = protocol::ran_extent::unknown;
    answer.tasks.clear();
    answer.failure = std::move(failure);
    if (target.on_submit)
        target.on_submit({submit_reply::kind::unknown, std::move(answer)});
    else
        target.on_query({0, std::move(answer), {}});
}

} // namespace greengagehead::entry

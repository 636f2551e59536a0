// Storage and expiry of early cancellations.

#include "agent/early_cancellations.h"

#include <algorithm>

namespace greengagehead::agent {

void early_cancellations::add(std::string const& peer, protocol::attempt_ref const& attempt,
                              base::steady_time now)
{
    if (this->contains(peer, attempt.task, attempt.attempt))
        return;
    this->by_job[attempt.task.job].push_back({peer, attempt.task.index, attempt.attempt});
    this->by_time.emplace_back(now, attempt.task.job);
}

bool early_cancellations::contains(std::string const& peer, protocol::task_ref const& task,
                                   std::uint32_t attempt) const
{
    auto const found = this->by_job.find(task.job);
    if (found == this->by_job.end())
        return false;
    return std::any_of(found->second.begin(), found->second.end(), [&](auto const& cancelled) {
        return cancelled.index == task.index && cancelled.attempt == attempt
            && cancelled.peer == peer;
    });
}

void early_cancellations::expire(base::steady_time now)
{
    while (!this->by_time.empty() && this->by_time.front().first + this->retention < now) {
        auto const found = this->by_job.find(this->by_time.front().second);
        found->second.erase(found->second.begin());
        if (found->second.empty())
            this->by_job.erase(found);
        this->by_time.pop_front();
    }
}

} // namespace greengagehead::agent

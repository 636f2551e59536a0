// Since when unknown runs are on the worker, and until when they may be.

#include "agent/foreign_runs.h"

#include <algorithm>
#include <tuple>

namespace greengagehead::agent {

bool foreign_runs::run_order::operator()(worker_run const& left, worker_run const& right) const
{
    return std::tie(left.task, left.number) < std::tie(right.task, right.number);
}

void foreign_runs::on_listed(worker_run const& run, worker_clock reading, base::steady_time now)
{
    auto& found = this->known.try_emplace(run, listing {now, reading}).first->second;
    found.last = std::max(found.last, reading);
}

void foreign_runs::remove_expired(worker_clock reading, worker_clock granted_until,
                                  std::chrono::milliseconds max_lease)
{
    std::erase_if(this->known, [=](auto const& item) {
        return reading >= std::max(granted_until, item.second.last + max_lease);
    });
}

std::optional<base::steady_time> foreign_runs::since() const
{
    auto const earliest = std::min_element(
        this->known.begin(), this->known.end(),
        [](auto const& a, auto const& b) { return a.second.first < b.second.first; });
    return earliest == this->known.end() ? std::nullopt : std::optional(earliest->second.first);
}

} // namespace greengagehead::agent

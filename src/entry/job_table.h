// The jobs this entry owns, and finished ones as long as they are kept.

#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <unordered_map>

#include "entry/job.h"

namespace greengagehead::entry {

class job_table {
public:
    /// @param kept_bytes approximate bound for answers and decisions of finished jobs.
    explicit job_table(std::size_t kept_bytes);

    job& add(std::string const& id);
    [[nodiscard]] job* find(std::string const& id);
    [[nodiscard]] job const* find(std::string const& id) const;
    [[nodiscard]] job* find(std::uint64_t number);
    void remove(job& job);

    /// Counts a finished job, whose end is committed, against the bound, and drops the oldest
    /// finished jobs beyond it.
    void keep_finished(job& job, base::steady_time now);
    /// Drops jobs that were passed to `keep_finished` before `time`.
    void expire_before(base::steady_time time);

    [[nodiscard]] std::size_t unfinished() const { return this->running; }
    void note_finished() { --this->running; }
    void note_started() { ++this->running; }
    [[nodiscard]] std::unordered_map<std::uint64_t, std::unique_ptr<job>> const& all() const
    {
        return this->jobs;
    }

private:
    struct kept {
        std::uint64_t number = 0;
        std::size_t bytes = 0;
        base::steady_time since;
    };
    void drop_oldest();

    std::size_t kept_limit;
    std::size_t kept_bytes = 0;
    std::size_t running = 0;
    std::uint64_t last_number = 0;
    std::unordered_map<std::uint64_t, std::unique_ptr<job>> jobs;
    std::unordered_map<std::string, job*> by_id;
    std::deque<kept> finished; ///< In order of their end.
};

} // namespace greengagehead::entry

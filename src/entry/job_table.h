// The jobs this entry owns, and finished ones until they expire or are evicted.

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
    /// @param limit_bytes approximate limit for answers and decisions of finished jobs, in
    /// bytes.
    explicit job_table(std::size_t limit_bytes);

    job& add(std::string const& id);
    [[nodiscard]] job* find(std::string const& id);
    [[nodiscard]] job const* find(std::string const& id) const;
    [[nodiscard]] job* find(std::uint64_t number);
    void remove(job& job);

    /// Counts a finished job whose final state is committed towards the limit, and evicts the
    /// oldest finished jobs beyond it.
    void retain_finished(job& job, base::steady_time now);
    /// Removes jobs that were passed to `retain_finished` before `time`.
    void expire_before(base::steady_time time);

    [[nodiscard]] std::size_t unfinished() const { return this->running; }
    void record_finished() { --this->running; }
    void record_started() { ++this->running; }
    [[nodiscard]] std::unordered_map<std::uint64_t, std::unique_ptr<job>> const& all() const
    {
        return this->jobs;
    }

private:
    struct retained_job {
        std::uint64_t number = 0;
        std::size_t bytes = 0;
        base::steady_time finished_at;
    };
    void evict_oldest();

    std::size_t retained_limit;
    std::size_t retained_bytes = 0;
    std::size_t running = 0;
    std::uint64_t last_number = 0;
    std::unordered_map<std::uint64_t, std::unique_ptr<job>> jobs;
    std::unordered_map<std::string, job*> by_id;
    std::deque<retained_job> finished; ///< In the order in which they finished.
};

} // namespace greengagehead::entry

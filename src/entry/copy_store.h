// Copies of jobs of other entries, for which this entry is the backup.

#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <unordered_map>

#include "base/clock.h"
#include "protocol/message.h"

namespace greengagehead::entry {

struct backup_copy {
    protocol::job_epoch epoch = 1;
    /// Peer name of the entry that sent the content; empty once the job is finished.
    std::string owner;
    base::steady_time received;
    std::shared_ptr<protocol::job_request const> content; ///< Null once the job is finished.
    std::shared_ptr<protocol::job_answer const> answer; ///< Null until the job is finished.
};

/// Bounded in memory and in time; evicts the oldest copies first.
class copy_store {
public:
    explicit copy_store(std::size_t limit_bytes);

    /// Returns false, and stores nothing, when a copy of a newer epoch is already stored.
    bool store(protocol::job_copy const& copy, base::steady_time now);
    bool store(protocol::job_finished_copy const& copy, base::steady_time now);
    [[nodiscard]] backup_copy const* find(std::string const& job) const;
    void expire_before(base::steady_time time);

private:
    struct entry {
        std::string job;
        std::size_t bytes = 0;
        base::steady_time stored_at;
    };
    backup_copy& replace(std::string const& job, std::size_t bytes, base::steady_time now);
    void evict_oldest();

    std::size_t limit;
    std::size_t bytes = 0;
    std::unordered_map<std::string, backup_copy> copies;
    std::deque<entry> eviction_order;
};

} // namespace greengagehead::entry

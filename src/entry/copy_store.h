// Copies that this entry holds for jobs of other entries, as their backup.

#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <unordered_map>

#include "base/clock.h"
#include "protocol/message.h"

namespace greengagehead::entry {

struct held_copy {
    protocol::job_epoch epoch = 1;
    std::string owner; ///< Peer name of the entry that sent the content.
    base::steady_time received;
    std::shared_ptr<protocol::job_request const> content; ///< Null once the job is finished.
    std::shared_ptr<protocol::job_answer const> answer; ///< Null until then.
};

/// Bounded in memory and in time; the oldest copies go first.
class copy_store {
public:
    explicit copy_store(std::size_t limit_bytes);

    /// False when the copy is older than what is held, and was not stored.
    bool hold(protocol::job_copy const& copy, base::steady_time now);
    bool hold(protocol::job_finished_copy const& copy, base::steady_time now);
    [[nodiscard]] held_copy const* find(std::string const& job) const;
    void expire_before(base::steady_time time);

private:
    struct entry {
        std::string job;
        std::size_t bytes = 0;
        base::steady_time since;
    };
    held_copy& store(std::string const& job, std::size_t bytes, base::steady_time now);
    void drop_oldest();

    std::size_t limit;
    std::size_t bytes = 0;
    std::unordered_map<std::string, held_copy> copies;
    std::deque<entry> order;
};

} // namespace greengagehead::entry

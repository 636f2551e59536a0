// Attachments to jobs that another entry owns.

#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

#include "base/clock.h"
#include "entry/waiter.h"
#include "protocol/command.h"
#include "protocol/message.h"

namespace greengagehead::entry {

struct entry_parts;

class remote_jobs {
public:
    explicit remote_jobs(entry_parts& parts);

    /// Finds the job through its claim, asks the owner, then the backup, and answers `caller` at
    /// the latest one second after its wait. `claim` is empty when it must be read first.
    /// With `cancel` the owner is told to stop the job, too.
    void attach(std::string const& job, std::optional<protocol::job_claim> claim, waiter caller,
                bool cancel, base::steady_time now);

    /// Asks all other live entries whether they know a job. `done` gets true when each of them has
    /// answered that it does not.
    void ask_everyone(std::string const& job, std::function<void(bool nobody_knows)> done,
                      base::steady_time now);

    void on_reply(std::string const& peer, protocol::job_reply const& reply, base::steady_time now);
    /// A peer asks this entry about a job.
    void on_query(std::string const& peer, protocol::job_query const& query, base::steady_time now);
    void on_timer(std::uint64_t id, base::steady_time now);
    [[nodiscard]] bool idle() const { return this->open.empty() && this->polls.empty(); }

private:
    enum class stage : std::uint8_t { reading, waiting, asking_owner, asking_backup };

    struct attachment {
        std::uint64_t id = 0;
        std::string job;
        waiter caller;
        bool cancel = false;
        stage at = stage::reading;
        std::optional<protocol::job_claim> claim;
        std::optional<protocol::job_answer> seen; ///< Last answer, not final.
        std::string explanation;
        base::steady_time give_up;
        base::steady_time next_step; ///< Earlier timers are out of date.
    };

    struct poll {
        std::set<std::string> awaited;
        std::function<void(bool)> done;
    };

    void end_poll(std::uint64_t id, bool nobody_knows);
    void read_claim(attachment& item, base::steady_time now);
    void on_claim(std::uint64_t id, protocol::control_result const& result, base::steady_time now);
    void ask_owner(attachment& item, base::steady_time now);
    void ask_backup(attachment& item, base::steady_time now);
    void ask(attachment& item, std::string const& peer, base::steady_time now);
    void wait(attachment& item, std::chrono::milliseconds time, base::steady_time now);
    void answer_from_claim(attachment& item);
    void give_up(attachment& item);
    void finish(attachment& item, protocol::job_answer const& answer);

    entry_parts& parts;
    std::uint64_t last_id = 0;
    std::unordered_map<std::uint64_t, attachment> open;
    std::unordered_map<std::uint64_t, poll> polls;
};

} // namespace greengagehead::entry

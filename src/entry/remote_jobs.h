// Callers of this entry that wait for jobs owned by another entry.

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

struct entry_components;

class remote_jobs {
public:
    explicit remote_jobs(entry_components& components);

    /// Reads the job's claim, queries the owner, then the backup, and answers `caller` at the
    /// latest one second after the end of its wait. `claim` is empty when it must be read first.
    /// With `cancel`, the owner is also told to stop the job.
    void attach(std::string const& job, std::optional<protocol::job_claim> claim, waiter caller,
                bool cancel, base::steady_time now);

    /// Queries all other live entries for a job. `done` gets true when each of them has answered
    /// that it does not know the job.
    void query_all_entries(std::string const& job,
                           std::function<void(bool unknown_everywhere)> done,
                           base::steady_time now);

    /// Id for a query that another component sends.
    [[nodiscard]] std::uint64_t allocate_id() { return ++this->last_id; }
    void on_reply(std::string const& peer, protocol::job_reply const& reply, base::steady_time now);
    /// Answers a peer's query about a job.
    void on_query(std::string const& peer, protocol::job_query const& query, base::steady_time now);
    void on_timer(std::uint64_t id, base::steady_time now);
    [[nodiscard]] bool idle() const
    {
        return this->attachments.empty() && this->entry_polls.empty();
    }

private:
    enum class stage : std::uint8_t { reading_claim, waiting, querying_owner, querying_backup };

    struct attachment {
        std::uint64_t id = 0;
        std::string job;
        waiter caller;
        bool cancel = false;
        stage current_stage = stage::reading_claim;
        std::optional<protocol::job_claim> claim;
        std::optional<protocol::job_answer> last_answer; ///< Last answer that was not final.
        std::string explanation;
        base::steady_time give_up_at;
        base::steady_time next_step_at; ///< Timers that are due earlier are obsolete.
    };

    struct poll {
        std::set<std::string> awaited;
        std::function<void(bool)> done;
    };

    void end_poll(std::uint64_t id, bool unknown_everywhere);
    void read_claim(attachment& attached, base::steady_time now);
    void on_claim(std::uint64_t id, protocol::control_result const& result, base::steady_time now);
    void query_owner(attachment& attached, base::steady_time now);
    void query_backup(attachment& attached, base::steady_time now);
    void send_query(attachment& attached, std::string const& peer, base::steady_time now);
    void wait(attachment& attached, std::chrono::milliseconds time, base::steady_time now);
    void answer_from_claim(attachment& attached);
    void end_unanswered(attachment& attached);
    void finish(attachment& attached, protocol::job_answer const& answer);

    entry_components& components;
    std::uint64_t last_id = 0;
    std::unordered_map<std::uint64_t, attachment> attachments;
    std::unordered_map<std::uint64_t, poll> entry_polls;
};

} // namespace greengagehead::entry

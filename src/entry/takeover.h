// Recovery of jobs that this entry has taken over from a lost entry.

#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "base/clock.h"
#include "protocol/command.h"
#include "protocol/message.h"

namespace greengagehead::entry {

struct entry_components;
struct job;

class takeover {
public:
    explicit takeover(entry_components& components);

    /// Notices may be repeated or late; jobs that are already taken over are skipped.
    void on_notice(protocol::takeover_notice const& notice, base::steady_time now);
    /// Returns true when the report answers a query of a takeover.
    bool on_report(protocol::outcome_report& report, base::steady_time now);
    /// Applies the outcome of a former owner's attempt, which the attempt tracker does not know.
    bool adopt_outcome(job& job, protocol::process_id const& agent, protocol::task_outcome& outcome,
                       base::steady_time now);
    void tick(base::steady_time now);

private:
    /// Treats every unfinished task of a job already in the table as possibly started by another
    /// owner.
    void recover(job& job, base::steady_time now);

    struct queried_agent {
        protocol::process_id id;
        bool removed = false; ///< According to control, it was removed or replaced.
        bool answered = false;
        bool records_lost = false; ///< The agent was restarted or is gone, so its records are lost.
    };
    struct recovery {
        std::uint64_t query_id = 0;
        std::vector<std::string> jobs;
        std::vector<queried_agent> agents;
        protocol::wall_time claimed_at {0}; ///< Time of the oldest claim.
        bool list_requested = false; ///< A request to control for `agents` is in flight.
        bool list_received = false; ///< `agents` is complete.
        bool idempotent_started = false;
        base::steady_time started_at;
        base::steady_time next_query_time;
    };

    void list_agents(std::uint64_t id, base::steady_time now);
    bool take_over(protocol::job_claim const& claim, base::steady_time now);
    void add_job(protocol::job_claim const& claim, base::steady_time now);
    void query_agents(recovery& recovering, base::steady_time now);
    bool advance(recovery& recovering, base::steady_time now);
    void finish_recovery(recovery const& recovering, job& job, base::steady_time now);

    entry_components& components;
    std::uint64_t last_sequence = 0; ///< Of the notices that were handled.
    std::uint64_t last_recovery = 0;
    std::map<std::uint64_t, recovery> recoveries;
    /// Former owners' attempts that were already applied, so that repeated reports change nothing.
    std::map<std::string, std::set<std::tuple<std::uint32_t, std::uint32_t, protocol::job_epoch>>>
        adopted_attempts;
};

} // namespace greengagehead::entry

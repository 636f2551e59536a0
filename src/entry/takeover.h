// Jobs of lost entries that this entry owns now.

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

struct entry_parts;
struct job;

class takeover {
public:
    explicit takeover(entry_parts& parts);

    /// Notices may be repeated; known jobs are skipped.
    void on_notice(protocol::takeover_notice const& notice, base::steady_time now);
    /// True when the report belongs to a takeover.
    bool on_report(protocol::outcome_report& report, base::steady_time now);
    /// Outcome of an attempt of a former owner, which the tracker does not know.
    bool adopt_outcome(job& job, protocol::process_id const& agent, protocol::task_outcome& outcome,
                       base::steady_time now);
    void tick(base::steady_time now);

private:
    /// Treats every unfinished task of a known job as possibly started by another owner.
    void recover(job& job, base::steady_time now);

    struct asked_agent {
        protocol::process_id id;
        bool removed = false; ///< Control says that it was removed or replaced.
        bool answered = false;
        bool gone = false; ///< Its records are lost.
    };
    struct recovery {
        std::uint64_t query_id = 0;
        std::vector<std::string> jobs;
        std::vector<asked_agent> agents;
        protocol::wall_time claimed_at {0}; ///< Of the oldest claim.
        bool listing = false; ///< Control was asked for `agents`.
        bool listed = false; ///< `agents` is known.
        bool idempotent_started = false;
        base::steady_time began;
        base::steady_time next_ask;
    };

    void list_agents(std::uint64_t id, base::steady_time now);
    bool take(protocol::job_claim const& claim, base::steady_time now);
    void create(protocol::job_claim const& claim, base::steady_time now);
    void ask(recovery& item, base::steady_time now);
    bool step(recovery& item, base::steady_time now);
    void conclude(recovery const& item, job& job, base::steady_time now);

    entry_parts& parts;
    std::uint64_t last_recovery = 0;
    std::map<std::uint64_t, recovery> open;
    /// Attempts of former owners that were used already, so that repeated reports change nothing.
    std::map<std::string, std::set<std::tuple<std::uint32_t, std::uint32_t, protocol::job_epoch>>>
        seen;
};

} // namespace greengagehead::entry

// Runs of submissions whose entry cannot be asked: the agents state which of them they have.

#pragma once

#include <string>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "entry/agent_table.h"
#include "protocol/message.h"

namespace greengagehead::entry {

struct entry_components;

/// Jobs are fenced at the agents, so that an agent which has answered starts no task of them any
/// more, and their runs are cancelled.
class remote_runs {
public:
    explicit remote_runs(entry_components& components);

    /// Asks the agents for the job from the next tick on. No effect when it is searched already.
    /// @param job its id at the entry that has announced it.
    /// @param announced when it was last announced. Agents that were not heard then are not asked.
    void search(std::string const& job, base::steady_time announced);
    /// Whether each agent has stated that it runs no task of the job and will start none.
    [[nodiscard]] bool ended(std::string const& job) const;
    void forget(std::string const& job);

    /// Another entry has stated that it last heard the agent at `heard`. Until this entry hears an
    /// agent of this name itself, that agent counts as one that must answer.
    void record_heard_elsewhere(protocol::process_id const& agent, base::steady_time heard);
    /// The agents that may have runs, and for how long they have not been heard by any entry that
    /// has told this one.
    [[nodiscard]] std::vector<protocol::agent_silence> known_agents(base::steady_time now) const;

    /// Asks the agents whose statements are missing.
    void tick(base::steady_time now);
    void on_report(protocol::outcome_report const& report, base::steady_time now);

private:
    struct agent_answer {
        base::steady_time next_query;
        bool ended = false; ///< It has no run of the job.
    };
    struct searched_job {
        base::steady_time announced;
        std::unordered_map<agent_slot, agent_answer> answers;
    };
    struct unheard_agent {
        protocol::process_id id;
        base::steady_time heard; ///< By another entry.
    };
    /// Whether the agent may have a run of the job, if it was last heard at `heard`.
    [[nodiscard]] static bool may_have_run(base::steady_time heard, searched_job const& job);
    [[nodiscard]] static bool must_answer(agent_record const& agent, searched_job const& job);
    /// Whether an agent must answer that only other entries have heard.
    [[nodiscard]] bool unheard_agent_must_answer(searched_job const& job) const;
    void record_answer(std::string const& id, searched_job& job, agent_slot slot,
                       protocol::outcome_report const& report, base::steady_time asked,
                       base::steady_time now);

    entry_components& components;
    std::unordered_map<std::string, searched_job> jobs; ///< By id.
    /// Agents that other entries have heard, by name.
    std::unordered_map<std::string, unheard_agent> heard_elsewhere;
};

} // namespace greengagehead::entry

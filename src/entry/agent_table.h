// State of each agent as one entry sees it: incarnation, clock of the last report, and issued
// stamps.

#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "policy/remote_submissions.h"
#include "protocol/message.h"

namespace greengagehead::entry {

/// Local number of one agent incarnation; never reused.
using agent_slot = std::uint32_t;

struct agent_record {
    protocol::process_id id;
    std::string zone;
    bool connected = false;
    bool registered = false; ///< The join_agent command of this incarnation is committed.
    bool replaced = false; ///< Another incarnation of the same agent has reported since.
    bool silent = false; ///< No report within the silence limit; gets no new work.
    bool lost = false; ///< Silent, and every stamp issued to it has expired.
    base::steady_time last_report;
    base::steady_time current_since; ///< First report after that of another incarnation.
    base::clock_reading clock {0}; ///< Reading of the agent's own clock in its last report.
    protocol::view_number seen_view = 0;
    base::steady_time last_update; ///< When this entry last sent it a lease update.

    /// A stamp that has not expired. Expiry times are in the entry's clock.
    struct issued_stamp {
        protocol::view_number view = 0;
        base::steady_time expires_at;
    };
    std::vector<issued_stamp> stamps;
    /// When the last stamp expires that was sent to the agent, with or without a lease. In the
    /// entry's clock.
    base::steady_time permitted_until;
    /// When the ephemeral runs of this entry have ended at the latest, if no further stamp is sent
    /// and the machine is not suspended. Only counts once the machine has been heard again.
    [[nodiscard]] base::steady_time runs_end_by() const
    {
        return this->permitted_until + policy::longest_run_after_permission;
    }
};

/// How a report's sender relates to the incarnations seen before.
enum class report_kind : std::uint8_t {
    current, ///< The current incarnation.
    returned, ///< The current incarnation, which had been silent.
    first, ///< An agent that has not reported before.
    replacement, ///< Another incarnation; the previous one is marked as replaced.
    outdated, ///< An incarnation that has been replaced by one that is not lost.
};

class agent_table {
public:
    report_kind on_report(protocol::agent_report const& report, base::steady_time now);
    void on_up(std::string const& peer, base::steady_time now);
    void on_down(std::string const& peer);

    /// Current incarnation of an agent; null when none has reported.
    [[nodiscard]] agent_record* find(std::string const& name);
    [[nodiscard]] agent_record* find(protocol::process_id const& id);
    [[nodiscard]] std::optional<agent_slot> slot_of(protocol::process_id const& id) const;
    /// Slot of an incarnation named by control, which may never have reported to this entry.
    agent_slot find_or_add(protocol::process_id const& id);
    [[nodiscard]] agent_record& at(agent_slot slot) { return this->records.at(slot); }
    [[nodiscard]] agent_record const& at(agent_slot slot) const { return this->records.at(slot); }
    [[nodiscard]] std::vector<agent_record>& all() { return this->records; }

    /// Agents that have become silent or lost.
    struct liveness_changes {
        std::vector<agent_slot> silent;
        std::vector<agent_slot> lost;
    };
    /// Marks agents without a report for `silence` as silent, and silent agents whose stamps have
    /// all expired as lost.
    liveness_changes update_liveness(std::chrono::milliseconds silence, base::steady_time now);

private:
    std::vector<agent_record> records;
    std::unordered_map<std::string, agent_slot> current_slots;
};

} // namespace greengagehead::entry

// Agents as one entry knows them: incarnation, clock of the last report, and stamps given out.

#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "protocol/message.h"

namespace greengagehead::entry {

/// Local number of one agent incarnation; never reused.
using agent_slot = std::uint32_t;

struct agent_record {
    protocol::process_id id;
    std::string zone;
    bool connected = false;
    bool registered = false; ///< join_agent of this incarnation is committed.
    bool replaced = false; ///< A newer incarnation of the same agent has reported.
    bool silent = false; ///< No report for a while; gets no new work.
    bool lost = false; ///< Silent, and every stamp it holds has expired.
    base::steady_time last_report;
    base::clock_reading clock {0}; ///< The agent's own clock in its last report.
    protocol::view_number seen_view = 0;

    /// Unexpired stamps by view, with their expiry in the entry's clock.
    struct issued_stamp {
        protocol::view_number view = 0;
        base::steady_time until;
    };
    std::vector<issued_stamp> stamps;
};

/// What a report said about the sender's identity.
enum class report_kind : std::uint8_t {
    known, ///< The present incarnation.
    returned, ///< The present incarnation, which had been silent.
    first, ///< An agent not known so far.
    replacement, ///< A new incarnation; the former one is marked as replaced.
    outdated, ///< An incarnation that was replaced already.
};

class agent_table {
public:
    report_kind on_report(protocol::agent_report const& report, base::steady_time now);
    void on_up(std::string const& peer, base::steady_time now);
    void on_down(std::string const& peer);

    /// Present incarnation of an agent; null when it has never reported.
    [[nodiscard]] agent_record* find(std::string const& name);
    [[nodiscard]] agent_record* find(protocol::process_id const& id);
    [[nodiscard]] std::optional<agent_slot> slot_of(protocol::process_id const& id) const;
    /// Slot of an incarnation that may never have reported here, as named by control.
    agent_slot add_known(protocol::process_id const& id);
    [[nodiscard]] agent_record& at(agent_slot slot) { return this->records.at(slot); }
    [[nodiscard]] agent_record const& at(agent_slot slot) const { return this->records.at(slot); }
    [[nodiscard]] std::vector<agent_record>& all() { return this->records; }

    /// Marks agents without a report for `silence` as silent, and those whose stamps have expired
    /// as lost. Returns the agents that changed.
    struct changes {
        std::vector<agent_slot> silent;
        std::vector<agent_slot> lost;
    };
    changes check(std::chrono::milliseconds silence, base::steady_time now);

private:
    std::vector<agent_record> records;
    std::unordered_map<std::string, agent_slot> present;
};

} // namespace greengagehead::entry

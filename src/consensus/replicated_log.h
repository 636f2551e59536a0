// Replicated log as the control logic sees it: proposals in, committed entries out. Implemented on
// raft_node and durable storage; tests use a fake.

#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include <sigc++/signal.h>

#include "base/clock.h"
#include "base/error.h"
#include "protocol/command.h"
#include "protocol/control_group.h"
#include "protocol/raft_message.h"

namespace greengagehead::consensus {

struct log_position {
    std::uint64_t index = 0;
    std::uint64_t term = 0;

    bool operator==(log_position const&) const = default;
};

class replicated_log {
public:
    replicated_log() = default;
    virtual ~replicated_log() = default;
    replicated_log(replicated_log const&) = delete;
    replicated_log& operator=(replicated_log const&) = delete;

    /// Appends `data` on the leader. The proposal is committed when `committed` reports an entry
    /// with the same index and term; another term at that index means that it is lost. Errors:
    /// `error_code::unavailable` when this member does not lead.
    virtual base::result<log_position> propose(std::string data) = 0;

    /// Starts one membership change. Errors: `unavailable` when not leading, `conflict` while
    /// another change is in progress, `invalid_argument` for an unknown or already present member.
    virtual base::result<void> change_members(protocol::change_members const& change) = 0;

    [[nodiscard]] virtual bool leading() const = 0;
    /// Peer name of the leader; empty when unknown.
    [[nodiscard]] virtual std::string leader() const = 0;
    [[nodiscard]] virtual std::uint64_t term() const = 0;
    [[nodiscard]] virtual std::uint64_t commit_index() const = 0;
    /// True on a leader that a quorum has answered within the minimum election timeout, counted
    /// from the time of the requests. Only then may it grant leases and answer reads.
    [[nodiscard]] virtual bool quorum_contact_recent(base::steady_time now) const = 0;
    [[nodiscard]] virtual std::vector<protocol::control_member> members() const = 0;
    /// The group as far as this process knows it, also when it is not a member.
    [[nodiscard]] virtual protocol::control_group group() const = 0;

    /// Supplies the state for a snapshot, as of the last committed entry that was reported.
    std::function<std::string()> take_snapshot;

    /// Every committed command in log order, on every member.
    sigc::signal<void(protocol::log_entry const&, base::steady_time now)> committed;
    /// State replaced by a snapshot, at start or from the leader.
    sigc::signal<void(std::string const& snapshot)> restored;
    /// Emitted with true once this member leads and has committed an entry of its own term, so that
    /// its state holds every earlier acknowledged command; with false when it stops leading.
    sigc::signal<void(bool leading, base::steady_time now)> leadership_changed;
};

} // namespace greengagehead::consensus

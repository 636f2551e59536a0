// Interface of the replicated log: the control logic proposes commands and receives the committed
// ones. durable_log implements it; tests of the control logic use a fake.

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

/// Identifies a log entry: two logs that contain the same index and term agree up to that entry.
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
    /// with the same index and term. If it reports another term at that index, the proposal is
    /// lost. Errors: `error_code::unavailable` when this member is not the leader.
    virtual base::result<log_position> propose(std::string data) = 0;

    /// Starts one membership change. Errors: `unavailable` when this member is not the leader,
    /// `conflict` while another change is in progress, `invalid_argument` for a member that is
    /// unknown or already present.
    virtual base::result<void> change_members(protocol::change_members const& change) = 0;

    [[nodiscard]] virtual bool leading() const = 0;
    /// Peer name of the leader; empty when unknown.
    [[nodiscard]] virtual std::string leader() const = 0;
    [[nodiscard]] virtual std::uint64_t term() const = 0;
    [[nodiscard]] virtual std::uint64_t commit_index() const = 0;
    /// True on a leader whose requests of the last minimum election timeout were answered by a
    /// quorum; the age counts from when a request was sent. Only such a leader may grant leases and
    /// answer reads, because until then no other member can be elected.
    [[nodiscard]] virtual bool quorum_contact_recent(base::steady_time now) const = 0;
    [[nodiscard]] virtual std::vector<protocol::control_member> members() const = 0;
    /// Latest group known to this process, which need not be a member of it.
    [[nodiscard]] virtual protocol::control_group group() const = 0;

    /// Returns the serialized state after the last entry that `committed` reported.
    std::function<std::string()> take_snapshot;

    /// Emitted for every committed command, in log order, on every member.
    sigc::signal<void(protocol::log_entry const&, base::steady_time now)> committed;
    /// Emitted when a snapshot, found at start or sent by the leader, replaces the state.
    sigc::signal<void(std::string const& snapshot)> restored;
    /// Emitted with true once this member is the leader and has committed an entry of its own term,
    /// so that its state contains every command acknowledged before; with false when it stops being
    /// the leader.
    sigc::signal<void(bool leading, base::steady_time now)> leadership_changed;
};

} // namespace greengagehead::consensus

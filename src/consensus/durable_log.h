// The replicated log of a control member: raft_node with durable storage and message sending.
//
// Order: vote and snapshot are durable before any message is sent; entries are durable before they
// are acknowledged. A leader sends entries to the others before its own sync, and counts itself
// only after it. All syncs run on the calling thread: the member handles nothing else for the
// duration of one fdatasync (several milliseconds on a busy disk), which is short against the
// heartbeat of 75 ms; entries that arrive meanwhile share the next sync.

#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "consensus/group_bootstrap.h"
#include "consensus/group_discovery.h"
#include "consensus/leader_monitor.h"
#include "consensus/member_store.h"
#include "consensus/membership_planner.h"
#include "consensus/raft_node.h"
#include "consensus/replicated_log.h"
#include "protocol/message_sender.h"
#include "storage/file_system.h"

namespace greengagehead::consensus {

struct durable_log_settings {
    std::string name; ///< Peer name of this member, for example `control.recife-1`.
    std::string address; ///< Where the other members reach it.
    std::string folder;
    /// Members of the first start. A member that is not listed is a standby: it announces itself to
    /// the listed ones and waits to be added.
    std::vector<group_address> initial;
    /// Whether this member may found the group. With false it waits to be let in.
    bool allow_bootstrap = true;
    std::uint64_t seed = 0; ///< Source of identity and timeouts; 0 takes it from the system.
    raft_timing timing;
    membership_rules membership;
    /// A snapshot is taken after this many entries, or this many bytes of commands. They bound the
    /// time to recover and the memory for the log.
    std::uint64_t snapshot_entries = 10'000;
    std::uint64_t snapshot_bytes = 4 << 20;
    /// Entries kept in memory behind a snapshot for members that are slightly behind.
    std::uint64_t trailing_entries = 1'000;
};

class durable_log : public replicated_log {
public:
    /// Reads the data folder. A member of a larger group whose data is damaged sets it aside and
    /// rejoins under a new identity. Errors: `corrupt` when the only member is damaged; `io`.
    /// `files` and `sender` must outlive the log.
    static base::result<std::unique_ptr<durable_log>> open(durable_log_settings settings,
                                                           storage::file_system& files,
                                                           protocol::message_sender& sender,
                                                           base::steady_time now);

    /// The settings name these members now; a member outside the group introduces itself to them.
    void set_configured(std::vector<std::string> members);
    /// Called once after the signals are connected: reports the snapshot, if any.
    void start(base::steady_time now);
    void receive(std::string const& peer, protocol::raft_message const& message,
                 base::steady_time now);
    /// Expected every 10 ms.
    void tick(base::steady_time now);
    /// Sends and syncs what was proposed. Called after each batch of input; otherwise proposals
    /// wait for the next tick.
    void flush(base::steady_time now);

    base::result<log_position> propose(std::string data) override;
    base::result<void> change_members(protocol::change_members const& change) override;
    [[nodiscard]] bool leading() const override;
    [[nodiscard]] std::string leader() const override;
    [[nodiscard]] std::uint64_t term() const override;
    [[nodiscard]] std::uint64_t commit_index() const override;
    [[nodiscard]] bool quorum_contact_recent(base::steady_time now) const override;
    [[nodiscard]] std::vector<protocol::control_member> members() const override;
    [[nodiscard]] protocol::control_group group() const override;

    /// Identity of the data folder.
    [[nodiscard]] protocol::member_id identity() const { return this->node.id(); }
    /// Set when storage failed. The member then takes no part any more until it is restarted.
    [[nodiscard]] std::optional<base::error> const& failure() const { return this->stopped_by; }
    [[nodiscard]] raft_node const& raft() const { return this->node; }

    durable_log(durable_log_settings settings, member_store store,
                member_store::recovered recovered, std::uint64_t seed,
                protocol::message_sender& sender, base::steady_time now);

private:
    void handle_hello(std::string const& peer, protocol::raft_message const& message,
                      base::steady_time now);
    void introduce(base::steady_time now);
    /// Handles all output of the node; entries of a leader are written only when `sync` is set.
    void settle(bool sync, base::steady_time now);
    bool persist(bool sync, base::steady_time now);
    bool install_snapshot(base::steady_time now);
    void send_messages();
    void apply(base::steady_time now);
    void log_members(std::uint64_t index) const;
    void snapshot_if_due(base::steady_time now);
    void report_leadership(base::steady_time now);
    void change_membership(base::steady_time now);
    [[nodiscard]] bool fresh() const;
    /// The group by the own log.
    [[nodiscard]] protocol::control_group own_group() const;
    bool check(base::result<void> const& result, base::steady_time now);
    void send(std::string const& peer, protocol::raft_message message);
    [[nodiscard]] std::string peer_name(protocol::member_id id) const;

    durable_log_settings settings;
    member_store store;
    raft_node node;
    protocol::message_sender& sender;
    group_bootstrap bootstrap;
    group_discovery discovery;
    membership_planner planner;
    leader_monitor monitor;
    /// Damaged data was set aside in this folder.
    bool damaged;

    /// Snapshot found at the start, until `start` reports it.
    std::optional<std::string> initial_state;
    bool started = false;
    /// Bytes of commands that the last snapshot left in memory.
    std::uint64_t retained_bytes = 0;
    /// Guards against re-entry from a signal handler.
    bool settling = false;
    bool reported_leading = false;
    std::uint64_t reported_members_index = 0;
    base::steady_time last_tick;
    std::optional<base::error> stopped_by;
    /// Peer names of identities outside the membership, learned from their messages.
    std::map<protocol::member_id, std::string> unknown_members;
};

} // namespace greengagehead::consensus

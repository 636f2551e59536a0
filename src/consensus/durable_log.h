// Replicated log of a control member: combines raft_node with durable storage and messages.
//
// Vote and snapshot are durable before any message is sent; entries are durable before they are
// acknowledged. A leader sends entries to the others before its own sync, and counts itself towards
// the quorum only after it. All syncs run on the calling thread, so the member handles nothing else
// during an fdatasync. That takes several milliseconds on a busy disk, which is short compared with
// the heartbeat interval of 75 ms. Entries that arrive meanwhile share the next sync.
//
// After a failed write or sync, the member is silent and resigns. The state of the node in memory
// is at least as new as everything that the member has ever sent or acknowledged, so it continues
// as soon as that state has been written to new files. A file whose write or sync failed is not
// used again, since a later sync of it may succeed without its data being on the disk.

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
    std::string address; ///< Address at which other members connect to this one.
    std::string folder; ///< Path of the data folder.
    /// Members of the group at its first start. A member that is not listed is a standby: it
    /// announces itself to the listed ones and waits to be added.
    std::vector<group_address> initial;
    /// Whether this member may take part in the bootstrap of the group. If false, it waits to be
    /// added to an existing group.
    bool allow_bootstrap = true;
    /// Seed for the identity and the election timeouts; 0 for a seed from the operating system.
    std::uint64_t seed = 0;
    raft_timing timing;
    membership_rules membership;
    /// A snapshot is taken after this many entries or this many bytes of commands. The limits bound
    /// the recovery time and the memory used by the log.
    std::uint64_t snapshot_entries = 10'000;
    std::uint64_t snapshot_bytes = 4 << 20;
    /// Entries before a snapshot that stay in memory, so that a member that is slightly behind
    /// needs no snapshot.
    std::uint64_t trailing_entries = 1'000;
};

class durable_log : public replicated_log {
public:
    /// Reads the data folder. If the data is damaged and the group has other members, the damaged
    /// files are renamed and the member rejoins under a new identity. Errors: `corrupt` or
    /// `malformed` when the data of the only member is damaged; `conflict` when another process
    /// uses the folder; `io`. `files` and `sender` must outlive the log.
    static base::result<std::unique_ptr<durable_log>> open(durable_log_settings settings,
                                                           storage::file_system& files,
                                                           protocol::message_sender& sender,
                                                           base::steady_time now);

    /// Replaces the configured members. A member outside the group announces itself to them.
    void set_configured(std::vector<std::string> members);
    /// Emits `restored` for a snapshot found in the data folder. To be called once, after the
    /// signals are connected.
    void start(base::steady_time now);
    void receive(std::string const& peer, protocol::raft_message const& message,
                 base::steady_time now);
    /// To be called every 10 ms.
    void tick(base::steady_time now);
    /// Sends and syncs proposed entries. To be called after each batch of input; otherwise
    /// proposals wait for the next tick.
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

    /// Identity of this member, as stored in the data folder.
    [[nodiscard]] protocol::member_id identity() const { return this->node.id(); }
    /// Set while storage fails. The member is then inactive. It tries to write its data anew until
    /// that succeeds; damaged data (`corrupt`) keeps it inactive until it is restarted.
    [[nodiscard]] std::optional<base::error> const& failure() const
    {
        return this->storage_failure;
    }
    [[nodiscard]] raft_node const& raft() const { return this->node; }

    durable_log(durable_log_settings settings, member_store store,
                member_store::recovered recovered, std::uint64_t seed,
                protocol::message_sender& sender, base::steady_time now);

private:
    /// Answers an announcement, or evaluates the answer to one of this member's own.
    void handle_hello(std::string const& peer, protocol::raft_message const& message,
                      base::steady_time now);
    /// Announces this member to the known control processes while it is not in the group or knows
    /// no leader, at the interval of group_discovery.
    void send_hellos(base::steady_time now);
    /// Persists, sends and applies all output of the node. A leader writes its entries only when
    /// `sync` is set.
    void process_output(bool sync, base::steady_time now);
    /// Returns false when storage has failed.
    bool persist(bool sync, base::steady_time now);
    bool install_snapshot(base::steady_time now);
    void send_messages();
    void apply(base::steady_time now);
    void log_members(std::uint64_t index) const;
    void snapshot_if_due(base::steady_time now);
    void report_leadership(base::steady_time now);
    void propose_next_change(base::steady_time now);
    /// True when the log is empty and the folder contains no damaged data. Only then may this
    /// member take part in a bootstrap.
    [[nodiscard]] bool fresh() const;
    /// The group according to the local log.
    [[nodiscard]] protocol::control_group local_group() const;
    /// On an error, makes this member inactive. Returns whether `result` is a success.
    bool stop_on_error(base::result<void> const& result, base::steady_time now);
    /// While storage fails, writes the state of the node to new files at intervals. When that
    /// succeeds, the member is active again, as a follower.
    void retry_storage(base::steady_time now);
    /// Emits the state of the received snapshot, which is durable now.
    void emit_received_snapshot();
    void send(std::string const& peer, protocol::raft_message message);
    /// Empty for an unknown identity.
    [[nodiscard]] std::string peer_name(protocol::member_id id) const;

    durable_log_settings settings;
    member_store store;
    raft_node node;
    protocol::message_sender& sender;
    group_bootstrap bootstrap;
    group_discovery discovery;
    membership_planner planner;
    leader_monitor monitor;
    /// The folder contains renamed files of damaged data.
    bool had_damaged_data;

    /// State of the snapshot found in the data folder, until `start` emits it.
    std::optional<std::string> pending_snapshot_state;
    bool started = false;
    /// Bytes of commands that stayed in memory after the last snapshot.
    std::uint64_t retained_bytes = 0;
    /// Prevents re-entry of `process_output` from a signal handler.
    bool processing_output = false;
    bool reported_leading = false;
    std::uint64_t reported_members_index = 0;
    base::steady_time last_tick;
    std::optional<base::error> storage_failure;
    /// While storage fails: when to write again.
    base::steady_time next_storage_retry {};
    /// Snapshot received from the leader that is not durable yet.
    std::optional<std::string> received_snapshot;
    /// Peer names by identity, learned from messages; used for identities that are not members.
    std::map<protocol::member_id, std::string> sender_names;
};

} // namespace greengagehead::consensus

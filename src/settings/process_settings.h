// Settings of one process, read from its TOML file or taken from the embedded defaults.

#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace greengagehead::settings {

enum class role : std::uint8_t { control, entry, agent };

/// A control member or an entry that is listed in the settings file.
struct peer_settings {
    std::string name; ///< Process name; the peer name is the role, a dot and this name.
    std::string address;
};

/// Bearer token of a team or of an operator. Only its digest is stored.
struct token_settings {
    std::string team; ///< Empty for an operator, who has all permissions.
    std::string sha256; ///< SHA-256 of the token, 64 lower-case hex digits.
};

/// Limits on the requests of callers, and on the connections of all clients.
struct limit_settings {
    std::uint64_t body_bytes = 8'388'608;
    std::uint64_t header_bytes = 16'384;
    std::uint64_t tasks_per_job = 2'000;
    std::chrono::milliseconds max_deadline {600'000};
    std::chrono::milliseconds max_wait {600'000};
    std::uint64_t memory_mb = 0; ///< Memory that the process may use, in MiB; 0 if unknown.
    std::uint64_t connections = 0; ///< 0 derives it from the descriptors of the process.
    std::uint64_t address_connections = 0; ///< From one address; 0 derives it from `connections`.
    std::uint64_t receive_buffer_bytes = 16'384; ///< Least unread bytes for each connection.
    std::chrono::milliseconds request_timeout {30'000}; ///< Until a request is complete.
    std::chrono::milliseconds answer_timeout {30'000}; ///< Until the client has taken the answer.
    std::chrono::milliseconds idle_timeout {45'000}; ///< Between requests.
    std::chrono::milliseconds handshake_timeout {5'000}; ///< Of an accepted link.
};

struct timing_settings {
    /// How long the answers of finished jobs are kept.
    std::chrono::milliseconds claim_retention {900'000};
    /// How long the ids of older jobs are kept so that resubmissions are refused.
    std::chrono::milliseconds tombstone_retention {86'400'000};
    /// After a shutdown request an entry keeps accepting jobs for this long while /readyz already
    /// fails, so that the load balancer stops sending requests. Afterwards it exits as soon as it
    /// is idle, and refuses jobs that may not finish within `shutdown_limit`.
    std::chrono::milliseconds leave_delay {2'000};
    /// Time from the shutdown request after which the process exits even if it is not idle.
    std::chrono::milliseconds shutdown_limit {60'000};
};

struct process_settings {
    std::string name;
    std::string zone;
    std::string region;
    std::string data_folder; ///< Files of the control role; unused by other roles.
    std::vector<role> roles;
    std::string control_listen; ///< Listening address for links to the control role.
    std::uint16_t control_link_port = 0; ///< 0 if links use the addresses in `controls`.
    bool bootstrap = true; ///< Whether the control role may create a new control group.
    /// Standbys are admitted to the control group until it has this many members. Used only if
    /// `control_link_port` is set.
    std::uint64_t max_control_members = 7;
    /// Number of control VMs that may be lost at the same time.
    std::uint64_t tolerated_losses = 1;
    std::string entry_listen; ///< Listening address for links to the entry role.
    std::string entry_http; ///< HTTP address for callers and operators.
    std::chrono::milliseconds announcement_interval {1000}; ///< Interval of endpoint announcements.
    std::string agent_announce; ///< Loopback address for endpoint announcements.
    std::string fleet_key; ///< Secret shared by all processes; empty accepts links from anyone.
    std::string placement = "least_loaded";
    /// Time after the start in which an entry holds requests that lack its configuration or its
    /// endpoints; 0 refuses them at once.
    std::chrono::milliseconds recovery_hold {0};
    std::uint64_t recovery_hold_bytes = 4'194'304;
    bool fair_accounts
        = false; ///< Whether admission takes the recent use of accounts into account.
    bool share_by_demand = false; ///< Entries divide the slots by demand instead of equally.
    bool learn_speed = false; ///< Whether placement uses learned speeds of the endpoints.
    /// While the event loop of an entry stays late by more than this, it refuses a part of the
    /// requests; 0 refuses none for it.
    std::chrono::milliseconds max_loop_delay {20};
    /// Control members. If `control_link_port` is set, these are only the initial contacts, reached
    /// at that port.
    std::vector<peer_settings> controls;
    std::vector<peer_settings> entries;
    std::vector<token_settings> tokens; ///< Empty disables access checks.
    limit_settings limits;
    timing_settings timing;
    std::string log_format = "text";
    std::string log_level = "info";

    [[nodiscard]] bool has(role value) const;
};

[[nodiscard]] std::string_view to_string(role value);
/// Peer name of a role of the process `process_name`, for example `entry.recife-1`.
[[nodiscard]] std::string peer_name(role process_role, std::string const& process_name);

/// Bytes that may be held for all connections: a quarter of the memory of the process. If that is
/// unknown, 32 MiB, or three times the largest request if that is more.
[[nodiscard]] std::uint64_t connection_budget_bytes(limit_settings const& limits);

/// Bytes that may have arrived for all accepted connections and are not read: a quarter of the
/// memory of the process, or 32 MiB if that is unknown.
[[nodiscard]] std::uint64_t unread_budget_bytes(limit_settings const& limits);

/// The listed control members with the addresses for links to them: with `control_link_port` set,
/// that port replaces the listed one.
[[nodiscard]] std::vector<peer_settings> control_links(process_settings const& settings);

/// Settings of a process that runs all three roles on loopback, without access checks.
[[nodiscard]] process_settings embedded_settings();

} // namespace greengagehead::settings

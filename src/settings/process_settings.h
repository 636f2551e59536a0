// Settings of one process, read from its TOML file or taken from the embedded defaults.

#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace greengagehead::settings {

enum class role : std::uint8_t { control, entry, agent };

/// A fixed peer: a control member or an entry.
struct peer_settings {
    std::string name; ///< Process name; the peer name is the role, a dot and this name.
    std::string address;
};

/// Bearer token of a team or of an operator. Only the digest is stored.
struct token_settings {
    std::string team; ///< Empty for an operator, who may do everything.
    std::string sha256;
};

struct limit_settings {
    std::uint64_t body_bytes = 8'388'608;
    std::uint64_t header_bytes = 16'384;
    std::uint64_t tasks_per_job = 2'000;
    std::chrono::milliseconds max_deadline {600'000};
    std::chrono::milliseconds max_wait {600'000};
};

struct timing_settings {
    std::chrono::milliseconds claim_retention {900'000};
    std::chrono::milliseconds tombstone_retention {86'400'000};
    /// After a shutdown request an entry serves on for this long while /readyz already fails, so
    /// that the balancer stops sending. Afterwards it ends when it is idle, and refuses jobs that
    /// may not end within the limit.
    std::chrono::milliseconds leave_delay {2'000};
    /// A shutdown that has not finished by then ends the process anyway.
    std::chrono::milliseconds shutdown_limit {60'000};
};

struct process_settings {
    std::string name;
    std::string zone;
    std::string region;
    std::string data_folder; ///< Only for control.
    std::vector<role> roles;
    std::string control_listen; ///< Address for links of the control role.
    std::uint16_t control_link_port = 0; ///< 0 when `controls` gives the addresses of the links.
    bool bootstrap = true; ///< The control role may found a group.
    /// Standbys are let into the control group until it has this many members; only with
    /// `control_link_port`.
    std::uint64_t max_control_members = 7;
    /// Control VMs that may be lost at the same time.
    std::uint64_t tolerated_losses = 1;
    std::string entry_listen; ///< Address for links of the entry role.
    std::string entry_http; ///< Address for callers and operators.
    std::chrono::milliseconds announcement_interval {1000}; ///< Of the agent's endpoints.
    std::string agent_announce; ///< Loopback address for endpoints.
    std::string fleet_key; ///< Shared by all processes; empty switches the proof off.
    std::string placement = "least_loaded";
    /// Control members. With `control_link_port` set, only the first ones to ask, at that port.
    std::vector<peer_settings> controls;
    std::vector<peer_settings> entries;
    std::vector<token_settings> tokens; ///< Empty switches access checks off.
    limit_settings limits;
    timing_settings timing;
    std::string log_format = "text";
    std::string log_level = "info";

    [[nodiscard]] bool has(role wanted) const;
};

[[nodiscard]] std::string_view to_string(role which);
/// Peer name of a role of a process, for example `entry.recife-1`.
[[nodiscard]] std::string peer_name(role which, std::string const& process);

/// The control members with the addresses of their links.
[[nodiscard]] std::vector<peer_settings> control_links(process_settings const& settings);

/// All three roles on loopback, without access checks.
[[nodiscard]] process_settings embedded_settings();

} // namespace greengagehead::settings

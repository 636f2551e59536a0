// Catalogue of numbered log events. docs/events.md lists the same numbers and names; CI compares
// the two.

#pragma once

#include <cstdint>
#include <string_view>

namespace greengagehead::base {

enum class severity : std::uint8_t { debug, info, warning, error };

/// Numbers are never reused. Ranges: 1xxx process and transport, 2xxx control, 3xxx entry,
/// 4xxx agent.
enum class log_event : std::uint16_t {
    process_started = 1001,
    process_stopping = 1002,
    process_stopped = 1003,
    settings_reloaded = 1004,
    settings_rejected = 1005,
    log_lines_dropped = 1006,
    listening = 1010,
    peer_connected = 1011,
    peer_disconnected = 1012,
    peer_refused = 1013,
    message_rejected = 1014,
    callback_failed = 1015,
    http_rejected = 1020,
    request_dropped = 1021,
    connections_closed = 1022,
    event_loop_delayed = 1023,
    requests_cut = 1024,
    receive_buffer_refused = 1025,
    lease_granted = 2001,
    entry_joined = 2002,
    entry_removed = 2003,
    view_committed = 2004,
    leadership_gained = 2005,
    leadership_lost = 2006,
    view_in_force = 2007,
    takeover_committed = 2008,
    takeover_notified = 2009,
    join_refused = 2010,
    state_restored = 2011,
    state_damaged = 2012,
    data_set_aside = 2016,
    log_recovered = 2021,
    leader_elected = 2022,
    leader_deposed = 2023,
    members_changed = 2024,
    snapshot_taken = 2025,
    storage_failed = 2026,
    leader_missing = 2027,
    leader_known = 2028,
    storage_recovered = 2029,
    document_stored = 2030,
    operator_request = 2031,
    shares_issued = 2040,
    job_accepted = 3001,
    job_refused = 3002,
    job_finished = 3003,
    job_taken_over = 3004,
    task_placed = 3010,
    task_waiting = 3011,
    task_finished = 3012,
    task_stalled = 3013,
    routes_applied = 3020,
    routes_rejected = 3021,
    request_answered = 3022,
    job_abandoned = 3023,
    control_lost = 3024,
    control_regained = 3025,
    run_given_up = 3026,
    submission_held = 3027,
    submission_released = 3028,
    restarts_counted = 3029,
    submission_restarted = 3030,
    requests_held = 3040,
    hold_memory_exhausted = 3041,
    state_missing = 3042,
    state_recovered = 3043,
    refusals_counted = 3044,
    shares_applied = 3045,
    overload_refusals = 3046,
    endpoint_announced = 4001,
    endpoint_left = 4002,
    start_refused = 4003,
    start_admitted = 4004,
    outcome_recorded = 4005,
    stop_requested = 4006,
    view_adopted = 4007,
    result_dropped = 4008,
    start_unanswered = 4010,
    foreign_run_stopped = 4011,
    worker_settled = 4012,
    worker_unreachable = 4013,
    worker_lost = 4014,
    fence_raised = 4015,
    announcement_rejected = 4016,
    run_lagging = 4017,
    report_rejected = 4018,
    worker_restarted = 4019,
    entry_lost = 4020,
    stop_unconfirmed = 4021,
    lease_withheld = 4022,
    run_end_inferred = 4023,
    end_after_outcome = 4024,
    agent_superseded = 4025,
    incarnation_denied = 4026,
    inferred_ends_counted = 4027,
    inferred_end_recalled = 4028,
};

struct event_description {
    log_event event;
    severity level;
    std::string_view name;
};

/// Returns the level and name of `event`. An event missing from the catalogue has the level error.
[[nodiscard]] event_description describe(log_event event);

} // namespace greengagehead::base

// Level and name of each log event.

#include "base/log_event.h"

#include <algorithm>
#include <array>

namespace greengagehead::base {

namespace {

constexpr std::array catalogue {
    event_description {log_event::process_started, severity::info, "process_started"},
    event_description {log_event::process_stopping, severity::info, "process_stopping"},
    event_description {log_event::process_stopped, severity::info, "process_stopped"},
    event_description {log_event::settings_reloaded, severity::info, "settings_reloaded"},
    event_description {log_event::settings_rejected, severity::error, "settings_rejected"},
    event_description {log_event::log_lines_dropped, severity::warning, "log_lines_dropped"},
    event_description {log_event::listening, severity::info, "listening"},
    event_description {log_event::peer_connected, severity::info, "peer_connected"},
    event_description {log_event::peer_disconnected, severity::warning, "peer_disconnected"},
    event_description {log_event::peer_refused, severity::warning, "peer_refused"},
    event_description {log_event::message_rejected, severity::warning, "message_rejected"},
    event_description {log_event::callback_failed, severity::error, "callback_failed"},
    event_description {log_event::http_rejected, severity::info, "http_rejected"},
    event_description {log_event::request_dropped, severity::info, "request_dropped"},
    event_description {log_event::connections_closed, severity::warning, "connections_closed"},
    event_description {log_event::event_loop_delayed, severity::warning, "event_loop_delayed"},
    event_description {log_event::requests_cut, severity::warning, "requests_cut"},
    event_description {log_event::receive_buffer_refused, severity::warning,
                       "receive_buffer_refused"},
    event_description {log_event::lease_granted, severity::debug, "lease_granted"},
    event_description {log_event::entry_joined, severity::info, "entry_joined"},
    event_description {log_event::entry_removed, severity::warning, "entry_removed"},
    event_description {log_event::view_committed, severity::info, "view_committed"},
    event_description {log_event::leadership_gained, severity::info, "leadership_gained"},
    event_description {log_event::leadership_lost, severity::warning, "leadership_lost"},
    event_description {log_event::view_in_force, severity::info, "view_in_force"},
    event_description {log_event::takeover_committed, severity::warning, "takeover_committed"},
    event_description {log_event::takeover_notified, severity::info, "takeover_notified"},
    event_description {log_event::join_refused, severity::warning, "join_refused"},
    event_description {log_event::state_restored, severity::info, "state_restored"},
    event_description {log_event::state_damaged, severity::error, "state_damaged"},
    event_description {log_event::data_set_aside, severity::error, "data_set_aside"},
    event_description {log_event::log_recovered, severity::info, "log_recovered"},
    event_description {log_event::leader_elected, severity::info, "leader_elected"},
    event_description {log_event::leader_deposed, severity::warning, "leader_deposed"},
    event_description {log_event::members_changed, severity::info, "members_changed"},
    event_description {log_event::snapshot_taken, severity::info, "snapshot_taken"},
    event_description {log_event::storage_failed, severity::error, "storage_failed"},
    event_description {log_event::leader_missing, severity::warning, "leader_missing"},
    event_description {log_event::leader_known, severity::info, "leader_known"},
    event_description {log_event::storage_recovered, severity::warning, "storage_recovered"},
    event_description {log_event::document_stored, severity::info, "document_stored"},
    event_description {log_event::operator_request, severity::info, "operator_request"},
    event_description {log_event::shares_issued, severity::debug, "shares_issued"},
    event_description {log_event::job_accepted, severity::info, "job_accepted"},
    event_description {log_event::job_refused, severity::info, "job_refused"},
    event_description {log_event::job_finished, severity::info, "job_finished"},
    event_description {log_event::job_taken_over, severity::warning, "job_taken_over"},
    event_description {log_event::task_placed, severity::info, "task_placed"},
    event_description {log_event::task_waiting, severity::debug, "task_waiting"},
    event_description {log_event::task_stalled, severity::warning, "task_stalled"},
    event_description {log_event::task_finished, severity::debug, "task_finished"},
    event_description {log_event::routes_applied, severity::info, "routes_applied"},
    event_description {log_event::routes_rejected, severity::error, "routes_rejected"},
    event_description {log_event::request_answered, severity::info, "request_answered"},
    event_description {log_event::job_abandoned, severity::info, "job_abandoned"},
    event_description {log_event::control_lost, severity::warning, "control_lost"},
    event_description {log_event::control_regained, severity::info, "control_regained"},
    event_description {log_event::run_given_up, severity::warning, "run_given_up"},
    event_description {log_event::submission_held, severity::info, "submission_held"},
    event_description {log_event::submission_released, severity::info, "submission_released"},
    event_description {log_event::restarts_counted, severity::warning, "restarts_counted"},
    event_description {log_event::submission_restarted, severity::info, "submission_restarted"},
    event_description {log_event::requests_held, severity::info, "requests_held"},
    event_description {log_event::hold_memory_exhausted, severity::warning,
                       "hold_memory_exhausted"},
    event_description {log_event::state_missing, severity::info, "state_missing"},
    event_description {log_event::state_recovered, severity::info, "state_recovered"},
    event_description {log_event::refusals_counted, severity::info, "refusals_counted"},
    event_description {log_event::shares_applied, severity::debug, "shares_applied"},
    event_description {log_event::overload_refusals, severity::warning, "overload_refusals"},
    event_description {log_event::endpoint_announced, severity::info, "endpoint_announced"},
    event_description {log_event::endpoint_left, severity::info, "endpoint_left"},
    event_description {log_event::start_refused, severity::info, "start_refused"},
    event_description {log_event::start_admitted, severity::debug, "start_admitted"},
    event_description {log_event::outcome_recorded, severity::debug, "outcome_recorded"},
    event_description {log_event::stop_requested, severity::debug, "stop_requested"},
    event_description {log_event::view_adopted, severity::info, "view_adopted"},
    event_description {log_event::result_dropped, severity::warning, "result_dropped"},
    event_description {log_event::start_unanswered, severity::warning, "start_unanswered"},
    event_description {log_event::foreign_run_stopped, severity::warning, "foreign_run_stopped"},
    event_description {log_event::worker_settled, severity::info, "worker_settled"},
    event_description {log_event::worker_unreachable, severity::warning, "worker_unreachable"},
    event_description {log_event::worker_lost, severity::warning, "worker_lost"},
    event_description {log_event::worker_restarted, severity::warning, "worker_restarted"},
    event_description {log_event::entry_lost, severity::warning, "entry_lost"},
    event_description {log_event::stop_unconfirmed, severity::warning, "stop_unconfirmed"},
    event_description {log_event::lease_withheld, severity::warning, "lease_withheld"},
    event_description {log_event::run_end_inferred, severity::warning, "run_end_inferred"},
    event_description {log_event::end_after_outcome, severity::warning, "end_after_outcome"},
    event_description {log_event::agent_superseded, severity::warning, "agent_superseded"},
    event_description {log_event::incarnation_denied, severity::warning, "incarnation_denied"},
    event_description {log_event::inferred_ends_counted, severity::warning,
                       "inferred_ends_counted"},
    event_description {log_event::inferred_end_recalled, severity::warning,
                       "inferred_end_recalled"},
    event_description {log_event::run_lagging, severity::warning, "run_lagging"},
    event_description {log_event::fence_raised, severity::warning, "fence_raised"},
    event_description {log_event::report_rejected, severity::warning, "report_rejected"},
    event_description {log_event::announcement_rejected, severity::warning,
                       "announcement_rejected"},
};

} // namespace

event_description describe(log_event event)
{
    auto const* found
        = std::find_if(catalogue.begin(), catalogue.end(),
                       [event](auto const& candidate) { return candidate.event == event; });
    if (found == catalogue.end())
        return {event, severity::error, "unlisted_event"};
    return *found;
}

} // namespace greengagehead::base

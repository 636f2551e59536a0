// The names in the order of the alternatives.

#include "protocol/message_kind.h"

#include <array>

namespace greengagehead::protocol {

namespace {

constexpr std::array<std::string_view, message_kinds> names {
    "raft_message",  "renew_lease",     "grant_lease",         "not_leader",
    "view_update",   "control_request", "control_reply",       "takeover_notice",
    "job_copy",      "job_copy_ack",    "job_finished_copy",   "job_finished_ack",
    "job_query",     "job_reply",       "job_cancel",          "start_batch",
    "lease_update",  "cancel_batch",    "outcome_query",       "outcome_batch",
    "outcome_ack",   "outcome_report",  "agent_report",        "directory_request",
    "directory",     "lagging_run",     "submissions_running", "submission_claim",
    "claim_verdict", "claim_release",   "claims_held",
};
static_assert(!names.back().empty(), "a message has no name");

} // namespace

std::string_view message_kind_name(std::size_t kind)
{
    return names.at(kind);
}

} // namespace greengagehead::protocol

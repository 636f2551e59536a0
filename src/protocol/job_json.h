// JSON format of job requests and answers in the HTTP interface.

#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "base/error.h"
#include "protocol/job.h"

namespace greengagehead::protocol {

/// Upper bounds for what a caller may submit.
struct job_limits {
    std::size_t tasks = 2000; ///< Tasks in one job.
    std::size_t name_bytes = 200; ///< Length of submission, team, kind, region and zone.
    std::chrono::milliseconds deadline {600'000}; ///< Longest deadline a caller may ask for.
};

/// Parses a job request. `team`, `submission` and at least one task are required.
/// Errors: `error_code::invalid_argument` with a message that names the field.
[[nodiscard]] base::result<job_request> parse_job_request(std::string_view text,
                                                          job_limits const& limits);

/// Returns the JSON text of an answer. Task results are included only if the job is complete.
[[nodiscard]] std::string to_json(job_answer const& answer);

/// Returns the JSON text of a refusal: `{"error": {...}}`, in which `ran` is "none".
[[nodiscard]] std::string refusal_json(base::error const& failure,
                                       std::chrono::milliseconds retry_after);

[[nodiscard]] std::string_view to_string(job_state state);
[[nodiscard]] std::string_view to_string(ran_extent extent);
[[nodiscard]] std::string_view to_string(task_state state);

} // namespace greengagehead::protocol

// Answers about submissions of which this entry has no job.

#pragma once

#include "protocol/job.h"
#include "protocol/message.h"

namespace greengagehead::entry {

/// Answer without results. What has run of the submission is not known.
[[nodiscard]] protocol::job_answer answer_for(protocol::job_request const& request,
                                              protocol::job_state state);
/// Answer that a caller has cancelled the submission.
[[nodiscard]] protocol::job_answer cancelled_answer(protocol::job_request const& request);

} // namespace greengagehead::entry

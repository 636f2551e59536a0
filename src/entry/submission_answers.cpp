// Answers about submissions of which this entry has no job.

#include "entry/submission_answers.h"

#include "entry/job_id.h"

namespace greengagehead::entry {

protocol::job_answer answer_for(protocol::job_request const& request, protocol::job_state state)
{
    protocol::job_answer answer;
    answer.job = job_id_of(request.team, request.submission);
    answer.team = request.team;
    answer.submission = request.submission;
    answer.state = state;
    answer.ran = protocol::ran_extent::unknown;
    return answer;
}

protocol::job_answer cancelled_answer(protocol::job_request const& request)
{
    auto answer = answer_for(request, protocol::job_state::cancelled);
    answer.failure
        = base::error {base::error_code::refused, base::error_step::admission, {}, "cancelled"};
    return answer;
}

} // namespace greengagehead::entry

// Passes runs on to the speeds of the endpoints and to the run times of the tasks.

#include "policy/speed_learner.h"

namespace greengagehead::policy {

using std::chrono::duration_cast;
using std::chrono::microseconds;

void speed_learner::record(learned_run const& run, base::steady_time now)
{
    auto const speed = this->endpoints.speed(run.endpoint, run.agent, now);
    auto const expected = this->run_times.estimate(run.team, run.kind, run.declared);
    // Without samples and without a declared time the estimate is the same for all kinds.
    if (expected.samples > 0 || run.declared > microseconds(0))
        this->endpoints.record({run.endpoint, run.agent, run.run_time, expected.typical}, now);
    auto const normalized = duration_cast<microseconds>(run.run_time * speed);
    this->run_times.record({run.team, run.kind, normalized, run.declared});
}

} // namespace greengagehead::policy

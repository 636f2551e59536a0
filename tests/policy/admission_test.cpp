#include <catch2/catch.hpp>

#include "policy/admission.h"
#include "policy/fair_queue.h"
#include "policy/run_time_estimator.h"
#include "policy/worker_reports.h"

namespace {

using namespace greengagehead;
using namespace greengagehead::policy;
using std::chrono::milliseconds;

} // namespace

SCENARIO("a job is refused only for missing endpoints, full queues or its deadline")
{
    endpoint_table table;
    add_workers(table, 2); // 16 slots
    fair_queue queue;
    run_time_estimator estimator;
    protocol::job_request job {"s", "t", {}, {}};
    job.tasks.resize(160);
    for (auto& task : job.tasks)
        task.kind = "quote";
    auto const check = [&](milliseconds deadline, admission_limits const& limits = {}) {
        return check_admission(job, deadline, limits, table, queue, estimator);
    };
    auto const record_runs = [&] {
        for (int run = 0; run < 50; ++run)
            estimator.record("t", "quote", milliseconds(100));
    };
    // Guards against accepting a job that no endpoint can ever run, and against a final refusal of
    // a kind that may still be announced.
    THEN("the refusal of an unknown kind can be retried, that of an impossible size cannot")
    {
        job.tasks[7].kind = "hold";
        CHECK(check(milliseconds(5000))->retry_after > milliseconds(0));
        job.tasks[7].kind = "quote";
        job.tasks[7].cpu = 64;
        CHECK(check(milliseconds(5000))->retry_after == milliseconds(0));
        job.tasks[7].cpu = 4;
        CHECK_FALSE(check(milliseconds(5000)));
    }
    // Guards against unbounded queues.
    THEN("the limits of the team and of the entry are enforced")
    {
        CHECK(check(milliseconds(5000), {1000, 159}));
        CHECK(check(milliseconds(5000), {159, 1000}));
        CHECK_FALSE(check(milliseconds(5000), {160, 160}));
    }
    // Guards against refusals based on declared times alone.
    THEN("without learned times the deadline refuses nothing")
    {
        job.tasks[0].expected = milliseconds(60'000);
        CHECK_FALSE(check(milliseconds(10)));
    }
    // Guards against accepting jobs that cannot meet their deadline: 160 tasks of 100 ms on 16
    // slots take 1 s.
    THEN("learned times and slots bound the earliest end")
    {
        record_runs();
        CHECK(check(milliseconds(950)));
        CHECK_FALSE(check(milliseconds(1050)));
    }
    // Guards against refusing a team because another team has many waiting tasks: each gets half of
    // the slots.
    THEN("another team's backlog counts only up to its fair share")
    {
        record_runs();
        for (std::uint32_t index = 0; index < 10'000; ++index)
            queue.push({{"f", index}, "flood", "c", milliseconds(100), {}});
        CHECK(check(milliseconds(1900)));
        CHECK_FALSE(check(milliseconds(2100)));
    }
    // Guards against an estimate that ignores the quota: 160 tasks of 100 ms on 4 slots take 4 s.
    THEN("a quota limits the slots of a team")
    {
        record_runs();
        queue.set_share("t", {1, 4});
        CHECK(check(milliseconds(3900)));
        CHECK_FALSE(check(milliseconds(4100)));
    }
}

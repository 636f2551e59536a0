// Queue ordered by the latest start, and admission by target, under overload.

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <deque>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include <rapidcheck/catch.h>

#include "policy/endpoint_table.h"
#include "policy/target_admission.h"
#include "policy/target_queue.h"
#include "policy/worker_reports.h"

namespace {

using namespace greengagehead;
using namespace greengagehead::policy;
using std::chrono::microseconds;
using std::chrono::milliseconds;

base::steady_time const start {std::chrono::hours(1)};

target_task make_task(std::uint32_t index, milliseconds latest, std::string const& group = "c",
                      microseconds work = milliseconds(10))
{
    return {{"job", index}, group, work, start + latest};
}

bool any_class(std::string const& /*name*/)
{
    return true;
}

/// One kind of the users' requests. Their jobs have eight, four and two tasks, with about 6
/// processors each.
struct load_kind {
    double per_second;
    std::uint32_t tasks;
    milliseconds run_time;
    milliseconds target;
};
constexpr std::array load_mix {load_kind {34.4, 8, milliseconds(60), milliseconds(156)},
                               load_kind {6.25, 4, milliseconds(900), milliseconds(1500)},
                               load_kind {100.0, 2, milliseconds(200), milliseconds(380)}};
/// Slots for the tasks of the mix, which needs about 79 at its usual rate.
constexpr std::uint32_t slot_count = 75;

struct arrival {
    base::steady_time at;
    std::size_t kind;
};

std::vector<arrival> make_arrivals(std::uint64_t seed, milliseconds length, double factor)
{
    std::mt19937_64 random(seed);
    std::vector<arrival> all;
    for (std::size_t kind = 0; kind < load_mix.size(); ++kind) {
        std::exponential_distribution<double> gap(load_mix.at(kind).per_second * factor);
        for (double at = gap(random); at * 1000 < static_cast<double>(length.count());
             at += gap(random))
            all.push_back({start + microseconds(static_cast<std::int64_t>(at * 1e6)), kind});
    }
    std::sort(all.begin(), all.end(), [](auto const& a, auto const& b) { return a.at < b.at; });
    return all;
}

struct outcome {
    std::array<std::uint32_t, load_mix.size()> submitted_jobs {};
    std::array<std::uint32_t, load_mix.size()> in_target {};

    [[nodiscard]] double share(std::size_t kind) const
    {
        return static_cast<double>(this->in_target.at(kind)) / this->submitted_jobs.at(kind);
    }
    [[nodiscard]] std::uint32_t total() const
    {
        return this->in_target[0] + this->in_target[1] + this->in_target[2];
    }
};

/// Simulates arrivals on `slot_count` equal slots, with the target policies or with a queue served
/// first in, first out and no refusals.
class load_simulation {
public:
    explicit load_simulation(bool by_target) : by_target(by_target)
    {
        protocol::agent_report report;
        report.agent = {"agent.1", 1};
        protocol::endpoint_state endpoint;
        endpoint.name = "e";
        endpoint.kinds = {"k"};
        endpoint.slots = slot_count;
        report.endpoints = {endpoint};
        this->endpoints.update(report, start);
        this->endpoints.set_agent_registered(report.agent);
    }

    outcome run(std::vector<arrival> const& arrivals)
    {
        for (auto const& item : arrivals) {
            this->advance(item.at);
            this->submit(item);
            this->start_tasks(item.at);
        }
        this->advance(start + std::chrono::hours(1));
        return this->result;
    }

private:
    struct job {
        std::size_t kind;
        base::steady_time submitted;
        std::uint32_t left;
    };

    void submit(arrival const& item)
    {
        auto const& kind = load_mix.at(item.kind);
        ++this->result.submitted_jobs.at(item.kind);
        protocol::job_request request;
        request.tasks.resize(kind.tasks);
        for (auto& task : request.tasks)
            task.kind = "k";
        auto const latest = item.at + kind.target - kind.run_time;
        auto const work = microseconds(kind.run_time) * kind.tasks;
        if (this->by_target
            && check_target({&request, work, latest}, this->endpoints, this->queue, item.at))
            return;
        auto const id = std::to_string(this->jobs.size());
        this->jobs[id] = {item.kind, item.at, kind.tasks};
        for (std::uint32_t index = 0; index < kind.tasks; ++index) {
            if (this->by_target)
                this->queue.push({{id, index}, "c", kind.run_time, latest});
            else
                this->fifo.push_back({id, index});
        }
    }

    void start_tasks(base::steady_time now)
    {
        while (this->running.size() < slot_count) {
            std::string id;
            if (this->by_target) {
                auto const taken = this->queue.take(&any_class);
                if (!taken)
                    return;
                id = taken->task.job;
            } else {
                if (this->fifo.empty())
                    return;
                id = this->fifo.front().job;
                this->fifo.pop_front();
            }
            this->running.emplace(now + load_mix.at(this->jobs[id].kind).run_time, id);
        }
    }

    void advance(base::steady_time now)
    {
        while (!this->running.empty() && this->running.begin()->first <= now) {
            auto const [time, id] = *this->running.begin();
            this->running.erase(this->running.begin());
            auto& ended = this->jobs[id];
            if (--ended.left == 0 && time - ended.submitted <= load_mix.at(ended.kind).target)
                ++this->result.in_target.at(ended.kind);
            this->drop_overdue(time);
            this->start_tasks(time);
        }
    }

    void drop_overdue(base::steady_time now)
    {
        for (auto const& task : this->queue.overdue(now)) {
            auto const& late = this->jobs[task.job];
            if (late.left == load_mix.at(late.kind).tasks)
                this->queue.remove(task);
        }
    }

    bool by_target;
    endpoint_table endpoints;
    target_queue queue;
    std::deque<protocol::task_ref> fifo;
    std::map<std::string, job> jobs;
    std::multimap<base::steady_time, std::string> running;
    outcome result;
};

} // namespace

SCENARIO("a target queue orders and counts its tasks", "[policy][target]")
{
    GIVEN("tasks of two classes")
    {
        target_queue queue;
        queue.push(make_task(0, milliseconds(500)));
        queue.push(make_task(1, milliseconds(100), "d"));
        queue.push(make_task(2, milliseconds(300)));

        // Guards against urgent tasks waiting behind tasks that can wait longer.
        THEN("the task with the earliest latest start is taken first")
        {
            CHECK(queue.take(&any_class)->task.index == 1);
            CHECK(queue.take(&any_class)->task.index == 2);
            CHECK(queue.take(&any_class)->task.index == 0);
            CHECK_FALSE(queue.take(&any_class));
        }
        // Guards against tasks without a free endpoint blocking other tasks.
        THEN("a class without a free endpoint is skipped")
        {
            auto const taken = queue.take([](std::string const& name) { return name == "c"; });
            CHECK(taken->task.index == 2);
        }
        // Guards against refusing a job because of work that is served after it.
        THEN("only work that is served earlier is counted")
        {
            CHECK(queue.work_before(start + milliseconds(320)) == milliseconds(20));
        }
        // Guards against running tasks that can no longer meet their target.
        THEN("tasks past their latest start are returned as overdue")
        {
            CHECK(queue.overdue(start + milliseconds(200)).size() == 1);
        }
    }
    // Guards against sums that drift away from the waiting tasks, which would make all later
    // admission decisions wrong.
    THEN("the sums equal those of the waiting tasks after any sequence of operations")
    {
        CHECK(rc::check([] {
            target_queue queue;
            std::map<std::uint32_t, microseconds> waiting;
            for (int step = 0; step < 60; ++step) {
                auto const index = *rc::gen::inRange<std::uint32_t>(0, 20);
                auto const work = microseconds(*rc::gen::inRange(1, 1000));
                auto const latest = milliseconds(*rc::gen::inRange(0, 400));
                if (*rc::gen::arbitrary<bool>()) {
                    queue.push(make_task(index, latest, "c", work));
                    waiting.emplace(index, work);
                } else {
                    RC_ASSERT(queue.remove({"job", index}) == (waiting.erase(index) == 1));
                }
                microseconds sum {0};
                for (auto const& [key, part] : waiting)
                    sum += part;
                RC_ASSERT(queue.size() == waiting.size());
                RC_ASSERT(queue.work_before(start + milliseconds(1000)) == sum);
            }
        }));
    }
}

SCENARIO("jobs arrive faster than the endpoints can run them", "[policy][target]")
{
    GIVEN("the users' mix of requests at 1.2 times their usual rate")
    {
        auto const arrivals = make_arrivals(20261204, std::chrono::seconds(30), 1.2);
        auto const ordered = load_simulation(true).run(arrivals);
        auto const plain = load_simulation(false).run(arrivals);

        // Guards against a queue in which every answer is late.
        THEN("more callers get their answer within the target than with first in, first out")
        {
            CHECK(ordered.total() > plain.total());
        }
        // Guards against starvation. The users require that the share of each kind is at least half
        // of the share of all jobs.
        THEN("no kind is starved")
        {
            auto const whole = static_cast<double>(ordered.total())
                / (ordered.submitted_jobs[0] + ordered.submitted_jobs[1]
                   + ordered.submitted_jobs[2]);
            for (std::size_t kind = 0; kind < load_mix.size(); ++kind)
                CHECK(ordered.share(kind) >= whole / 2);
        }
    }
    GIVEN("waiting work that takes 32 of the 100 ms until the latest start")
    {
        endpoint_table endpoints;
        add_workers(endpoints, 1);
        target_queue queue;
        queue.push(make_task(0, milliseconds(50), "c", milliseconds(32) * 8));
        protocol::job_request request;
        request.tasks.resize(1);
        request.tasks.front().kind = "quote";
        auto const refused = [&](std::uint32_t priority) {
            request.priority = priority;
            return check_target({&request, milliseconds(8), start + milliseconds(100)}, endpoints,
                                queue, start);
        };
        // Guards against refusing jobs with a high priority together with less urgent ones.
        THEN("only jobs of the highest priority are admitted")
        {
            CHECK_FALSE(refused(0));
            CHECK(refused(1));
            CHECK(refused(2));
        }
        // Guards against callers that retry before the queue has drained far enough.
        THEN("the retry time grows with the excess, and has a minimum")
        {
            CHECK(refused(1)->retry_after >= milliseconds(200));
            CHECK(refused(1)->retry_after <= refused(2)->retry_after);
        }
    }
    GIVEN("no usable endpoint")
    {
        endpoint_table endpoints;
        target_queue queue;
        protocol::job_request request;
        request.tasks.resize(1);
        request.tasks.front().kind = "k";
        // Guards against callers that wait for an endpoint that does not exist.
        THEN("the job is refused at once, with a retry time")
        {
            auto const refused = check_target(
                {&request, milliseconds(60), start + milliseconds(100)}, endpoints, queue, start);
            REQUIRE(refused);
            CHECK(refused->retry_after > milliseconds(0));
        }
    }
}

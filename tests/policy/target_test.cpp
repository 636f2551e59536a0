// Order by latest start and refusal by target: what callers get in a burst.

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
#include "policy/fleet.h"
#include "policy/target_admission.h"
#include "policy/target_queue.h"

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

/// One kind of the users' requests: eight, four and two tasks, with about 6 processors each.
struct load_kind {
    double per_second;
    std::uint32_t tasks;
    milliseconds run_time;
    milliseconds target;
};
constexpr std::array load {load_kind {34.4, 8, milliseconds(60), milliseconds(156)},
                           load_kind {6.25, 4, milliseconds(900), milliseconds(1500)},
                           load_kind {100.0, 2, milliseconds(200), milliseconds(380)}};
constexpr std::uint32_t places = 75; // Tasks that run at a time; the load needs about 79.

struct arrival {
    base::steady_time at;
    std::size_t kind;
};

std::vector<arrival> make_arrivals(std::uint64_t seed, milliseconds length, double factor)
{
    std::mt19937_64 random(seed);
    std::vector<arrival> all;
    for (std::size_t kind = 0; kind < load.size(); ++kind) {
        std::exponential_distribution<double> gap(load.at(kind).per_second * factor);
        for (double at = gap(random); at * 1000 < static_cast<double>(length.count());
             at += gap(random))
            all.push_back({start + microseconds(static_cast<std::int64_t>(at * 1e6)), kind});
    }
    std::sort(all.begin(), all.end(), [](auto const& a, auto const& b) { return a.at < b.at; });
    return all;
}

struct outcome {
    std::array<std::uint32_t, load.size()> asked {};
    std::array<std::uint32_t, load.size()> in_target {};

    [[nodiscard]] double share(std::size_t kind) const
    {
        return static_cast<double>(this->in_target.at(kind)) / this->asked.at(kind);
    }
    [[nodiscard]] std::uint32_t total() const
    {
        return this->in_target[0] + this->in_target[1] + this->in_target[2];
    }
};

/// Plays arrivals on `places` equal places, by the target policies or first in, first out.
class player {
public:
    explicit player(bool by_target) : by_target(by_target)
    {
        protocol::agent_report report;
        report.agent = {"agent.1", 1};
        protocol::endpoint_state endpoint;
        endpoint.name = "e";
        endpoint.kinds = {"k"};
        endpoint.slots = places;
        report.endpoints = {endpoint};
        this->endpoints.update(report, start);
        this->endpoints.set_agent_registered(report.agent);
    }

    outcome play(std::vector<arrival> const& arrivals)
    {
        for (auto const& item : arrivals) {
            this->advance(item.at);
            this->submit(item);
            this->fill(item.at);
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
        auto const& kind = load.at(item.kind);
        ++this->result.asked.at(item.kind);
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

    void fill(base::steady_time now)
    {
        while (this->running.size() < places) {
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
            this->running.emplace(now + load.at(this->jobs[id].kind).run_time, id);
        }
    }

    void advance(base::steady_time now)
    {
        while (!this->running.empty() && this->running.begin()->first <= now) {
            auto const [time, id] = *this->running.begin();
            this->running.erase(this->running.begin());
            auto& ended = this->jobs[id];
            if (--ended.left == 0 && time - ended.submitted <= load.at(ended.kind).target)
                ++this->result.in_target.at(ended.kind);
            this->drop_overdue(time);
            this->fill(time);
        }
    }

    void drop_overdue(base::steady_time now)
    {
        for (auto const& task : this->queue.overdue(now)) {
            auto const& late = this->jobs[task.job];
            if (late.left == load.at(late.kind).tasks)
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

SCENARIO("tasks wait for endpoints", "[policy][target]")
{
    GIVEN("tasks of two classes")
    {
        target_queue queue;
        queue.push(make_task(0, milliseconds(500)));
        queue.push(make_task(1, milliseconds(100), "d"));
        queue.push(make_task(2, milliseconds(300)));

        THEN("the earliest latest start comes first")
        {
            CHECK(queue.take(&any_class)->task.index == 1);
            CHECK(queue.take(&any_class)->task.index == 2);
            CHECK(queue.take(&any_class)->task.index == 0);
            CHECK_FALSE(queue.take(&any_class));
        }
        // Guards against tasks that fit nowhere holding up those that do.
        THEN("a class without room is passed over")
        {
            auto const taken = queue.take([](std::string const& name) { return name == "c"; });
            CHECK(taken->task.index == 2);
        }
        THEN("only work that is served earlier counts as ahead")
        {
            CHECK(queue.work_before(start + milliseconds(320)) == milliseconds(20));
        }
        THEN("tasks past their latest start are named")
        {
            CHECK(queue.overdue(start + milliseconds(200)).size() == 1);
        }
    }
    // Guards against sums that drift from the tasks, which would refuse or admit wrongly for good.
    THEN("the sums equal those of the waiting tasks after any operations")
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

SCENARIO("more work comes than the endpoints can do", "[policy][target]")
{
    GIVEN("the users' mix of requests, a fifth above what the endpoints can do")
    {
        auto const arrivals = make_arrivals(20261204, std::chrono::seconds(30), 1.2);
        auto const ordered = player(true).play(arrivals);
        auto const plain = player(false).play(arrivals);

        // Guards against a queue in which every answer is late.
        THEN("more callers get their answer within the target than first in, first out")
        {
            CHECK(ordered.total() > plain.total());
        }
        // The users' bound: no kind is served less than half as often as the whole.
        THEN("no kind starves")
        {
            auto const whole = static_cast<double>(ordered.total())
                / (ordered.asked[0] + ordered.asked[1] + ordered.asked[2]);
            for (std::size_t kind = 0; kind < load.size(); ++kind)
                CHECK(ordered.share(kind) >= whole / 2);
        }
    }
    GIVEN("waiting work that takes 23 of the 100 ms until the latest start")
    {
        endpoint_table endpoints;
        add_workers(endpoints, 1);
        target_queue queue;
        queue.push(make_task(0, milliseconds(50), "c", milliseconds(23) * 8));
        protocol::job_request request;
        request.tasks.resize(1);
        request.tasks.front().kind = "quote";
        auto const refused = [&](std::uint32_t priority) {
            request.priority = priority;
            return check_target({&request, milliseconds(8), start + milliseconds(100)}, endpoints,
                                queue, start);
        };
        // Guards against jobs that the operators put first being refused together with those that
        // can wait.
        THEN("only jobs of the first priority are admitted")
        {
            CHECK_FALSE(refused(0));
            CHECK(refused(1));
            CHECK(refused(2));
        }
        THEN("the time to come back grows with the excess, and has a least value")
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
        // Guards against a caller that waits for an endpoint which does not exist.
        THEN("the job is refused at once, with a time to come back")
        {
            auto const refused = check_target(
                {&request, milliseconds(60), start + milliseconds(100)}, endpoints, queue, start);
            REQUIRE(refused);
            CHECK(refused->retry_after > milliseconds(0));
        }
    }
}

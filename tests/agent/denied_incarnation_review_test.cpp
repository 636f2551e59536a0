// Review of issue 44: denials, other ids and other starts beside answers that are late, overtake
// each other or leave out the start, and the time until the end of a life is noticed.

#include <catch2/catch.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "agent/leased_runner.h"
#include "agent/simulated_worker.h"

namespace {

using namespace greengagehead;
using namespace greengagehead::agent;
using namespace greengagehead::agent::fakes;
using protocol::outcome_kind;
using std::chrono::milliseconds;

constexpr milliseconds step {10};
constexpr milliseconds work {600};

/// Changes or holds back what a worker answers. As the protocol says, only lists name a start.
class altered_answers : public leased_worker {
public:
    explicit altered_answers(leased_worker& actual) : worker(actual) { }

    void start(call_context const& context, worker_run const& run, protocol::task_start const& task,
               worker_clock lease_until, std::function<void(worker_reply const&)> done) override
    {
        if (this->refuses_connections)
            return this->refused.push_back([done] { done({worker_answer::not_sent, {}, {}}); });
        this->worker.start(context, run, task, lease_until, without_start(std::move(done)));
    }
    void stop(call_context const& context, worker_run const& run,
              std::function<void(worker_reply const&)> done) override
    {
        if (this->refuses_connections)
            return this->refused.push_back([done] { done({worker_answer::not_sent, {}, {}}); });
        this->worker.stop(context, run, without_start(std::move(done)));
    }
    void report(call_context const& context, worker_clock lease_until, std::uint64_t last_seen_end,
                milliseconds wait, std::function<void(worker_report const&)> done) override
    {
        if (this->refuses_connections)
            return this->refused.push_back([done] {
                done({{worker_answer::not_sent, {}, {}}, {}, {}});
            });
        this->worker.report(context, lease_until, last_seen_end, wait,
                            [this, context, done = std::move(done)](worker_report made) {
                                if (this->alter)
                                    this->alter(made);
                                if (this->holds && this->holds(context))
                                    return this->held.push_back(
                                        [done, made = std::move(made)] { done(made); });
                                done(made);
                            });
    }
    void release() { deliver(this->held); }
    void release_refused() { deliver(this->refused); }

    /// No call reaches the worker, which goes on. `release_refused` tells so.
    bool refuses_connections = false;
    std::function<void(worker_report&)> alter; ///< Of answered reports.
    std::function<bool(call_context const&)> holds; ///< Whether an answer waits for `release`.
    std::vector<std::function<void()>> held;

private:
    static void deliver(std::vector<std::function<void()>>& waiting)
    {
        for (auto const& answer : std::exchange(waiting, {}))
            answer();
    }
    static std::function<void(worker_reply const&)>
    without_start(std::function<void(worker_reply const&)> done)
    {
        return [done = std::move(done)](worker_reply answered) {
            answered.born.reset();
            done(answered);
        };
    }

    leased_worker& worker;
    std::vector<std::function<void()>> refused;
};

struct review_fixture {
    review_fixture() : answers(worker), runner(answers, {}, 100, [this] { return this->now; })
    {
        this->worker.stop_duration = milliseconds(30);
        this->runner.announced({this->worker.id, this->worker.born}, this->worker.clock);
        this->advance(milliseconds(1050));
    }

    void start(std::string const& name, milliseconds duration,
               std::optional<base::steady_time> permitted_until = {})
    {
        run_request request;
        if (permitted_until)
            request.permitted_until = [end = *permitted_until] { return end; };
        request.task.task = {"job-" + name, 0};
        request.task.name = name;
        request.task.payload = std::to_string(duration.count());
        request.start_before = this->now + milliseconds(1000);
        this->runner.start(request, [this, name](run_result result, base::steady_time) {
            // Guards against outcomes that let a task start elsewhere beside its run.
            CHECK_FALSE(this->worker.runs(name));
            this->results[name] = std::move(result);
        });
    }
    void start_two()
    {
        this->start("a.0.0.0", work);
        this->start("b.0.0.0", work);
        this->advance(milliseconds(100));
        REQUIRE(this->worker.runs("a.0.0.0"));
        REQUIRE(this->worker.runs("b.0.0.0"));
    }
    void stop(std::string const& name) { this->runner.stop({}, {"job-" + name, 0}); }
    void advance(milliseconds duration)
    {
        for (auto const end = this->now + duration; this->now < end;) {
            this->now += step;
            this->worker.advance(step);
            this->answers.release_refused();
            this->runner.tick();
        }
    }
    void restart(std::string const& id, std::uint64_t born)
    {
        this->worker.crash();
        this->worker.restart(born);
        this->worker.id = id;
    }
    void announce()
    {
        this->runner.announced({this->worker.id, this->worker.born}, this->worker.clock);
    }
    /// Time until each run has an outcome, `limit` at most.
    milliseconds time_to_give_up(std::size_t runs, milliseconds limit)
    {
        milliseconds passed {0};
        for (; this->results.size() < runs && passed < limit; passed += step)
            this->advance(step);
        CHECK(this->results.size() == runs);
        return passed;
    }
    [[nodiscard]] bool succeeded(std::string const& name) const
    {
        auto const found = this->results.find(name);
        return found != this->results.end() && found->second.kind == outcome_kind::succeeded;
    }
    void check_two_succeed()
    {
        this->advance(work + milliseconds(200));
        CHECK(this->succeeded("a.0.0.0"));
        CHECK(this->succeeded("b.0.0.0"));
    }
    void check_serves()
    {
        this->advance(milliseconds(100));
        this->start("z.0.0.0", milliseconds(50));
        this->advance(milliseconds(300));
        CHECK(this->succeeded("z.0.0.0"));
    }
    static bool names_id(leased_worker::call_context const& call)
    {
        return !call.incarnation.id.empty();
    }

    base::steady_time now {std::chrono::hours(1)};
    simulated_worker worker;
    altered_answers answers;
    leased_runner runner;
    std::map<std::string, run_result> results;
};

} // namespace

// Guards against runs that are told as ended while the worker goes on with them.
SCENARIO("a worker that lives answers oddly beside other troubles", "[agent][leased][review]")
{
    GIVEN("a worker with two runs, whose answers to orders do not name its start")
    {
        review_fixture fixture;
        fixture.start_two();
        WHEN("it denies its id while a start is in flight")
        {
            fixture.start("c.0.0.0", milliseconds(50));
            fixture.worker.denies = review_fixture::names_id;
            auto const duration = GENERATE(milliseconds(10), milliseconds(200));
            fixture.advance(duration);
            fixture.worker.denies = {};
            THEN("the runs go on, and that start has an outcome")
            {
                fixture.check_two_succeed();
                CHECK(fixture.results.contains("c.0.0.0"));
                fixture.check_serves();
            }
        }
        WHEN("it denies a start that is sent at that moment")
        {
            fixture.worker.denies = review_fixture::names_id;
            fixture.start("c.0.0.0", milliseconds(50));
            fixture.advance(milliseconds(20));
            fixture.worker.denies = {};
            THEN("the runs go on, and the denied start is given up soon")
            {
                fixture.advance(milliseconds(250));
                CHECK(fixture.results.contains("c.0.0.0"));
                CHECK(fixture.worker.starts == 2);
                fixture.check_two_succeed();
                fixture.check_serves();
            }
        }
        WHEN("a start is in flight when it takes another id, and it announces that 1 s later")
        {
            fixture.start("d.0.0.0", milliseconds(4000));
            fixture.advance(milliseconds(50));
            fixture.worker.id = "i-9";
            fixture.start("c.0.0.0", milliseconds(50));
            fixture.advance(milliseconds(1000));
            fixture.announce();
            // Guards against a denied start that keeps the lease of all runs from being extended.
            THEN("the other runs go on, and that start is given up")
            {
                fixture.check_two_succeed();
                CHECK(fixture.results.contains("c.0.0.0"));
                fixture.advance(milliseconds(3500));
                CHECK(fixture.succeeded("d.0.0.0"));
            }
        }
        WHEN("it denies its id while a stop is on its way, and leaves out what it stops")
        {
            fixture.worker.lists_stopping_runs = false;
            fixture.worker.lost_stops = GENERATE(false, true);
            fixture.stop("a.0.0.0");
            fixture.worker.denies = review_fixture::names_id;
            fixture.advance(milliseconds(150));
            fixture.worker.denies = {};
            fixture.worker.lost_stops = false;
            THEN("the run ends by its row, and the other one goes on")
            {
                fixture.advance(milliseconds(200));
                REQUIRE(fixture.results.contains("a.0.0.0"));
                CHECK(fixture.results.at("a.0.0.0").kind == outcome_kind::cancelled);
                fixture.advance(work);
                CHECK(fixture.succeeded("b.0.0.0"));
                fixture.check_serves();
            }
        }
        WHEN("it denies a call, and the denial is late by 0.9 s")
        {
            fixture.worker.denies = [](auto const&) { return true; };
            fixture.answers.holds = [](auto const&) { return true; };
            fixture.advance(3 * step);
            fixture.worker.denies = {};
            fixture.answers.holds = {};
            REQUIRE_FALSE(fixture.answers.held.empty());
            fixture.start("c.0.0.0", milliseconds(1500));
            fixture.advance(milliseconds(900));
            fixture.answers.release();
            THEN("the run that was started meanwhile goes on")
            {
                fixture.advance(milliseconds(900));
                CHECK(fixture.succeeded("c.0.0.0"));
                fixture.check_two_succeed();
            }
        }
        WHEN("it denies its id from now on, and answers calls without one")
        {
            fixture.start("c.0.0.0", milliseconds(4000));
            fixture.advance(milliseconds(50));
            fixture.worker.denies = review_fixture::names_id;
            THEN("a run that is longer than the lease goes on")
            {
                fixture.advance(milliseconds(4200));
                CHECK(fixture.succeeded("c.0.0.0"));
                fixture.check_two_succeed();
                CHECK_FALSE(fixture.runner.available());
            }
        }
        WHEN("it calls itself by two ids in turn, and announces both")
        {
            for (int turn = 0; turn < 20; ++turn) {
                fixture.worker.id = turn % 2 == 0 ? "i-9" : "i-1";
                if (turn % 3 != 0)
                    fixture.announce();
                fixture.advance(milliseconds(20));
            }
            fixture.announce();
            THEN("the runs go on")
            {
                fixture.check_two_succeed();
                fixture.check_serves();
            }
        }
        WHEN("some answers name another start")
        {
            auto const difference = GENERATE(-3, -1, 1, 1000);
            auto const odd_answers = GENERATE(1, 2, 5, 40);
            bool const denies = GENERATE(false, true);
            CAPTURE(difference, odd_answers, denies);
            int left = odd_answers;
            fixture.answers.alter = [&left, difference](worker_report& made) {
                if (left-- > 0 && made.reply.born)
                    made.reply.born = 5 + difference;
            };
            if (denies)
                fixture.worker.denies = review_fixture::names_id;
            fixture.advance(milliseconds(30));
            fixture.worker.denies = {};
            fixture.advance(milliseconds(500));
            fixture.answers.alter = {};
            THEN("the runs go on")
            {
                fixture.check_two_succeed();
                fixture.announce();
                fixture.check_serves();
            }
        }
        WHEN("one answer names the start 0, and the worker restarts under its id later")
        {
            bool const denies = GENERATE(false, true);
            CAPTURE(denies);
            int left = 1;
            fixture.answers.alter = [&left](worker_report& made) {
                if (left-- > 0)
                    made.reply.born = 0;
            };
            if (denies)
                fixture.worker.denies = review_fixture::names_id;
            fixture.advance(milliseconds(50));
            fixture.worker.denies = {};
            fixture.advance(milliseconds(50));
            CHECK(fixture.results.empty());
            // Guards against a runner that no longer recognizes lives by their start.
            THEN("it is still recognized by its start")
            {
                CHECK(fixture.runner.current_incarnation() == worker_incarnation {"i-1", 5});
                fixture.restart("i-1", 6);
                CHECK(fixture.time_to_give_up(2, milliseconds(400)) <= milliseconds(300));
            }
        }
    }
}

// Guards against conclusions from answers of another process, of another agent process, or of a
// former life.
SCENARIO("a denial beside another life or another process", "[agent][leased][review]")
{
    GIVEN("a worker with two runs, whose answers to orders do not name its start")
    {
        review_fixture fixture;
        fixture.start_two();
        WHEN("another process has taken over, and the worker denies its id")
        {
            (void)fixture.worker.begin_report({1'000'000, {}}, worker_clock(0), 0);
            fixture.worker.denies = review_fixture::names_id;
            fixture.advance(milliseconds(60));
            fixture.worker.denies = {};
            fixture.advance(milliseconds(60));
            THEN("this process is superseded, and tells no outcome")
            {
                CHECK(fixture.results.empty());
                CHECK_FALSE(fixture.runner.available());
                auto const calls = fixture.worker.reports;
                fixture.advance(milliseconds(200));
                CHECK(fixture.worker.reports == calls);
            }
        }
        WHEN("answers of the former life arrive after those of the next one")
        {
            fixture.worker.denies = review_fixture::names_id;
            fixture.answers.holds = [](auto const& call) { return call.incarnation.id.empty(); };
            fixture.advance(milliseconds(40));
            REQUIRE_FALSE(fixture.answers.held.empty());
            fixture.worker.denies = {};
            fixture.answers.holds = {};
            fixture.restart("i-9", 6);
            fixture.advance(milliseconds(60));
            REQUIRE(fixture.results.size() == 2);
            fixture.announce();
            fixture.start("c.0.0.0", milliseconds(300));
            fixture.answers.release();
            fixture.start("d.0.0.0", milliseconds(300));
            THEN("the next life is still the present one, and its runs go on")
            {
                fixture.advance(milliseconds(400));
                CHECK(fixture.runner.current_incarnation() == worker_incarnation {"i-9", 6});
                fixture.check_serves();
            }
        }
        WHEN("a life begins between the question for the start and its answer, and another one")
        {
            fixture.worker.denies = review_fixture::names_id;
            fixture.advance(milliseconds(20));
            fixture.worker.denies = {};
            fixture.restart("i-9", 6);
            fixture.answers.holds = [](auto const&) { return true; };
            fixture.advance(milliseconds(20));
            fixture.answers.holds = {};
            fixture.restart("i-8", 7);
            fixture.answers.release();
            THEN("the latest one is followed")
            {
                fixture.advance(milliseconds(250));
                CHECK(fixture.results.size() == 2);
                CHECK(fixture.runner.current_incarnation().born == 7);
                fixture.announce();
                fixture.check_serves();
            }
        }
        WHEN("a start is lost, the worker changes its id, and the next life has the former one")
        {
            fixture.worker.lists_stopping_runs = false;
            fixture.worker.lost_starts = true;
            fixture.start("c.0.0.0", work);
            fixture.advance(step);
            fixture.worker.lost_starts = false;
            fixture.worker.id = "i-9";
            fixture.announce();
            fixture.stop("c.0.0.0");
            fixture.advance(step);
            fixture.restart("i-1", 6);
            fixture.worker.carry_out_lost_orders();
            REQUIRE(fixture.worker.runs("c.0.0.0"));
            fixture.announce();
            // Guards against an end that is concluded while the next life is stopping the run.
            THEN("that start is told as ended after the next life has stopped it")
            {
                fixture.advance(milliseconds(300));
                CHECK(fixture.results.size() == 3);
                CHECK_FALSE(fixture.worker.runs("c.0.0.0"));
            }
        }
    }
    GIVEN("an agent that has not settled, whose worker has a run of a former process")
    {
        review_fixture fixture;
        protocol::task_start task;
        task.payload = std::to_string(work.count());
        leased_runner later(fixture.answers, {}, 1000, [&fixture] { return fixture.now; });
        (void)fixture.worker.carry_out_start({500, {}}, {"a.0.0.0", 1}, task,
                                             fixture.worker.clock + milliseconds(900));
        later.announced({"i-1", 5}, fixture.worker.clock);
        auto const advance = [&](milliseconds duration) {
            for (auto const end = fixture.now + duration; fixture.now < end;) {
                fixture.advance(step);
                later.tick();
            }
        };
        WHEN("the worker denies every call until the lease has ended")
        {
            fixture.worker.denies = [](auto const&) { return true; };
            for (int passed = 0; passed < 300; ++passed) {
                advance(step);
                // The former process may go on extending the lease.
                REQUIRE_FALSE(later.settled());
            }
            fixture.worker.denies = {};
            THEN("it settles once the worker has accepted a call and nothing can run any more")
            {
                for (int passed = 0; passed < 150 && !later.settled(); ++passed)
                    advance(step);
                CHECK(later.settled());
                CHECK_FALSE(fixture.worker.runs("a.0.0.0"));
            }
        }
        WHEN("the worker denies its id for a moment")
        {
            fixture.worker.denies = review_fixture::names_id;
            advance(milliseconds(50));
            fixture.worker.denies = {};
            THEN("it settles after the run of the former process has ended")
            {
                for (int passed = 0; passed < 300 && !later.settled(); ++passed)
                    advance(step);
                CHECK(later.settled());
                CHECK_FALSE(fixture.worker.runs("a.0.0.0"));
                CHECK(later.available());
            }
        }
    }
}

// Guards against runs that keep their entries waiting for a worker that is gone.
SCENARIO("a worker is gone, and another life runs at its address", "[agent][leased][review]")
{
    GIVEN("a worker with two runs, whose answers to orders do not name its start")
    {
        review_fixture fixture;
        fixture.start_two();
        WHEN("the next life has another id and does not announce itself")
        {
            fixture.restart("i-9", 6);
            THEN("the runs are given up within some milliseconds")
            {
                CHECK(fixture.time_to_give_up(2, milliseconds(3000)) <= milliseconds(60));
            }
        }
        WHEN("the next life has another id and announces itself at once")
        {
            fixture.restart("i-9", 6);
            fixture.announce();
            THEN("the runs are given up within some milliseconds")
            {
                CHECK(fixture.time_to_give_up(2, milliseconds(3000)) <= milliseconds(60));
            }
        }
        WHEN("the next life has another id, an earlier start, and announces itself")
        {
            fixture.restart("i-9", 4);
            fixture.announce();
            THEN("the runs are given up when it has refused them")
            {
                CHECK(fixture.time_to_give_up(2, milliseconds(3000)) <= milliseconds(250));
            }
        }
        WHEN("the next life has the same id")
        {
            fixture.restart("i-1", 6);
            THEN("the runs are given up when it has refused them")
            {
                CHECK(fixture.time_to_give_up(2, milliseconds(3000)) <= milliseconds(250));
            }
        }
        WHEN("the worker refuses connections for 300 ms before the next life")
        {
            fixture.worker.crash();
            fixture.advance(milliseconds(300));
            fixture.restart("i-9", 6);
            THEN("the runs are given up within some milliseconds")
            {
                CHECK(fixture.time_to_give_up(2, milliseconds(3000)) <= milliseconds(60));
            }
        }
        WHEN("the worker refuses connections from now on")
        {
            fixture.worker.crash();
            THEN("the runs are given up when their lease has lapsed")
            {
                CHECK(fixture.time_to_give_up(2, milliseconds(3000)) <= milliseconds(1100));
            }
        }
        WHEN("a start has no answer, and the next life has another id and is never announced")
        {
            fixture.worker.lost_starts = true;
            fixture.start("c.0.0.0", milliseconds(50));
            fixture.advance(step);
            fixture.worker.lost_starts = false;
            fixture.restart("i-9", 6);
            THEN("the next life refuses that run, and it is given up")
            {
                CHECK(fixture.time_to_give_up(3, milliseconds(5000)) <= milliseconds(500));
            }
        }
    }
}

// Guards against an outcome that lets a task start again while its row waits at the worker. An end
// counts as read unless the lease of the worker has lapsed before.
SCENARIO("a run ends as done while its worker cannot be asked", "[agent][leased][review]")
{
    GIVEN("a worker with two runs")
    {
        review_fixture fixture;
        fixture.start_two();
        WHEN("calls get no answer, and may have renewed the lease")
        {
            fixture.worker.silent = true;
            fixture.advance(milliseconds(3000));
            CHECK(fixture.results.empty());
            AND_WHEN("it answers again")
            {
                fixture.worker.silent = false;
                fixture.advance(milliseconds(200));
                THEN("the rows are read")
                {
                    CHECK(fixture.succeeded("a.0.0.0"));
                    CHECK(fixture.succeeded("b.0.0.0"));
                }
            }
        }
        WHEN("it refuses connections until the lease has almost lapsed")
        {
            fixture.answers.refuses_connections = true;
            fixture.advance(milliseconds(900));
            fixture.answers.refuses_connections = false;
            fixture.advance(milliseconds(200));
            THEN("the rows are read")
            {
                CHECK(fixture.succeeded("a.0.0.0"));
                CHECK(fixture.succeeded("b.0.0.0"));
            }
        }
        WHEN("it refuses connections from now on")
        {
            fixture.answers.refuses_connections = true;
            fixture.time_to_give_up(2, milliseconds(2000));
            CHECK_FALSE(fixture.worker.runs("a.0.0.0"));
            THEN("the runs are given up after the lease has lapsed, and the rows change nothing")
            {
                CHECK(fixture.worker.clock >= fixture.worker.lease_end);
                CHECK(fixture.results.at("a.0.0.0").kind == outcome_kind::unknown);
                fixture.answers.refuses_connections = false;
                fixture.advance(milliseconds(300));
                CHECK(fixture.results.at("a.0.0.0").kind == outcome_kind::unknown);
                fixture.check_serves();
            }
        }
    }
}

// Guards against a run that is told as ended while a later start of another run keeps up the lease.
SCENARIO("the next life of a worker under its id answers starts only", "[agent][leased][review]")
{
    GIVEN("a worker that has restarted unnoticed, because its reports get no answer")
    {
        review_fixture fixture;
        fixture.worker.silent = true;
        fixture.restart("i-1", 6);
        WHEN("two runs start there, 0.6 s apart, and it is silent then")
        {
            fixture.start("a.0.0.0", milliseconds(0), fixture.now + milliseconds(700));
            fixture.advance(milliseconds(600));
            fixture.start("b.0.0.0", milliseconds(0), fixture.now + milliseconds(5000));
            fixture.advance(milliseconds(20));
            REQUIRE(fixture.worker.runs("a.0.0.0"));
            REQUIRE(fixture.worker.runs("b.0.0.0"));
            THEN("both are given up after its lease has ended")
            {
                fixture.time_to_give_up(2, milliseconds(3000));
            }
        }
    }
}

namespace {

/// Random troubles of a worker and of the way to it, one draw a statement.
class random_troubles {
public:
    random_troubles(review_fixture& target, std::uint64_t seed) : fixture(target), random(seed) { }

    void play(milliseconds duration)
    {
        auto& answers = this->fixture.answers;
        answers.alter = [this](worker_report& made) {
            if (!made.reply.born || !this->odd_starts || !this->chance(30))
                return;
            auto const kind = this->random() % 4;
            if (kind == 0)
                made.reply.born.reset();
            else
                made.reply.born = *made.reply.born + kind - 2;
        };
        answers.holds = [this](auto const&) { return this->holds && this->chance(20); };
        for (milliseconds passed {0}; passed < duration; passed += step) {
            if (this->chance(30))
                this->start_one();
            if (this->chance(8))
                this->change();
            if (this->chance(10))
                answers.release();
            this->fixture.advance(step);
        }
    }
    /// The worker goes on without troubles.
    void end()
    {
        auto& worker = this->fixture.worker;
        this->odd_starts = false;
        this->holds = false;
        this->fixture.answers.refuses_connections = false;
        this->fixture.answers.release();
        worker.denies = {};
        worker.silent = false;
        worker.lost_starts = false;
        worker.lost_stops = false;
        worker.lists_stopping_runs = true;
        this->fixture.announce();
    }

    std::size_t started = 0;

private:
    bool chance(unsigned percent) { return this->random() % 100 < percent; }
    void start_one()
    {
        auto const duration = milliseconds(20 + this->random() % 1200);
        this->fixture.start("t" + std::to_string(++this->started), duration);
    }
    void change()
    {
        auto& worker = this->fixture.worker;
        auto const id = "i-" + std::to_string(this->random() % 3);
        switch (this->random() % 14) {
        case 0:
            worker.denies = review_fixture::names_id;
            break;
        case 1:
            worker.denies = [](auto const&) { return true; };
            break;
        case 2:
        case 3:
            worker.denies = {};
            break;
        case 4:
            worker.id = id;
            break;
        case 5:
            if (!worker.denies)
                this->fixture.announce();
            break;
        case 6:
            this->fixture.restart(id, worker.born + 10);
            break;
        case 7:
            worker.lost_starts = !worker.lost_starts;
            break;
        case 8:
            worker.lost_stops = !worker.lost_stops;
            break;
        case 9:
            this->odd_starts = !this->odd_starts;
            worker.lists_stopping_runs = !worker.lists_stopping_runs;
            break;
        case 10:
            this->holds = !this->holds;
            break;
        case 11:
            this->fixture.answers.refuses_connections = !this->fixture.answers.refuses_connections;
            break;
        case 12:
            worker.silent = !worker.silent;
            break;
        default:
            this->fixture.stop("t" + std::to_string(this->started));
            worker.carry_out_lost_orders();
        }
    }

    review_fixture& fixture;
    std::mt19937_64 random;
    bool odd_starts = false;
    bool holds = false;
};

} // namespace

// Guards against combinations that nobody has thought of: `review_fixture` checks that no outcome
// is told while the run is on the worker.
SCENARIO("denials mix with other lives and late answers", "[agent][leased][review]")
{
    auto const first = std::getenv("GH_DENIAL_SEED");
    auto const count = std::getenv("GH_DENIAL_SEEDS");
    auto const begin = first == nullptr ? 1 : std::stoull(first);
    auto const end = begin + (count == nullptr ? 40 : std::stoull(count));
    for (auto seed = begin; seed < end; ++seed) {
        CAPTURE(seed);
        review_fixture fixture;
        random_troubles troubles(fixture, seed);
        troubles.play(milliseconds(4000));
        troubles.end();
        fixture.advance(milliseconds(1500));
        // Late answers may have named another start since the last announcement.
        fixture.announce();
        fixture.advance(milliseconds(1500));
        CHECK(fixture.results.size() == troubles.started);
        fixture.check_serves();
    }
}

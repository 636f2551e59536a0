// Callers send HTTP requests to a real listener of an entry. Control and agents are simulated, and
// their virtual clock follows real time.

#include <catch2/catch.hpp>

#include <optional>
#include <string>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "entry/simulated_fleet.h"
#include "platform/entry_adapter.h"
#include "platform/free_address.h"
#include "transport/event_loop.h"
#include "transport/http_client.h"

namespace {

using namespace greengagehead;
using namespace greengagehead::test;
using transport::http_client_response;
using transport::http_method;

constexpr auto routing_text = R"({"version":7,
    "routes":[{"name":"r-1","host":"a.example","path_prefix":"/q/","kind":"unsafe","timeout_ms":6000,
               "target_latency_ms":60,"priority":0,"service":"quote","max_attempts":3,"stretch":1.6}],
    "services":[{"name":"quote"}],"limits":{}})";
constexpr auto job_text = R"({"spec":"text","best_effort":true,
    "steps":[{"count":2,"cpu":10,"mem_mb":1,"estimate_ms":1500}]})";

struct entry_fixture {
    // The simulated control acts at multiples of 200 ms, so the clock starts at a whole second.
    explicit entry_fixture(policy::recovery_hold_limits hold = {},
                           milliseconds max_loop_delay = milliseconds(0))
        : fleet(1,
                base::steady_time(std::chrono::floor<std::chrono::seconds>(
                    std::chrono::steady_clock::now().time_since_epoch())))
    {
        this->fleet.recovery_hold = hold;
        this->fleet.max_loop_delay = max_loop_delay;
        auto& core = this->fleet.add_entry("entry.a", "recife");
        for (auto const* name : {"agent.1", "agent.2"})
            this->fleet.add_agent(name, "recife").run_time = milliseconds(1500);
        this->settings.caller_address = free_address(this->loop);
        this->settings.readiness_address = free_address(this->loop);
        this->adapter = platform::make_entry_adapter(this->loop, core, this->settings);
        REQUIRE(this->adapter->open());
        this->clock_timer = this->loop.every(milliseconds(5), [this] {
            auto const now = std::chrono::steady_clock::now();
            if (now > this->fleet.now)
                this->fleet.run(std::chrono::duration_cast<milliseconds>(now - this->fleet.now));
            this->adapter->tick(now);
        });
    }

    void run_for(milliseconds duration)
    {
        auto const stop = this->loop.after(duration, [this] { this->loop.stop(); });
        this->loop.run();
    }

    /// Returns false if `done` does not become true within 500 steps of 10 ms.
    bool run_until(std::function<bool()> const& done)
    {
        for (int step = 0; step < 500 && !done(); ++step)
            this->run_for(milliseconds(10));
        return done();
    }

    void configure()
    {
        this->fleet.control.view.routing = {7, routing_text};
        this->fleet.control.new_view(this->fleet);
        REQUIRE(this->run_until([this] { return this->ready_code() == 200; }));
    }

    /// Sends a job. Without a response, the caller closes its connection after `client_timeout`.
    std::shared_ptr<std::optional<http_client_response>>
    post(std::string const& path, milliseconds client_timeout = milliseconds(6000))
    {
        auto answer = std::make_shared<std::optional<http_client_response>>();
        this->client.send({http_method::post,
                           this->settings.caller_address,
                           path,
                           {{"Host", "a.example"}, {"Greengagehead-Deadline-Ms", "6000"}},
                           job_text,
                           client_timeout},
                          [answer](http_client_response&& response) { *answer = response; });
        return answer;
    }

    /// Sends a job and closes the connection while the entry reads nothing.
    /// @param following bytes that are sent behind the job.
    void post_and_close(std::string const& path, std::string const& following)
    {
        auto const target = transport::to_sockaddr(this->settings.caller_address);
        int const socket = ::socket(AF_INET, SOCK_STREAM, 0);
        REQUIRE(connect(socket, reinterpret_cast<sockaddr const*>(&target), sizeof target) == 0);
        std::string const body = job_text;
        auto const sent = "POST " + path + " HTTP/1.1\r\nHost: a.example\r\nContent-Length: "
            + std::to_string(body.size()) + "\r\n\r\n" + body + following;
        REQUIRE(send(socket, sent.data(), sent.size(), 0) == static_cast<ssize_t>(sent.size()));
        close(socket);
    }

    int ready_code()
    {
        std::optional<int> code;
        this->client.send({http_method::get,
                           this->settings.readiness_address,
                           "/ready",
                           {},
                           "",
                           milliseconds(2000)},
                          [&code](http_client_response&& response) { code = response.code; });
        this->run_until([&code] { return code.has_value(); });
        return code.value_or(0);
    }

    [[nodiscard]] std::size_t held_requests()
    {
        return this->fleet.entries.at("entry.a")->status(this->fleet.now).held_requests;
    }

    [[nodiscard]] std::size_t active_runs() const
    {
        std::size_t all = 0;
        for (auto const& [name, agent] : this->fleet.agents)
            all += agent.running();
        return all;
    }

    transport::event_loop loop;
    simulated_fleet fleet;
    platform::entry_adapter_settings settings;
    std::unique_ptr<app::role_adapter> adapter;
    transport::http_client client {loop};
    std::unique_ptr<transport::loop_timer> clock_timer;
};

} // namespace

SCENARIO("an entry serves a caller of the platform", "[platform][entry]")
{
    GIVEN("an entry without a routing document")
    {
        entry_fixture entry;
        // Guards against a balancer that sends callers to an entry without routes.
        THEN("it is not ready and refuses")
        {
            auto const answer = entry.post("/q/0123456789abcdef");
            CHECK(entry.ready_code() == 503);
            REQUIRE(entry.run_until([&] { return answer->has_value(); }));
            CHECK((*answer)->code == 503);
            CHECK((*answer)->headers.count("retry-after") == 1);
            CHECK(entry.fleet.runs.empty());
        }
        WHEN("the document arrives")
        {
            entry.configure();
            // Guards against a balancer that sends callers to an entry that has not found its
            // agents yet.
            THEN("it is ready once it knows an endpoint, and serves jobs of its routes")
            {
                auto const served = entry.post("/q/0123456789abcdef");
                auto const unknown = entry.post("/other/0123456789abcdef");
                REQUIRE(entry.run_until([&] { return served->has_value(); }));
                CHECK((*served)->code == 200);
                CHECK((*served)->body == R"({"state":"completed"})");
                REQUIRE(unknown->has_value());
                CHECK((*unknown)->code == 404);
            }
        }
    }
}

SCENARIO("a request arrives before the routing document", "[platform][entry][recovery]")
{
    GIVEN("an entry that holds requests for up to 3 s after its start")
    {
        entry_fixture entry({milliseconds(3000), 1U << 20U});
        auto const answer = entry.post("/q/0123456789abcdef", milliseconds(4000));
        auto const elsewhere = entry.post("/other/0123456789abcdef", milliseconds(4000));
        REQUIRE(entry.run_until([&] { return entry.held_requests() == 2; }));

        // Guards against refusing callers during a recovery that ends in time.
        WHEN("the document arrives")
        {
            entry.configure();
            THEN("the job runs, and a request without a route gets 404")
            {
                REQUIRE(
                    entry.run_until([&] { return answer->has_value() && elsewhere->has_value(); }));
                CHECK((*answer)->code == 200);
                CHECK((*elsewhere)->code == 404);
                CHECK(entry.fleet.runs.size() == 2);
            }
        }
        // Guards against callers that wait although the entry stops.
        WHEN("the entry stops")
        {
            entry.fleet.entries.at("entry.a")->stop_holding(entry.fleet.now);
            THEN("both are refused at once")
            {
                REQUIRE(
                    entry.run_until([&] { return answer->has_value() && elsewhere->has_value(); }));
                CHECK((*answer)->code == 503);
                CHECK((*elsewhere)->code == 503);
            }
        }
    }
    GIVEN("an entry that holds requests for up to 600 ms")
    {
        entry_fixture entry({milliseconds(600), 1U << 20U});
        // Guards against running a job for a caller that has gone to another entry.
        WHEN("the caller closes its connection and the document arrives")
        {
            auto const answer = entry.post("/q/0123456789abcdef", milliseconds(200));
            REQUIRE(entry.run_until([&] { return answer->has_value(); }));
            REQUIRE(entry.run_until([&] { return entry.held_requests() == 0; }));
            entry.configure();
            THEN("nothing runs")
            {
                entry.run_for(milliseconds(100));
                CHECK(entry.fleet.runs.empty());
            }
        }
        // Guards against callers that wait for control members which do not come back.
        WHEN("the document does not arrive")
        {
            auto const answer = entry.post("/q/0123456789abcdef");
            THEN("the caller is refused when the time of a recovery is over")
            {
                REQUIRE(entry.run_until([&] { return answer->has_value(); }));
                CHECK((*answer)->code == 503);
                CHECK((*answer)->headers.count("retry-after") == 1);
                CHECK(entry.fleet.runs.empty());
            }
        }
    }
    // Guards against holding requests that no configuration will serve.
    GIVEN("an entry with a routing document whose agents are not heard")
    {
        entry_fixture entry({milliseconds(3000), 1U << 20U});
        for (auto const& [name, agent] : entry.fleet.agents)
            entry.fleet.isolated.insert(name);
        entry.fleet.control.view.routing = {7, routing_text};
        entry.fleet.control.new_view(entry.fleet);
        entry.run_for(milliseconds(300));
        THEN("a request without a route gets 404 at once, and a job is held")
        {
            auto const unknown = entry.post("/other/0123456789abcdef");
            auto const job = entry.post("/q/0123456789abcdef");
            REQUIRE(entry.run_until([&] { return unknown->has_value(); }));
            CHECK((*unknown)->code == 404);
            CHECK(entry.held_requests() == 1);
            CHECK_FALSE(job->has_value());
        }
    }
}

SCENARIO("callers of a running job disconnect", "[platform][entry]")
{
    GIVEN("a job that runs")
    {
        entry_fixture entry;
        entry.configure();
        auto const first = entry.post("/q/0123456789abcdef", milliseconds(700));
        REQUIRE(entry.run_until([&] { return entry.active_runs() == 2; }));

        // Guards against runs that occupy slots although their caller has disconnected.
        WHEN("its only caller disconnects")
        {
            REQUIRE(entry.run_until([&] { return first->has_value(); }));
            THEN("its runs are stopped")
            {
                entry.run_for(milliseconds(200));
                CHECK(entry.active_runs() == 0);
            }
        }
        // Guards against stopping a job while another caller waits for it.
        WHEN("a second caller waits for the same job and the first disconnects")
        {
            auto const second = entry.post("/q/0123456789abcdef");
            REQUIRE(entry.run_until([&] { return first->has_value(); }));
            THEN("the second is answered")
            {
                REQUIRE(entry.run_until([&] { return second->has_value(); }));
                CHECK((*second)->code == 200);
                CHECK(entry.fleet.runs.size() == 2);
            }
        }
        // Guards against counting a disconnected caller as one that still waits.
        WHEN("a second caller disconnects as well")
        {
            auto const second = entry.post("/q/0123456789abcdef", milliseconds(700));
            REQUIRE(entry.run_until([&] { return first->has_value() && second->has_value(); }));
            THEN("the runs are stopped")
            {
                entry.run_for(milliseconds(200));
                CHECK(entry.active_runs() == 0);
            }
        }
    }
}

// Guards against tasks that run twice: an entry that wakes from a pause reads requests whose
// callers have closed their connections since and sent the jobs to another entry.
SCENARIO("a caller leaves before the entry reads its request", "[platform][entry]")
{
    for (auto const* following : {"", "GET /q/ HTTP/1.1\r\nHost: a.example\r\n\r\n"}) {
        GIVEN("an entry that is paused while a caller sends a job and closes its connection"
              + std::string(*following != 0 ? ", with a request behind the job" : ""))
        {
            entry_fixture entry;
            entry.configure();
            entry.post_and_close("/q/0123456789abcdef", following);
            WHEN("the entry goes on")
            {
                entry.run_for(milliseconds(300));
                THEN("no task starts, and later callers are served")
                {
                    CHECK(entry.fleet.runs.empty());
                    auto const served = entry.post("/q/0123456789abcdef");
                    REQUIRE(entry.run_until([&] { return served->has_value(); }));
                    CHECK((*served)->code == 200);
                }
            }
        }
    }
}

SCENARIO("an entry of the platform shuts down", "[platform][entry]")
{
    GIVEN("a job that runs")
    {
        entry_fixture entry;
        entry.configure();
        auto const answer = entry.post("/q/0123456789abcdef");
        REQUIRE(entry.run_until([&] { return entry.active_runs() == 2; }));

        // Guards against losing a request in a planned restart.
        WHEN("the entry is told to shut down")
        {
            entry.adapter->begin_shutdown(std::chrono::steady_clock::now());
            THEN("it is not ready, is busy until the job has ended, and answers it")
            {
                CHECK(entry.ready_code() == 503);
                CHECK_FALSE(entry.adapter->idle());
                REQUIRE(entry.run_until([&] { return answer->has_value(); }));
                CHECK((*answer)->code == 200);
                CHECK(entry.adapter->idle());
            }
        }
    }
}

SCENARIO("an entry of the platform finds no endpoint", "[platform][entry]")
{
    GIVEN("a routing document and agents without network")
    {
        entry_fixture entry;
        for (auto const& [name, agent] : entry.fleet.agents)
            entry.fleet.isolated.insert(name);
        entry.fleet.control.view.routing = {7, routing_text};
        entry.fleet.control.new_view(entry.fleet);
        entry.run_for(milliseconds(500));
        CHECK(entry.ready_code() == 503);

        // Guards against a site without any ready entry, and thus without any response, while its
        // workers are unreachable.
        THEN("it becomes ready all the same, and refuses at once")
        {
            REQUIRE(entry.run_until([&] { return entry.ready_code() == 200; }));
            auto const answer = entry.post("/q/0123456789abcdef");
            REQUIRE(entry.run_until([&] { return answer->has_value(); }));
            CHECK((*answer)->code == 503);
            CHECK(entry.fleet.runs.empty());
        }
    }
}

SCENARIO("an entry of the platform runs behind its requests", "[platform][entry][overload]")
{
    GIVEN("a job that runs at an entry whose loop is late")
    {
        entry_fixture entry({}, milliseconds(20));
        entry.configure();
        auto const running = entry.post("/q/0123456789abcdef");
        REQUIRE(entry.run_until([&] { return entry.active_runs() == 2; }));
        auto const runs = entry.fleet.runs.size();
        for (auto& [name, agent] : entry.fleet.agents)
            agent.run_time = milliseconds(20);
        entry.fleet.run_behind("entry.a");

        // Guards against requests that are all read and all answered late.
        THEN("the next request is refused before its body is read, and the job starts nothing")
        {
            auto const refused = entry.post("/q/00000000000000aa");
            REQUIRE(entry.run_until([&] { return refused->has_value(); }));
            CHECK((*refused)->code == 503);
            CHECK(std::stoi((*refused)->headers.find("retry-after")->second) >= 1);
            CHECK(entry.fleet.entries.at("entry.a")->counters().overload_refusals == 1);
            CHECK(entry.fleet.runs.size() == runs);
        }
        // Guards against telling a caller that a job will not run that has run.
        THEN("a further request of the job is answered with its result")
        {
            auto const again = entry.post("/q/0123456789abcdef");
            REQUIRE(entry.run_until([&] { return again->has_value(); }));
            CHECK((*again)->code == 200);
        }
    }
}

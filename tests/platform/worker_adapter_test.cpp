// A worker and other writers send announcements to a real listener of an agent, which runs tasks on
// the worker.

#include <catch2/catch.hpp>

#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include "agent/agent_core.h"
#include "agent/agent_fixture.h"
#include "platform/free_address.h"
#include "platform/worker_adapter.h"
#include "platform/worker_stand_in.h"
#include "transport/event_loop.h"
#include "transport/http_client.h"

namespace {

using namespace greengagehead;
using namespace greengagehead::test;
using agent::run_result;
using nlohmann::json;
using std::chrono::milliseconds;
using transport::http_method;

struct agent_fixture {
    explicit agent_fixture(std::uint64_t first_born = 1'700'000'000'000) : worker(loop)
    {
        this->worker.born = first_born;
        this->adapter = platform::make_worker_adapter(
            this->loop, {this->announcement_address, this->worker.address, {}, ""});
        this->core = std::make_unique<agent::agent_core>(
            agent::agent_settings {}, this->sender, this->adapter->runner(), base::steady_now());
        this->adapter->connect(*this->core);
        REQUIRE(this->adapter->open());
        this->ticks = this->loop.every(milliseconds(10),
                                       [this] { this->adapter->tick(base::steady_now()); });
        REQUIRE(this->announce(this->worker.announcement()) == 200);
        REQUIRE(this->run_until([this] { return this->adapter->ready(); }));
    }

    void run_for(milliseconds duration)
    {
        auto const stop = this->loop.after(duration, [this] { this->loop.stop(); });
        this->loop.run();
    }

    /// Returns false if `done` does not become true within 300 steps of 10 ms.
    bool run_until(std::function<bool()> const& done)
    {
        for (int step = 0; step < 300 && !done(); ++step)
            this->run_for(milliseconds(10));
        return done();
    }

    /// Sends an announcement and returns the status of the answer.
    int announce(stand_in_announcement const& sent)
    {
        std::optional<int> code;
        this->client.send({http_method::post,
                           this->announcement_address,
                           "/Instances.Heartbeat/" + sent.id,
                           {},
                           sent.body.dump(),
                           milliseconds(2000)},
                          [&code](auto&& response) { code = response.code; });
        this->run_until([&code] { return code.has_value(); });
        return code.value_or(0);
    }

    /// Sends a deregistration and returns the status of the answer.
    int deregister(std::string const& id)
    {
        std::optional<int> code;
        this->client.send({http_method::post,
                           this->announcement_address,
                           "/Instances.Deregister/" + id,
                           {},
                           "{}",
                           milliseconds(2000)},
                          [&code](auto&& response) { code = response.code; });
        this->run_until([&code] { return code.has_value(); });
        return code.value_or(0);
    }

    /// Names of the endpoints that the agent offers to entries.
    std::vector<std::string> offered()
    {
        this->core->peer_up("entry.a", base::steady_now());
        auto const report = this->sender.to<protocol::agent_report>("entry.a").back();
        std::vector<std::string> names;
        for (auto const& endpoint : report.endpoints)
            names.push_back(endpoint.name);
        return names;
    }

    /// Starts a run of the task, which the worker must list.
    void start(std::string const& name)
    {
        agent::run_request request;
        request.task.task = {"job", 0};
        request.task.name = name;
        request.task.attempt = 1;
        request.start_before = base::steady_now() + milliseconds(2000);
        this->adapter->runner().start(request, [this](run_result result, base::steady_time) {
            this->results.push_back(std::move(result));
        });
        REQUIRE(this->run_until([&] { return this->worker.running.contains(name); }));
    }

    transport::event_loop loop;
    worker_stand_in worker;
    transport::socket_address announcement_address = free_address(loop);
    agent::fakes::recording_sender sender;
    transport::http_client client {loop};
    std::unique_ptr<app::agent_adapter> adapter;
    std::unique_ptr<agent::agent_core> core;
    std::unique_ptr<transport::loop_timer> ticks;
    std::vector<run_result> results;
};

} // namespace

// Guards against tasks that run twice after an announcement of another writer, and against refusing
// the worker from then on.
SCENARIO("another writer announces a worker to an agent", "[platform][worker]")
{
    GIVEN("an agent whose worker runs a task")
    {
        agent_fixture agent;
        agent.start("a.0.0.0");
        auto odd = agent.worker.announcement();
        auto const send_odd = [&] {
            auto const status = agent.announce(odd);
            agent.run_for(milliseconds(100));
            return status;
        };

        WHEN("the announcement names another id, address and service, and a later start")
        {
            odd.id = "i-other";
            odd.body["address"] = "127.0.0.9:8080";
            odd.body["service"] = "pool-7";
            odd.body["born"] = agent.worker.born + 1;
            THEN("it is refused, the run goes on, and the worker is still followed")
            {
                CHECK(send_odd() == 400);
                CHECK(agent.results.empty());
                CHECK(agent.announce(agent.worker.announcement()) == 200);
            }
        }
        WHEN("it names the worker's id and service, and a later start")
        {
            odd.body["born"] = agent.worker.born + 1;
            THEN("it is refused, the run goes on, and the worker is still followed")
            {
                CHECK(send_odd() == 400);
                CHECK(agent.results.empty());
                CHECK(agent.announce(agent.worker.announcement()) == 200);
            }
        }
        WHEN("it names this incarnation of the worker and another service")
        {
            odd.body["service"] = "pool-7";
            THEN("it is refused, and the run goes on")
            {
                CHECK(send_odd() == 400);
                CHECK(agent.results.empty());
            }
        }
        // Guards against a worker that confirms an id which it was never asked for: a header does
        // not carry all ids as they are.
        for (std::string const id : {"i-1%20", "%20i-1", "i-1%09", "i-1%0D%0AX-Other:%20b",
                                     "i-1%0A", "i-%FF", "i-%C3%A9"}) {
            WHEN("its id is no header value: " + id)
            {
                odd.id = id;
                odd.body["seq"] = 1000;
                THEN("it is refused, the run goes on, and the worker keeps its id")
                {
                    CHECK(send_odd() == 400);
                    CHECK(agent.results.empty());
                    CHECK(agent.announce(agent.worker.announcement()) == 200);
                    CHECK(agent.offered().size() == 1);
                }
            }
        }
        WHEN("it names another id while the worker does not answer")
        {
            odd.id = "i-other";
            odd.body["born"] = agent.worker.born + 1;
            agent.worker.silent = true;
            THEN("the sender is asked to repeat it, and the run goes on")
            {
                CHECK(agent.announce(odd) == 503);
                agent.worker.silent = false;
                CHECK(agent.results.empty());
            }
        }
    }
}

// Guards against an announcement of another writer that hides all later ones of the worker.
SCENARIO("another writer announces a worker with a high sequence number", "[platform][worker]")
{
    GIVEN("a worker that was announced as ready by another writer too")
    {
        agent_fixture agent;
        auto odd = agent.worker.announcement();
        odd.body["seq"] = 100'000;
        REQUIRE(agent.announce(odd) == 200);
        auto const drains = [&agent] {
            agent.core->peer_up("entry.a", base::steady_now());
            auto const report = agent.sender.to<protocol::agent_report>("entry.a").back();
            REQUIRE(report.endpoints.size() == 1);
            return report.endpoints.front().draining;
        };
        REQUIRE_FALSE(drains());

        WHEN("the worker says that it drains")
        {
            auto draining = agent.worker.announcement();
            draining.body["state"] = "draining";
            CHECK(agent.announce(draining) == 200);
            THEN("it gets no new work")
            {
                CHECK(drains());
            }
            AND_WHEN("an earlier announcement of it arrives late, or the other writer's again")
            {
                odd.body["seq"] = 100'001;
                CHECK(agent.announce(odd) == 200);
                auto late = agent.worker.announcement();
                late.body["seq"] = 1;
                CHECK(agent.announce(late) == 200);
                THEN("it still gets no new work")
                {
                    CHECK(drains());
                }
            }
        }
    }
}

// Guards against a worker that is refused for good because another writer was the first to announce
// its incarnation.
SCENARIO("another writer announces a service for a worker that has just started",
         "[platform][worker]")
{
    GIVEN("a worker that has restarted, and is announced with another service before it does it")
    {
        agent_fixture agent;
        agent.worker.restart("i-2");
        auto odd = agent.worker.announcement();
        odd.body["service"] = "pool-7";
        odd.body["seq"] = 1000;
        REQUIRE(agent.announce(odd) == 200);

        WHEN("the worker announces itself, and again later")
        {
            CHECK(agent.announce(agent.worker.announcement()) == 400);
            agent.run_for(milliseconds(1100));
            THEN("it is followed with its own service")
            {
                CHECK(agent.announce(agent.worker.announcement()) == 200);
                agent.core->peer_up("entry.a", base::steady_now());
                auto const report = agent.sender.to<protocol::agent_report>("entry.a").back();
                REQUIRE(report.endpoints.size() == 1);
                CHECK(report.endpoints.front().kinds == std::vector<std::string> {"s1"});
            }
        }
    }
}

// Guards against an announcement that was held up and displaces a later incarnation.
SCENARIO("an announcement arrives after its sender has ended", "[platform][worker]")
{
    GIVEN("an agent whose worker does not state its start, has restarted and runs a task")
    {
        agent_fixture agent(0);
        auto const late = agent.worker.announcement();
        agent.worker.restart("i-2");
        REQUIRE(agent.announce(agent.worker.announcement()) == 200);
        agent.start("a.0.0.0");
        WHEN("an announcement of the former incarnation arrives")
        {
            auto const status = agent.announce(late);
            agent.run_for(milliseconds(100));
            THEN("it is refused, and the run goes on")
            {
                CHECK(status == 400);
                CHECK(agent.results.empty());
            }
        }
    }
}

// Guards against tasks that are started elsewhere although the new incarnation runs them.
SCENARIO("a worker restarts under its id and announces itself later", "[platform][worker]")
{
    GIVEN("a restarted worker that has accepted a start before its announcement")
    {
        agent_fixture agent;
        agent.worker.restart("i-1");
        agent.start("a.0.0.0");
        WHEN("it announces itself")
        {
            agent.run_for(milliseconds(50));
            CHECK(agent.announce(agent.worker.announcement()) == 200);
            agent.run_for(milliseconds(100));
            THEN("the run goes on")
            {
                CHECK(agent.results.empty());
                CHECK(agent.worker.running.contains("a.0.0.0"));
            }
        }
    }
}

// Guards against a worker that gets no work for good, or loses its run, after a deregistration that
// was held up: it names only the id, which the next incarnation may have too.
SCENARIO("a deregistration arrives late", "[platform][worker]")
{
    GIVEN("a worker that has restarted under its id, has announced itself and runs a task")
    {
        agent_fixture agent;
        agent.worker.restart("i-1");
        REQUIRE(agent.announce(agent.worker.announcement()) == 200);
        agent.start("a.0.0.0");
        REQUIRE(agent.offered().size() == 1);

        WHEN("a deregistration of another id arrives")
        {
            CHECK(agent.deregister("i-0") == 200);
            agent.run_for(milliseconds(100));
            THEN("the worker is still offered, and the run goes on")
            {
                CHECK(agent.offered().size() == 1);
                CHECK(agent.results.empty());
            }
        }
        WHEN("the deregistration of the former incarnation arrives, twice")
        {
            CHECK(agent.deregister("i-1") == 200);
            CHECK(agent.deregister("i-1") == 200);
            agent.run_for(milliseconds(100));
            THEN("the worker is not offered, and the run goes on")
            {
                CHECK(agent.offered().empty());
                CHECK(agent.results.empty());
                CHECK(agent.worker.running.contains("a.0.0.0"));
            }
            AND_WHEN("the worker announces itself again")
            {
                CHECK(agent.announce(agent.worker.announcement()) == 200);
                agent.run_for(milliseconds(100));
                THEN("it is offered, and the run goes on")
                {
                    CHECK(agent.offered().size() == 1);
                    CHECK(agent.results.empty());
                    CHECK(agent.worker.running.contains("a.0.0.0"));
                }
            }
        }
    }
}

// Guards against a live worker that gets no work any more because its announcements count as late.
SCENARIO("a worker calls itself by another id", "[platform][worker][review]")
{
    GIVEN("a worker that has announced itself a few times and runs a task")
    {
        agent_fixture agent;
        for (int count = 0; count < 3; ++count)
            REQUIRE(agent.announce(agent.worker.announcement()) == 200);
        agent.start("a.0.0.0");
        REQUIRE(agent.offered() == std::vector<std::string> {"i-1/1700000000000"});

        WHEN("it announces another id with the same start, and counts its announcements anew")
        {
            agent.worker.rename("i-9");
            CHECK(agent.announce(agent.worker.announcement()) == 200);
            agent.run_for(milliseconds(100));
            THEN("the run goes on, and further ones start there")
            {
                CHECK(agent.results.empty());
                agent.start("b.0.0.0");
                CHECK(agent.offered() == std::vector<std::string> {"i-1/1700000000000"});
            }
            AND_WHEN("an announcement by the former id arrives late")
            {
                auto late = agent.worker.announcement();
                late.id = "i-1";
                late.body["seq"] = 1000;
                CHECK(agent.announce(late) == 400);
                THEN("it is refused, and further runs start")
                {
                    CHECK(agent.results.empty());
                    agent.start("b.0.0.0");
                }
            }
        }
    }
}

// Guards against a worker that is known by an id which no header names: every incarnation accepts
// calls to it, or a worker takes it for its own id.
SCENARIO("an announced id cannot be sent in a header as it is", "[platform][worker][review]")
{
    GIVEN("an agent whose worker runs a task")
    {
        agent_fixture agent;
        agent.start("a.0.0.0");
        WHEN("an id with a control character or a space at an end is announced")
        {
            std::string const id = GENERATE("i-1%00x", "i-1%20", "%20i-1", "i-1%09", "i-1%0A",
                                            "i-1%0D%0AGreengagehead-Expect-Instance:%20i-1",
                                            "i-9%0D%0AX:%20y", "i-1%7F", "%20");
            CAPTURE(id);
            auto odd = agent.worker.announcement();
            odd.id = id;
            odd.body["service"] = "pool-7";
            auto const status = agent.announce(odd);
            agent.run_for(milliseconds(50));
            THEN("it is refused, and the run goes on")
            {
                CHECK(status == 400);
                CHECK(agent.results.empty());
                agent.core->peer_up("entry.a", base::steady_now());
                auto const report = agent.sender.to<protocol::agent_report>("entry.a").back();
                REQUIRE(report.endpoints.size() == 1);
                CHECK(report.endpoints.front().kinds == std::vector<std::string> {"s1"});
            }
        }
    }
}

// Decoding of the platform's messages: routing documents, submitted jobs and announcements of
// workers.

#include <catch2/catch.hpp>

#include <rapidcheck/catch.h>

#include <nlohmann/json.hpp>

#include "platform/job_request.h"
#include "platform/routing_document.h"
#include "platform/worker_announcement.h"

namespace {

using namespace greengagehead;
using namespace greengagehead::platform;
using nlohmann::json;
using std::chrono::milliseconds;

json valid_document()
{
    return json::parse(R"({"version":7,
        "routes":[{"name":"r-1","host":"a.example","path_prefix":"/q/","kind":"unsafe","timeout_ms":1500,
                   "target_latency_ms":60,"priority":0,"service":"s1","max_attempts":3,"stretch":1.6},
                  {"name":"r-2","host":"a.example","path_prefix":"/q/deep/","timeout_ms":900,"service":"s1"}],
        "services":[{"name":"s1"}],"limits":{"max_body_bytes":1000}})");
}

json valid_job()
{
    return json::parse(
        R"({"spec":"text","best_effort":true,"steps":[{"count":3,"cpu":6201,"mem_mb":64,"estimate_ms":60}]})");
}

json valid_announcement()
{
    return json::parse(
        R"({"service":"s1","address":"10.0.0.1:8080","zone":"z","version":"v1","slots":8,"state":"ready",
            "cold_left_ms":0,"capacity":{"cpu":16000,"mem_mb":32768,"gpus":0},"labels":["a","r1-3"],
            "clock_ms":482113,"seq":4,"born":1700000000000})");
}

} // namespace

SCENARIO("an operator sends a routing document", "[platform][routing]")
{
    GIVEN("a valid document")
    {
        auto document = valid_document();
        THEN("the longest matching prefix selects the route")
        {
            auto const table = read_routing(document.dump());
            REQUIRE(table);
            CHECK(table.value().version == 7);
            CHECK(table.value().find("a.example", "/q/1")->name == "r-1");
            CHECK(table.value().find("a.example", "/q/deep/1")->name == "r-2");
            CHECK(table.value().find("b.example", "/q/1") == nullptr);
            CHECK(table.value().find("a.example", "/other") == nullptr);
        }
        WHEN("a route names an unknown service")
        {
            document["routes"][0]["service"] = "s2";
            THEN("it is refused")
            {
                CHECK_FALSE(read_routing(document.dump()));
            }
        }
        WHEN("two routes have the same host and path prefix")
        {
            document["routes"][1]["path_prefix"] = "/q/";
            THEN("it is refused")
            {
                CHECK_FALSE(read_routing(document.dump()));
            }
        }
        WHEN("a route has a timeout of 0")
        {
            document["routes"][0]["timeout_ms"] = 0;
            THEN("it is refused")
            {
                CHECK_FALSE(read_routing(document.dump()));
            }
        }
        // Guards against a document that drops all routes because they could not be read.
        for (auto const* key : {"routes", "services"}) {
            for (auto const* other : {"{}", "null"}) {
                WHEN(std::string(key) + " is " + other + " in place of a list")
                {
                    document["routes"] = json::array();
                    document[key] = json::parse(other);
                    THEN("it is refused")
                    {
                        CHECK_FALSE(read_routing(document.dump()));
                    }
                }
            }
        }
        WHEN("a field is of another type or missing")
        {
            document["routes"][0]["service"] = 5;
            THEN("it is refused")
            {
                CHECK_FALSE(read_routing(document.dump()));
            }
        }
    }
    // Guards against storing a truncated document as if it were complete.
    THEN("a document that is truncated anywhere is refused")
    {
        auto const text = valid_document().dump();
        CHECK(rc::check([&text] {
            auto const length = *rc::gen::inRange<std::size_t>(0, text.size());
            RC_ASSERT(!read_routing(text.substr(0, length)));
        }));
    }
}

SCENARIO("a caller submits a job", "[platform][job]")
{
    GIVEN("a route and a job of three tasks")
    {
        auto const table = read_routing(valid_document().dump()).value();
        auto const& job_route = table.routes.front();
        auto job = valid_job();
        auto const read = [&] {
            return read_job(job.dump(), job_route, "5c0e7a21d94b36f8", milliseconds(2000));
        };
        THEN("its tasks are named at the worker by job, occurrence, step and index")
        {
            auto const request = read();
            REQUIRE(request);
            REQUIRE(request.value().tasks.size() == 3);
            auto const& last = request.value().tasks.back();
            CHECK(last.name == "5c0e7a21d94b36f8.0.0.2");
            CHECK(last.kind == "s1");
            CHECK(last.payload == "text");
            CHECK(last.max_attempts == 3);
            CHECK(request.value().ephemeral);
        }
        // Guards against ignoring the operator's priorities of queues under overload.
        THEN("it has the priority of its route")
        {
            auto second = job_route;
            second.priority = 2;
            auto const request
                = read_job(job.dump(), second, "5c0e7a21d94b36f8", milliseconds(2000));
            CHECK(request.value().priority == 2);
            CHECK(read().value().priority == job_route.priority);
        }
        // Guards against a worker that gets more tasks than its processors can run.
        THEN("the slots of a task are its processors, rounded up to whole slots")
        {
            CHECK(read().value().tasks.front().slots == 621);
        }
        WHEN("the job must be stored")
        {
            job.erase("best_effort");
            // Guards against accepting a durable job, which would be lost with the entry.
            THEN("it is refused as not served")
            {
                CHECK(read().error().code == base::error_code::refused);
            }
        }
        for (auto const* key : {"gang", "long_running"}) {
            WHEN(std::string("a step asks for ") + key)
            {
                job["steps"][0][key] = true;
                THEN("it is refused as not served")
                {
                    CHECK(read().error().code == base::error_code::refused);
                }
            }
        }
        WHEN("a label is required")
        {
            job["steps"][0]["requires"] = "gpu-a";
            THEN("it is refused as not served")
            {
                CHECK(read().error().code == base::error_code::refused);
            }
        }
        WHEN("the body is not JSON")
        {
            THEN("it is refused as malformed")
            {
                CHECK(read_job("{", job_route, "5c0e7a21d94b36f8", milliseconds(2000)).error().code
                      == base::error_code::malformed);
            }
        }
    }
}

SCENARIO("a worker announces itself", "[platform][worker]")
{
    GIVEN("a valid announcement")
    {
        auto announcement = valid_announcement();
        auto const read = [&announcement] {
            return read_announcement("i-1", "http://10.0.0.1:8165", announcement.dump());
        };
        THEN("the slots follow from its processors, and the name contains the incarnation")
        {
            auto const worker = read();
            REQUIRE(worker);
            CHECK(worker.value().endpoint.slots == 1600);
            CHECK(worker.value().endpoint.rack == "r1-3");
            CHECK(worker.value().endpoint.name == "i-1/1700000000000");
            CHECK(worker.value().clock == agent::worker_clock(482113));
            CHECK_FALSE(worker.value().endpoint.draining);
        }
        WHEN("it drains")
        {
            announcement["state"] = "draining";
            THEN("the endpoint takes no new work")
            {
                CHECK(read().value().endpoint.draining);
            }
        }
        // Guards against a malformed announcement that ends the process or is taken for a worker.
        WHEN("the state is unknown, or a field is missing or has the wrong type")
        {
            THEN("it is refused")
            {
                announcement["state"] = "sleeping";
                CHECK_FALSE(read());
                announcement = valid_announcement();
                announcement.erase("capacity");
                CHECK_FALSE(read());
                announcement = valid_announcement();
                announcement["seq"] = "four";
                CHECK_FALSE(read());
                CHECK_FALSE(read_announcement("i-1", "u", "\xff\xfe{"));
            }
        }
        // Guards against an announcement of another writer that is taken for the worker's: its
        // sequence number then hides those of the worker.
        for (std::string const field : {"service", "address", "zone", "version", "slots", "state",
                                        "cold_left_ms", "capacity", "labels", "clock_ms", "seq"}) {
            WHEN("it lacks the field " + field + ", or has it of another type")
            {
                auto other_type = announcement;
                announcement.erase(field);
                other_type[field] = {{"odd", true}};
                THEN("it is refused")
                {
                    CHECK_FALSE(read());
                    announcement = other_type;
                    CHECK_FALSE(read());
                }
            }
        }
        for (std::string const field : {"cpu", "mem_mb", "gpus"}) {
            WHEN("its capacity lacks " + field)
            {
                announcement["capacity"].erase(field);
                THEN("it is refused")
                {
                    CHECK_FALSE(read());
                }
            }
        }
    }
}

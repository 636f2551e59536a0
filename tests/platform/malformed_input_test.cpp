// Each reader of the platform's messages gets valid documents of which one value was replaced, and
// a worker answers with bodies that are not what the protocol says.

#include <catch2/catch.hpp>

#include <optional>
#include <random>

#include <nlohmann/json.hpp>

#include "platform/job_request.h"
#include "platform/routing_document.h"
#include "platform/worker_announcement.h"
#include "platform/worker_client.h"
#include "transport/event_loop.h"
#include "transport/http_client.h"
#include "transport/http_server.h"

namespace {

using namespace greengagehead;
using namespace greengagehead::platform;
using nlohmann::json;
using std::chrono::milliseconds;

constexpr auto routing_text = R"({"version":7,
    "routes":[{"name":"r-1","host":"a.example","path_prefix":"/q/","kind":"unsafe","timeout_ms":1500,
               "target_latency_ms":60,"priority":0,"service":"s1","max_attempts":3,"stretch":1.6}],
    "services":[{"name":"s1"}],"limits":{"max_body_bytes":1000}})";
constexpr auto job_text = R"({"spec":"text","best_effort":true,"repeat_count":0,
    "steps":[{"count":3,"cpu":6201,"mem_mb":64,"estimate_ms":60,"after":[]}]})";
constexpr auto announcement_text
    = R"({"service":"s1","address":"10.0.0.1:8080","zone":"z","version":"v1","slots":8,"state":"ready",
          "cold_left_ms":0,"capacity":{"cpu":16000,"mem_mb":32768,"gpus":0},"labels":["a","r1-3"],
          "clock_ms":482113,"seq":4,"born":1700000000000})";
constexpr auto report_text
    = R"({"clock_ms":482113,"running":[["j.0.0.1",2,"",41]],"ended_at":[[58,"j.0.0.9",1,"done",""]]})";

/// Replaces the string "@" in a changed document by one of these texts, which need not be JSON.
std::vector<std::string> const replacements {
    std::string(100'000, '[') + std::string(100'000, ']'),
    "99999999999",
    "1e300",
    "-1e300",
    "1e999",
    "9223372036854775807",
    "18446744073709551615",
    "99999999999999999999999999",
    "-5",
    "0.5",
    "0",
    "null",
    "true",
    "\"\"",
    "\"text\"",
    "\"10.0.0.1:99999\"",
    "\"10.0.0.1:-1\"",
    "\"\xff\xfe\"",
    "[]",
    "{}",
    "[[1]]",
    "{\"a\":1,\"a\":2}",
    "",
};

/// All documents that differ from `valid` in one value or member.
std::vector<std::string> changed_documents(std::string const& valid)
{
    std::vector<std::string> documents;
    auto const original = json::parse(valid);
    auto const values = original.flatten();
    for (auto const& [path, _] : values.items()) {
        for (json::json_pointer place(path); !place.empty(); place.pop_back()) {
            auto marked = original;
            marked[place] = "@";
            auto const text = marked.dump();
            auto const mark = text.find("\"@\"");
            for (auto const& replacement : replacements)
                documents.push_back(text.substr(0, mark) + replacement + text.substr(mark + 3));
            auto removed = original;
            auto& parent = removed[place.parent_pointer()];
            if (parent.is_object())
                parent.erase(place.back());
            documents.push_back(removed.dump());
        }
    }
    return documents;
}

/// Valid documents of which a few bytes were replaced, drawn from `seed`.
std::vector<std::string> damaged_documents(std::string const& valid, std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    std::vector<std::string> documents;
    for (int round = 0; round < 5'000; ++round) {
        auto document = valid;
        for (auto changes = 1 + random() % 3; changes > 0; --changes) {
            auto const offset = random() % document.size();
            document[offset] = static_cast<char>(random());
        }
        documents.push_back(std::move(document));
    }
    return documents;
}

/// A worker that answers each request with `status` and `body`.
class fake_worker {
public:
    fake_worker()
        : server(loop, {},
                 [this](auto&, auto const& exchange) {
                     exchange->respond({this->status, this->body, "application/json", {}});
                 }),
          http(loop), client(http, this->server.listen({"127.0.0.1", 0}).value())
    {
    }

    /// Returns the reply to a start, or nothing when the caller is not told one.
    std::optional<agent::worker_reply> start()
    {
        std::optional<agent::worker_reply> received;
        this->client.start({}, {"j.0.0.1", 1}, {}, agent::worker_clock(1000),
                           [&](agent::worker_reply const& reply) { received = reply; });
        this->run_until([&] { return received.has_value(); });
        return received;
    }

    /// As `start`, for a report.
    std::optional<agent::worker_report> report()
    {
        std::optional<agent::worker_report> received;
        this->client.report({}, agent::worker_clock(1000), 0, milliseconds(0),
                            [&](agent::worker_report const& reply) { received = reply; });
        this->run_until([&] { return received.has_value(); });
        return received;
    }

    int status = 200;
    std::string body;

private:
    void run_until(std::function<bool()> const& done)
    {
        for (int step = 0; step < 1'000 && !done(); ++step) {
            auto const stop = this->loop.after(milliseconds(1), [this] { this->loop.stop(); });
            this->loop.run();
        }
    }

    transport::event_loop loop;
    transport::http_server server;
    transport::http_client http;
    worker_client client;
};

} // namespace

// Guards against a document that ends the process, and against numbers that are taken for others.
SCENARIO("a value of a document is too deep, too large, or of another type", "[platform]")
{
    GIVEN("routing documents")
    {
        REQUIRE(read_routing(routing_text));
        THEN("each is refused, or its numbers are in range")
        {
            for (auto const& text : changed_documents(routing_text)) {
                auto const table = read_routing(text);
                for (auto const& row : table ? table.value().routes : std::vector<route> {}) {
                    INFO(text.substr(0, 500));
                    REQUIRE(row.timeout > milliseconds(0));
                    REQUIRE(row.timeout <= std::chrono::hours(24));
                    REQUIRE(row.target_latency >= milliseconds(0));
                    REQUIRE(row.target_latency <= std::chrono::hours(24));
                    REQUIRE((row.stretch >= 0 && row.stretch <= 1000));
                }
            }
            for (auto const& text : damaged_documents(routing_text, 1))
                (void)read_routing(text);
        }
    }
    GIVEN("submitted jobs")
    {
        auto const table = read_routing(routing_text).value();
        auto const read = [&table](std::string const& text) {
            return read_job(text, table.routes.front(), "5c0e7a21d94b36f8", milliseconds(2000));
        };
        REQUIRE(read(job_text));
        THEN("each is refused, or its numbers are in range")
        {
            for (auto const& text : changed_documents(job_text)) {
                auto const request = read(text);
                if (!request)
                    continue;
                INFO(text.substr(0, 500));
                auto const& task = request.value().tasks.at(0);
                REQUIRE(request.value().tasks.size() <= 10'000);
                REQUIRE(task.slots >= task.cpu / cpu_per_slot);
                REQUIRE(task.expected >= milliseconds(0));
                REQUIRE(task.expected <= std::chrono::hours(24));
            }
            for (auto const& text : damaged_documents(job_text, 2))
                (void)read(text);
        }
    }
    GIVEN("announcements of workers")
    {
        auto const read = [](std::string const& text) {
            return read_announcement("i-1", "http://10.0.0.1:8165", text);
        };
        REQUIRE(read(announcement_text));
        THEN("each is refused, or its numbers are in range")
        {
            for (auto const& text : changed_documents(announcement_text)) {
                auto const worker = read(text);
                if (!worker)
                    continue;
                INFO(text.substr(0, 500));
                REQUIRE(worker.value().endpoint.slots >= 1);
                REQUIRE(worker.value().endpoint.slots <= 10'000);
                REQUIRE(worker.value().incarnation.born <= (std::uint64_t {1} << 52U));
                if (worker.value().clock)
                    REQUIRE(worker.value().clock->count() <= (std::int64_t {1} << 52U));
            }
            for (auto const& text : damaged_documents(announcement_text, 3))
                (void)read(text);
        }
        // Guards against calls to a worker on behalf of another writer's entry.
        THEN("one with a port out of range names no worker")
        {
            auto odd = json::parse(announcement_text);
            odd["address"] = "10.0.0.1:70000";
            CHECK_FALSE(read(odd.dump()));
            odd["address"] = 8080;
            CHECK_FALSE(read(odd.dump()));
        }
    }
}

// Guards against an agent that stops following its worker.
SCENARIO("another writer announces an incarnation", "[platform][worker]")
{
    GIVEN("a worker that was announced")
    {
        auto const now = milliseconds(1'700'000'000'000);
        incarnation_filter filter;
        REQUIRE(filter.check({"i-1", 1'699'999'000'000}, now));
        filter.record({"i-1", 1'699'999'000'000});
        THEN("one from the future or from the past is rejected, and the worker is still followed")
        {
            CHECK_FALSE(filter.check({"i-1", 1'700'004'000'000}, now));
            CHECK_FALSE(filter.check({"i-1", std::uint64_t {1} << 52U}, now));
            CHECK_FALSE(filter.check({"i-1", 0}, now));
            CHECK(filter.check({"i-1", 1'699'999'000'000}, now));
            CHECK(filter.check({"i-1", 1'700'000'001'000}, now));
        }
    }
}

// Guards against an answer that ends the agent, or leaves the caller of a command without a result.
SCENARIO("a worker answers with a body that is not what the protocol says", "[platform][worker]")
{
    fake_worker worker;
    GIVEN("refusals of a start")
    {
        worker.status = 409;
        THEN("the caller is told that the start was refused")
        {
            for (std::string const body :
                 {"", "[]", "5", "{\"reason\":7}", "{\"reason\":null,\"clock_ms\":1e300}",
                  "{\"reason\":\"unknown\"}", "{\"clock_ms\":-1}"}) {
                worker.body = body;
                auto const reply = worker.start();
                INFO(body);
                REQUIRE(reply);
                CHECK(reply->answer == agent::worker_answer::no_capacity);
                CHECK_FALSE(reply->clock);
            }
            worker.body = std::string(200'000, '[');
            CHECK(worker.start());
        }
    }
    GIVEN("reports of runs")
    {
        worker.body = report_text;
        auto const valid = worker.report();
        REQUIRE(valid);
        REQUIRE(valid->running.size() == 1);
        REQUIRE(valid->ended.size() == 1);
        THEN("a report that cannot be decoded as a whole counts as no answer")
        {
            for (auto const& text : changed_documents(report_text)) {
                worker.body = text;
                auto const report = worker.report();
                INFO(text.substr(0, 500));
                REQUIRE(report);
                if (report->reply.answer != agent::worker_answer::accepted)
                    CHECK((report->running.empty() && report->ended.empty()));
            }
        }
    }
}

// Stand-in for an endpoint of a supplier: announces itself to an agent, runs tasks by waiting, and
// counts the starts of each (job, task), so that doubled starts are seen.
//
// The payload may hold {"run_ms": N} for the run time and {"fail": true} for a final failure.

#include <csignal>
#include <exception>
#include <iostream>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <cxxopts.hpp>
#include <event2/event.h>
#include <nlohmann/json.hpp>

#include "transport/event_loop.h"
#include "transport/http_client.h"
#include "transport/http_server.h"

namespace {

using namespace greengagehead::transport;
using nlohmann::json;
using std::chrono::milliseconds;

constexpr milliseconds announce_interval {1'000};

struct stand_in_options {
    std::string name;
    std::string announce; ///< Base URL of the agent.
    std::uint16_t port = 0; ///< 0 for any free one.
    std::vector<std::string> kinds;
    std::uint32_t slots = 8;
    milliseconds run_time {100};
    std::uint32_t fail_every = 0; ///< Every n-th task ends with status 500; 0 for none.
};

class stand_in_endpoint {
public:
    stand_in_endpoint(event_loop& owner, stand_in_options wanted)
        : loop(owner), options(std::move(wanted)), client(owner),
          server(owner, {},
                 [this](auto& request, auto const& exchange) { this->handle(request, exchange); })
    {
    }

    bool open()
    {
        auto const address = this->server.listen({"127.0.0.1", this->options.port});
        if (!address)
            return false;
        this->url = "http://" + address.value().to_string();
        this->announce();
        this->announcer = this->loop.every(announce_interval, [this] { this->announce(); });
        return true;
    }

    /// Doubled starts are starts of a (job, task) beyond its first.
    [[nodiscard]] json counts() const
    {
        std::uint64_t total = 0;
        std::uint64_t doubled = 0;
        for (auto const& [key, starts] : this->starts) {
            total += starts;
            doubled += starts - 1;
        }
        return {{"name", this->options.name}, {"starts", total}, {"doubled", doubled}};
    }

private:
    void announce()
    {
        auto const target = parse_http_url(this->options.announce);
        if (!target)
            return;
        json const body {
            {"name", this->options.name},   {"url", this->url},  {"kinds", this->options.kinds},
            {"slots", this->options.slots}, {"connections", 60}, {"cpu", 16},
            {"memory_mb", 65536},           {"rack", "r1"}};
        this->client.send({http_method::post,
                           target.value().first,
                           target.value().second + "/v1/announce",
                           {{"Content-Type", "application/json"}},
                           body.dump(),
                           milliseconds(1'000)},
                          [](http_client_response&&) {});
    }

    void handle(http_request& request, std::shared_ptr<http_exchange> const& exchange)
    {
        if (request.path == "/counts")
            return exchange->respond({200, this->counts().dump(), "application/json", {}});
        if (request.method == http_method::del)
            return exchange->respond({200, "{}", "application/json", {}});
        std::string const key = request.headers["idempotency-key"];
        ++this->starts[key];
        ++this->started;
        auto const payload = json::parse(request.body, nullptr, false);
        auto run_time = this->options.run_time;
        bool fail = false;
        if (payload.is_object()) {
            run_time = milliseconds(payload.value("run_ms", run_time.count()));
            fail = payload.value("fail", false);
        }
        int status = fail ? 422 : 200;
        if (this->options.fail_every > 0 && this->started % this->options.fail_every == 0)
            status = 500;
        json const result {{"endpoint", this->options.name},
                           {"task", key},
                           {"echo", payload.is_discarded() ? json() : payload}};
        this->finish_later(exchange, {status, result.dump(), "application/json", {}}, run_time);
    }

    void finish_later(std::shared_ptr<http_exchange> const& exchange, http_response response,
                      milliseconds run_time)
    {
        auto const id = ++this->last_timer;
        this->running[id]
            = this->loop.after(run_time, [this, id, exchange, done = std::move(response)] {
                  exchange->respond(done);
                  this->running.erase(id);
              });
    }

    event_loop& loop;
    stand_in_options options;
    http_client client;
    http_server server;
    std::string url;
    std::unique_ptr<loop_timer> announcer;
    std::map<std::string, std::uint64_t> starts; // By idempotency key.
    std::uint64_t started = 0;
    std::map<std::uint64_t, std::unique_ptr<loop_timer>> running;
    std::uint64_t last_timer = 0;
};

std::optional<stand_in_options> parse_options(int count, char** words)
{
    cxxopts::Options options("stand_in_endpoint", "Stand-in for a supplier's endpoint.");
    options.add_options()("name", "", cxxopts::value<std::string>())(
        "announce", "", cxxopts::value<std::string>()->default_value("http://127.0.0.1:8420"))(
        "kinds", "",
        cxxopts::value<std::vector<std::string>>()->default_value("quote,hold,confirm,lookup"))(
        "port", "", cxxopts::value<std::uint16_t>()->default_value("0"))(
        "slots", "", cxxopts::value<std::uint32_t>()->default_value("8"))(
        "run-ms", "", cxxopts::value<std::int64_t>()->default_value("100"))(
        "fail-every", "", cxxopts::value<std::uint32_t>()->default_value("0"));
    auto const parsed = options.parse(count, words);
    if (parsed.count("name") == 0) {
        std::cerr << options.help() << "\n";
        return std::nullopt;
    }
    return stand_in_options {
        parsed["name"].as<std::string>(),        parsed["announce"].as<std::string>(),
        parsed["port"].as<std::uint16_t>(),      parsed["kinds"].as<std::vector<std::string>>(),
        parsed["slots"].as<std::uint32_t>(),     milliseconds(parsed["run-ms"].as<std::int64_t>()),
        parsed["fail-every"].as<std::uint32_t>()};
}

void stop_loop(int /*number*/, short /*what*/, void* loop)
{
    static_cast<event_loop*>(loop)->stop();
}

int run(int count, char** words)
{
    auto const options = parse_options(count, words);
    if (!options)
        return 2;
    std::signal(SIGPIPE, SIG_IGN);
    event_loop loop;
    stand_in_endpoint endpoint(loop, *options);
    if (!endpoint.open())
        return 1;
    event* const terminated = evsignal_new(loop.base(), SIGTERM, &stop_loop, &loop);
    event_add(terminated, nullptr);
    loop.run();
    event_free(terminated);
    std::cout << endpoint.counts().dump() << std::endl;
    return 0;
}

} // namespace

int main(int count, char** words)
{
    try {
        return run(count, words);
    } catch (std::exception const& failure) {
        std::cerr << failure.what() << "\n";
        return 1;
    }
}

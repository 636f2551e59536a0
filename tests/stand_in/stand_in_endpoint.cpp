// Stand-in for the endpoint of a supplier. It announces itself to an agent, answers each task after
// its run time, and counts the starts of each task to detect duplicates.
//
// The payload may contain {"run_ms": N} for the run time in milliseconds and {"fail": true} for a
// final failure (status 422).

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
    std::string agent_url; ///< Base URL.
    std::uint16_t port = 0; ///< 0 selects any free port.
    std::vector<std::string> kinds;
    std::uint32_t slots = 8;
    milliseconds run_time {100};
    std::uint32_t fail_every = 0; ///< Every n-th start is answered with status 500; 0 for none.
};

class stand_in_endpoint {
public:
    stand_in_endpoint(event_loop& endpoint_loop, stand_in_options endpoint_options)
        : loop(endpoint_loop), options(std::move(endpoint_options)), client(endpoint_loop),
          server(endpoint_loop, {},
                 [this](auto& request, auto const& exchange) { this->handle(request, exchange); })
    {
    }

    bool start()
    {
        auto const address = this->server.listen({"127.0.0.1", this->options.port});
        if (!address)
            return false;
        this->url = "http://" + address.value().to_string();
        this->announce();
        this->announce_timer = this->loop.every(announce_interval, [this] { this->announce(); });
        return true;
    }

    /// The counts that GET /counts returns. Starts of a task after its first count as `doubled`.
    [[nodiscard]] json counts() const
    {
        std::uint64_t total = 0;
        std::uint64_t duplicates = 0;
        for (auto const& [key, starts] : this->starts) {
            total += starts;
            duplicates += starts - 1;
        }
        return {{"name", this->options.name}, {"starts", total}, {"doubled", duplicates}};
    }

private:
    void announce()
    {
        auto const target = parse_http_url(this->options.agent_url);
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
        ++this->total_starts;
        auto const payload = json::parse(request.body, nullptr, false);
        auto run_time = this->options.run_time;
        bool fail = false;
        if (payload.is_object()) {
            run_time = milliseconds(payload.value("run_ms", run_time.count()));
            fail = payload.value("fail", false);
        }
        int status = fail ? 422 : 200;
        if (this->options.fail_every > 0 && this->total_starts % this->options.fail_every == 0)
            status = 500;
        json const result {{"endpoint", this->options.name},
                           {"task", key},
                           {"echo", payload.is_discarded() ? json() : payload}};
        this->respond_after(exchange, {status, result.dump(), "application/json", {}}, run_time);
    }

    void respond_after(std::shared_ptr<http_exchange> const& exchange, http_response response,
                       milliseconds run_time)
    {
        auto const id = ++this->last_timer_id;
        this->response_timers[id]
            = this->loop.after(run_time, [this, id, exchange, sent = std::move(response)] {
                  exchange->respond(sent);
                  this->response_timers.erase(id);
              });
    }

    event_loop& loop;
    stand_in_options options;
    http_client client;
    http_server server;
    std::string url;
    std::unique_ptr<loop_timer> announce_timer;
    /// By idempotency key, which is the same for all attempts of a task.
    std::map<std::string, std::uint64_t> starts;
    std::uint64_t total_starts = 0;
    std::map<std::uint64_t, std::unique_ptr<loop_timer>> response_timers;
    std::uint64_t last_timer_id = 0;
};

std::optional<stand_in_options> parse_options(int argc, char** argv)
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
    auto const parsed = options.parse(argc, argv);
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

void stop_loop(int /*signal_number*/, short /*events*/, void* loop)
{
    static_cast<event_loop*>(loop)->stop();
}

int run(int argc, char** argv)
{
    auto const options = parse_options(argc, argv);
    if (!options)
        return 2;
    std::signal(SIGPIPE, SIG_IGN);
    event_loop loop;
    stand_in_endpoint endpoint(loop, *options);
    if (!endpoint.start())
        return 1;
    event* const terminate_event = evsignal_new(loop.base(), SIGTERM, &stop_loop, &loop);
    event_add(terminate_event, nullptr);
    loop.run();
    event_free(terminate_event);
    std::cout << endpoint.counts().dump() << std::endl;
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    try {
        return run(argc, argv);
    } catch (std::exception const& error) {
        std::cerr << error.what() << "\n";
        return 1;
    }
}

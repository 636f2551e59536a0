// Stand-in for a worker of the platform: runs under leases, lists of runs, and incarnations.

#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "transport/event_loop.h"
#include "transport/http_server.h"

namespace greengagehead::test {

struct stand_in_announcement {
    std::string id;
    nlohmann::json body;
};

/// Runs never end by themselves. Stops take effect at once.
class worker_stand_in {
public:
    explicit worker_stand_in(transport::event_loop& loop)
        : server(loop, {}, [this](auto const& request, auto const& exchange) {
              this->handle(request, exchange);
          })
    {
        this->address = this->server.listen({"127.0.0.1", 0}).value();
    }

    /// Starts a new incarnation, which knows nothing of the former one.
    void restart(std::string const& new_id)
    {
        this->id = new_id;
        this->born += this->born == 0 ? 0 : 1;
        this->sequence = 0;
        this->running.clear();
        this->stopped.clear();
    }

    /// The present incarnation goes on under another id.
    void rename(std::string const& new_id)
    {
        this->id = new_id;
        this->sequence = 0;
    }

    stand_in_announcement announcement()
    {
        stand_in_announcement sent {this->id,
                                    {{"service", "s1"},
                                     {"address", this->address.to_string()},
                                     {"zone", "z"},
                                     {"version", "v1"},
                                     {"slots", 8},
                                     {"state", "ready"},
                                     {"cold_left_ms", 0},
                                     {"capacity", {{"cpu", 16000}, {"mem_mb", 32768}, {"gpus", 0}}},
                                     {"labels", {"a", "r1-3"}},
                                     {"clock_ms", 482113},
                                     {"seq", ++this->sequence}}};
        if (this->born != 0)
            sent.body["born"] = this->born;
        return sent;
    }

    transport::socket_address address;
    std::string id = "i-1";
    std::uint64_t born = 1'700'000'000'000; ///< Not stated when 0.
    bool silent = false; ///< Leaves calls unanswered.
    std::map<std::string, std::uint64_t> running; ///< Run number of each task.
    std::map<std::string, std::uint64_t> stopped; ///< Highest stopped run number of each task.

private:
    using exchange_ptr = std::shared_ptr<transport::http_exchange>;

    void handle(transport::http_request const& request, exchange_ptr const& exchange)
    {
        if (this->silent)
            return this->unanswered.push_back(exchange);
        auto const expected = request.headers.find("greengagehead-expect-instance");
        if (expected != request.headers.end() && expected->second != this->id)
            return exchange->respond({421, "{}", "application/json", {}});
        auto const call = nlohmann::json::parse(request.body);
        auto const status = this->carry_out(request.path, call);
        nlohmann::json body {{"clock_ms", 482113}};
        if (status != 200)
            body["reason"] = "old";
        if (request.path == "/hold") {
            if (this->born != 0)
                body["born"] = this->born;
            body["ended_at"] = nlohmann::json::array();
            body["running"] = nlohmann::json::array();
            for (auto const& [task, number] : this->running)
                body["running"].push_back({task, number, "", 0});
        }
        exchange->respond({status, body.dump(), "application/json", {}});
    }

    int carry_out(std::string const& path, nlohmann::json const& call)
    {
        if (path == "/hold")
            return 200;
        auto const task = call.at("task").get<std::string>();
        auto const number = call.at("run_id").get<std::uint64_t>();
        auto& highest_stopped = this->stopped[task];
        if (path == "/run-stop") {
            highest_stopped = std::max(highest_stopped, number);
            this->running.erase(task);
            return 200;
        }
        if (number <= highest_stopped)
            return 409;
        this->running[task] = number;
        return 200;
    }

    std::uint64_t sequence = 0;
    std::vector<exchange_ptr> unanswered;
    transport::http_server server;
};

} // namespace greengagehead::test

// JSON representation of decisions.

#include "entry/decision_log.h"

#include <array>
#include <chrono>
#include <string_view>
#include <utility>

#include <nlohmann/json.hpp>

namespace greengagehead::entry {

namespace {

constexpr std::array kind_names {
    std::string_view {"admitted"},
    std::string_view {"claim_asked"},
    std::string_view {"claimed"},
    std::string_view {"claim_given_up"},
    std::string_view {"copied"},
    std::string_view {"copy_missing"},
    std::string_view {"placed"},
    std::string_view {"hedged"},
    std::string_view {"resent"},
    std::string_view {"refused"},
    std::string_view {"retried"},
    std::string_view {"outcome"},
    std::string_view {"endpoint_lost"},
    std::string_view {"cancelled"},
    std::string_view {"taken_over"},
    std::string_view {"recovered"},
    std::string_view {"ownership_checked"},
    std::string_view {"finished"},
};

nlohmann::json to_json_object(decision const& entry, base::steady_time start)
{
    using milliseconds = std::chrono::duration<double, std::milli>;
    nlohmann::json object {
        {"ms", milliseconds(entry.time - start).count()},
        {"decision", kind_names.at(static_cast<std::size_t>(entry.kind))},
    };
    if (entry.task >= 0)
        object["task"] = entry.task;
    if (entry.attempt != 0)
        object["attempt"] = entry.attempt;
    if (!entry.endpoint.empty())
        object["endpoint"] = entry.endpoint;
    if (!entry.reason.empty())
        object["reason"] = entry.reason;
    if (entry.candidates != 0)
        object["candidates"] = entry.candidates;
    return object;
}

} // namespace

void decision_log::add(decision entry)
{
    if (this->entries.size() < this->limit)
        this->entries.push_back(std::move(entry));
    else
        ++this->dropped;
}

std::string decision_log::to_json(base::steady_time start) const
{
    auto list = nlohmann::json::array();
    for (auto const& entry : this->entries)
        list.push_back(to_json_object(entry, start));
    if (this->dropped > 0)
        list.push_back({{"dropped", this->dropped}});
    // Reasons may contain bytes from an endpoint that are not valid UTF-8.
    return list.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace greengagehead::entry

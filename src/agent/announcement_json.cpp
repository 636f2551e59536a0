// Parsing and validation of announcements.

#include "agent/announcement_json.h"

#include <set>
#include <utility>

#include "protocol/json_document.h"
#include "transport/http_client.h"

namespace greengagehead::agent {

namespace {

using json = nlohmann::json;

constexpr std::size_t max_name_bytes = 200;
constexpr std::size_t max_kinds = 1000;

/// Allowed range of a whole number.
struct number_range {
    std::uint32_t min = 0;
    std::uint32_t max = 0;
};

constexpr number_range slot_range {1, 10'000};
constexpr number_range connection_range {0, 1'000'000};
constexpr number_range cpu_range {0, 1'024};
constexpr number_range memory_range {0, 4'194'304};

base::error invalid(std::string message)
{
    return {
        base::error_code::invalid_argument, base::error_step::admission, {}, std::move(message)};
}

base::result<std::string> read_name(json const& value, std::string const& field, bool required)
{
    if (value.is_null() && !required)
        return std::string();
    if (value.is_null())
        return invalid("missing field " + field);
    if (!value.is_string())
        return invalid(field + " must be a string");
    auto text = value.get<std::string>();
    if ((required && text.empty()) || text.size() > max_name_bytes)
        return invalid(field + " must have 1 to " + std::to_string(max_name_bytes) + " bytes");
    return text;
}

base::result<std::uint32_t> read_number(json const& body, std::string const& field,
                                        number_range range)
{
    auto const found = body.find(field);
    if (found == body.end() && range.min == 0)
        return std::uint32_t {0};
    if (found == body.end())
        return invalid("missing field " + field);
    if (!found->is_number_unsigned() || found->get<std::uint64_t>() < range.min
        || found->get<std::uint64_t>() > range.max)
        return invalid(field + " must be a whole number from " + std::to_string(range.min) + " to "
                       + std::to_string(range.max));
    return found->get<std::uint32_t>();
}

base::result<std::vector<std::string>> read_kinds(json const& body)
{
    auto const found = body.find("kinds");
    if (found == body.end())
        return invalid("missing field kinds");
    if (!found->is_array() || found->empty() || found->size() > max_kinds)
        return invalid("kinds must be an array of 1 to " + std::to_string(max_kinds) + " strings");
    std::vector<std::string> kinds;
    for (std::size_t index = 0; index < found->size(); ++index) {
        BOOST_OUTCOME_TRY(kind,
                          read_name((*found)[index], "kinds[" + std::to_string(index) + "]", true));
        kinds.push_back(std::move(kind));
    }
    return kinds;
}

base::result<std::string> read_url(json const& body)
{
    BOOST_OUTCOME_TRY(url, read_name(body.value("url", json()), "url", true));
    auto const parsed = transport::parse_http_url(url);
    if (!parsed || parsed.value().first.port == 0 || !parsed.value().second.empty())
        return invalid("url must have the form http://IP:PORT with an IPv4 address");
    return url;
}

} // namespace

base::result<announcement> parse_announcement(std::string_view text)
{
    static std::set<std::string> const fields {"name",        "url", "kinds",     "slots",
                                               "connections", "cpu", "memory_mb", "rack"};
    BOOST_OUTCOME_TRY(body, protocol::parse_body(text));
    if (!body.is_object())
        return invalid("body must be an object");
    for (auto const& [key, value] : body.items()) {
        if (!fields.contains(key))
            return invalid("unknown field " + key);
    }
    announcement endpoint;
    BOOST_OUTCOME_TRY(name, read_name(body.value("name", json()), "name", true));
    endpoint.name = std::move(name);
    BOOST_OUTCOME_TRY(url, read_url(body));
    endpoint.url = std::move(url);
    BOOST_OUTCOME_TRY(kinds, read_kinds(body));
    endpoint.kinds = std::move(kinds);
    BOOST_OUTCOME_TRY(slots, read_number(body, "slots", slot_range));
    endpoint.slots = slots;
    BOOST_OUTCOME_TRY(connections, read_number(body, "connections", connection_range));
    endpoint.connections = connections;
    BOOST_OUTCOME_TRY(cpu, read_number(body, "cpu", cpu_range));
    endpoint.cpu = cpu;
    BOOST_OUTCOME_TRY(memory, read_number(body, "memory_mb", memory_range));
    endpoint.memory_mb = memory;
    BOOST_OUTCOME_TRY(rack, read_name(body.value("rack", json()), "rack", false));
    endpoint.rack = std::move(rack);
    return endpoint;
}

} // namespace greengagehead::agent

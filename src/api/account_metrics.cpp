// Samples of accounts by reason.

#include "api/account_metrics.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <string_view>

#include <nlohmann/json.hpp>

#include "entry/account_usage.h"

namespace greengagehead::api {

namespace {

using json = nlohmann::json;
using std::chrono::microseconds;

void append_header(std::string& text, std::string_view name, std::string_view type,
                   std::string_view help)
{
    text.append("# HELP greengagehead_").append(name).append(" ").append(help);
    text.append("\n# TYPE greengagehead_").append(name).append(" ").append(type).append("\n");
}

void append_sample(std::string& text, std::string_view name, std::string const& account,
                   std::string_view further_labels, std::uint64_t value)
{
    text.append("greengagehead_").append(name).append("{account=\"").append(account_label(account));
    text.append("\"").append(further_labels).append("} ").append(std::to_string(value));
    text.append("\n");
}

std::uint64_t to_ms(microseconds time)
{
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
}

/// A time of each account, of the entry's counters or of the fleet's sums.
template <typename Row> struct time_metric {
    std::string_view name;
    std::string_view type;
    std::string_view help;
    microseconds Row::*value;
};

constexpr std::array entry_times {
    time_metric<entry::account_counters> {
        "account_asked_slot_ms_total", "counter",
        "Expected slot time of the jobs that arrived at this entry, refused ones included.",
        &entry::account_counters::asked},
    time_metric<entry::account_counters> {
        "account_served_slot_ms_total", "counter",
        "Expected slot time of the tasks that this entry started.",
        &entry::account_counters::served},
};

constexpr std::array fleet_times {
    time_metric<protocol::account_share> {
        "fleet_account_asked_slot_ms", "gauge",
        "Slot time requested at all entries, decaying with a half-life of 5 s.",
        &protocol::account_share::asked},
    time_metric<protocol::account_share> {
        "fleet_account_served_slot_ms", "gauge",
        "Slot time served by all entries, decaying with a half-life of 5 s.",
        &protocol::account_share::served},
};

template <typename Metrics, typename Rows>
void append_times(std::string& text, Metrics const& metrics, Rows const& rows)
{
    for (auto const& metric : metrics) {
        append_header(text, metric.name, metric.type, metric.help);
        for (auto const& [account, row] : rows)
            append_sample(text, metric.name, account, "", to_ms(row.*(metric.value)));
    }
}

void append_refusals(std::string& text, std::map<std::string, entry::account_counters> const& rows)
{
    constexpr std::string_view name = "account_refused_total";
    append_header(text, name, "counter", "Requests refused at this entry, by account and reason.");
    for (auto const& [account, row] : rows) {
        for (std::size_t index = 0; index < row.refused.size(); ++index) {
            if (row.refused.at(index) == 0)
                continue;
            auto const reason = policy::to_string(static_cast<policy::refusal_cause>(index));
            append_sample(text, name, account, ",reason=\"" + std::string(reason) + "\"",
                          row.refused.at(index));
        }
    }
}

bool is_valid_utf8(std::string const& text)
{
    auto const valid_part
        = json(text).dump(-1, ' ', false, nlohmann::detail::error_handler_t::ignore);
    return json::parse(valid_part) == json(text);
}

} // namespace

std::string account_label(std::string const& account)
{
    constexpr std::string_view digits = "0123456789abcdef";
    bool const is_text = is_valid_utf8(account);
    std::string label;
    for (char const character : account) {
        auto const byte = static_cast<unsigned char>(character);
        bool const is_hex
            = byte < 0x20 || byte == 0x7f || byte == '\\' || (byte >= 0x80 && !is_text);
        if (is_hex) {
            // A backslash is written twice in the text format.
            label.append("\\\\x").append(1, digits[byte >> 4U]).append(1, digits[byte & 0xfU]);
            continue;
        }
        if (byte == '"')
            label += '\\';
        label += character;
    }
    return label;
}

void append_account_metrics(std::string& text, entry::account_metrics const& metrics)
{
    append_refusals(text, metrics.at_entry);
    append_times(text, entry_times, metrics.at_entry);
    append_header(text, "account_waiting_tasks", "gauge", "Tasks that wait at this entry.");
    for (auto const& [account, tasks] : metrics.waiting)
        append_sample(text, "account_waiting_tasks", account, "", tasks);
    append_times(text, fleet_times, metrics.fleet);
}

} // namespace greengagehead::api

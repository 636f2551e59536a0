// Parses and validates job requests field by field, and formats answers.

#include "protocol/job_json.h"

#include <array>
#include <set>
#include <utility>

#include "protocol/json_document.h"

namespace greengagehead::protocol {

namespace {

using json = nlohmann::json;

constexpr std::uint64_t max_cpu = 1'024;
constexpr std::uint64_t max_memory_mb = 4'194'304;

base::error invalid(std::string message)
{
    return {
        base::error_code::invalid_argument, base::error_step::admission, {}, std::move(message)};
}

base::result<void> reject_unknown_fields(json const& object, std::set<std::string> const& allowed,
                                         std::string const& path_prefix)
{
    for (auto const& [key, value] : object.items()) {
        if (!allowed.contains(key))
            return invalid("unknown field " + path_prefix + key);
    }
    return boost::outcome_v2::success();
}

base::result<std::string> read_name(json const& object, std::string const& key,
                                    std::string const& path_prefix, bool required,
                                    std::size_t max_bytes)
{
    auto const found = object.find(key);
    if (found == object.end()) {
        if (required)
            return invalid("missing field " + path_prefix + key);
        return std::string();
    }
    if (!found->is_string())
        return invalid(path_prefix + key + " must be a string");
    auto const& text = found->get_ref<std::string const&>();
    if (required && text.empty())
        return invalid(path_prefix + key + " must not be empty");
    if (text.size() > max_bytes)
        return invalid(path_prefix + key + " must have at most " + std::to_string(max_bytes)
                       + " bytes");
    return text;
}

base::result<std::uint64_t> read_number(json const& object, std::string const& key,
                                        std::string const& path_prefix, std::uint64_t maximum)
{
    auto const found = object.find(key);
    if (found == object.end())
        return std::uint64_t {0};
    if (!found->is_number_unsigned() || found->get<std::uint64_t>() > maximum)
        return invalid(path_prefix + key + " must be a whole number from 0 to "
                       + std::to_string(maximum));
    return found->get<std::uint64_t>();
}

base::result<task_request> read_task(json const& object, std::string const& path_prefix,
                                     job_limits const& limits)
{
    static std::set<std::string> const allowed {"kind", "idempotent", "payload", "expected_ms",
                                                "cpu",  "memory_mb",  "region",  "zone"};
    if (!object.is_object())
        return invalid(path_prefix.substr(0, path_prefix.size() - 1) + " must be an object");
    BOOST_OUTCOME_TRYV(reject_unknown_fields(object, allowed, path_prefix));

    task_request task;
    BOOST_OUTCOME_TRY(kind, read_name(object, "kind", path_prefix, true, limits.name_bytes));
    task.kind = std::move(kind);
    BOOST_OUTCOME_TRY(region, read_name(object, "region", path_prefix, false, limits.name_bytes));
    task.region = std::move(region);
    BOOST_OUTCOME_TRY(zone, read_name(object, "zone", path_prefix, false, limits.name_bytes));
    task.zone = std::move(zone);
    auto const max_deadline_ms = static_cast<std::uint64_t>(limits.deadline.count());
    BOOST_OUTCOME_TRY(expected, read_number(object, "expected_ms", path_prefix, max_deadline_ms));
    task.expected = std::chrono::milliseconds(expected);
    BOOST_OUTCOME_TRY(cpu, read_number(object, "cpu", path_prefix, max_cpu));
    task.cpu = static_cast<std::uint32_t>(cpu);
    BOOST_OUTCOME_TRY(memory, read_number(object, "memory_mb", path_prefix, max_memory_mb));
    task.memory_mb = static_cast<std::uint32_t>(memory);

    if (auto const flag = object.find("idempotent"); flag != object.end()) {
        if (!flag->is_boolean())
            return invalid(path_prefix + "idempotent must be true or false");
        task.idempotent = flag->get<bool>();
    }
    auto const payload = object.find("payload");
    task.payload = payload == object.end() ? "null" : payload->dump();
    return task;
}

base::result<void> read_tasks(json const& body, job_limits const& limits, job_request& request)
{
    auto const tasks = body.find("tasks");
    if (tasks == body.end())
        return invalid("missing field tasks");
    if (!tasks->is_array() || tasks->empty() || tasks->size() > limits.tasks)
        return invalid("tasks must be an array of 1 to " + std::to_string(limits.tasks) + " tasks");
    request.tasks.reserve(tasks->size());
    for (std::size_t index = 0; index < tasks->size(); ++index) {
        auto const path_prefix = "tasks[" + std::to_string(index) + "].";
        BOOST_OUTCOME_TRY(task, read_task((*tasks)[index], path_prefix, limits));
        request.tasks.push_back(std::move(task));
    }
    return boost::outcome_v2::success();
}

json error_json(base::error const& failure)
{
    return {{"code", base::to_string(failure.code)},
            {"message", failure.message},
            {"step", base::to_string(failure.step)},
            {"peer", failure.peer}};
}

json task_json(task_answer const& task, bool with_result)
{
    json entry {{"index", task.index}, {"state", to_string(task.state)}};
    if (with_result)
        entry["result"] = parse_json_or(task.result, nullptr);
    return entry;
}

std::string dump(json const& value)
{
    // Messages from endpoints may contain invalid UTF-8. Replacing it keeps the answer valid JSON.
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace

base::result<job_request> parse_job_request(std::string_view text, job_limits const& limits)
{
    static std::set<std::string> const allowed {"submission", "team", "deadline_ms", "tasks"};
    BOOST_OUTCOME_TRY(body, parse_body(text));
    if (!body.is_object())
        return invalid("body must be an object");
    BOOST_OUTCOME_TRYV(reject_unknown_fields(body, allowed, ""));

    job_request request;
    BOOST_OUTCOME_TRY(submission, read_name(body, "submission", "", true, limits.name_bytes));
    request.submission = std::move(submission);
    BOOST_OUTCOME_TRY(team, read_name(body, "team", "", true, limits.name_bytes));
    request.team = std::move(team);
    auto const max_deadline_ms = static_cast<std::uint64_t>(limits.deadline.count());
    BOOST_OUTCOME_TRY(deadline, read_number(body, "deadline_ms", "", max_deadline_ms));
    request.deadline = std::chrono::milliseconds(deadline);
    BOOST_OUTCOME_TRYV(read_tasks(body, limits, request));
    return request;
}

std::string to_json(job_answer const& answer)
{
    bool const complete = answer.state == job_state::complete;
    json tasks = json::array();
    for (auto const& task : answer.tasks)
        tasks.push_back(task_json(task, complete));
    json body {{"job", answer.job},
               {"submission", answer.submission},
               {"team", answer.team},
               {"state", to_string(answer.state)},
               {"ran", to_string(answer.ran)},
               {"tasks", std::move(tasks)}};
    if (answer.failure)
        body["error"] = error_json(*answer.failure);
    return dump(body);
}

std::string refusal_json(base::error const& failure, std::chrono::milliseconds retry_after)
{
    auto body = error_json(failure);
    body["ran"] = to_string(ran_extent::none);
    body["retry_after_ms"] = retry_after.count();
    return dump({{"error", std::move(body)}});
}

std::string_view to_string(job_state state)
{
    static constexpr std::array names {
        std::string_view {"running"},   std::string_view {"complete"}, std::string_view {"failed"},
        std::string_view {"cancelled"}, std::string_view {"refused"},
    };
    return names.at(static_cast<std::size_t>(state));
}

std::string_view to_string(ran_extent extent)
{
    static constexpr std::array names {
        std::string_view {"all"},
        std::string_view {"some"},
        std::string_view {"none"},
        std::string_view {"unknown"},
    };
    return names.at(static_cast<std::size_t>(extent));
}

std::string_view to_string(task_state state)
{
    static constexpr std::array names {
        std::string_view {"waiting"},   std::string_view {"starting"},
        std::string_view {"succeeded"}, std::string_view {"failed"},
        std::string_view {"not_run"},   std::string_view {"may_have_run"},
        std::string_view {"cancelled"},
    };
    return names.at(static_cast<std::size_t>(state));
}

} // namespace greengagehead::protocol

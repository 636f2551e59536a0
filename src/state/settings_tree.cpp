// Version checks, idempotency keys and history of settings.

#include "state/settings_tree.h"

#include <utility>

#include "state/setting_schema.h"

namespace greengagehead::state {

namespace {

constexpr std::size_t max_author_size_bytes = 256;

using protocol::change_result;
using protocol::change_status;

change_result rejected(change_status status, protocol::setting current, std::string message)
{
    return {status, std::move(current), 0, std::move(message)};
}

/// Canonical form of a change, which tells whether an idempotency key is reused for another one.
std::string content_of(protocol::put_setting const& request)
{
    auto content = request.path + '\n' + request.value + '\n';
    return request.expected_version ? content + std::to_string(*request.expected_version) : content;
}

/// The path of a team's settings, if this is its `share_percent`; otherwise empty.
std::string_view team_of_share(std::string_view path)
{
    constexpr std::string_view name = "share_percent";
    return path.ends_with(name) ? path.substr(0, path.size() - name.size()) : std::string_view();
}

bool at_or_below(std::string_view path, std::string_view prefix)
{
    while (!prefix.empty() && prefix.back() == '/')
        prefix.remove_suffix(1);
    return path.substr(0, prefix.size()) == prefix
        && (path.size() == prefix.size() || path[prefix.size()] == '/');
}

} // namespace

settings_tree::outcome settings_tree::put(protocol::put_setting const& request,
                                          protocol::wall_time applied_at,
                                          protocol::view_number next_view)
{
    auto const content = content_of(request);
    if (auto recorded = this->recorded_changes.find(request.idempotency_key, content)) {
        if (recorded->status == change_status::invalid)
            recorded->current = this->current(request.path);
        return {*std::move(recorded)};
    }
    auto outcome = this->put_unrecorded(request, applied_at, next_view);
    this->recorded_changes.record_result(request.idempotency_key, content, outcome.result);
    return outcome;
}

settings_tree::outcome settings_tree::put_unrecorded(protocol::put_setting const& request,
                                                     protocol::wall_time applied_at,
                                                     protocol::view_number next_view)
{
    if (request.author.size() > max_author_size_bytes)
        return {rejected(change_status::invalid, this->current(request.path),
                         "an author has at most 256 bytes")};
    auto const checked = check_setting(request.path, request.value);
    if (!checked) {
        auto const status = checked.error().code == base::error_code::not_found
            ? change_status::unknown_path
            : change_status::invalid;
        return {rejected(status, this->current(request.path), checked.error().message)};
    }
    // A share divides what others wait for, so a misspelt team would be limited without notice.
    auto const team = team_of_share(request.path);
    if (!team.empty() && this->list(team).empty())
        return {
            rejected(change_status::unknown_path, this->current(request.path),
                     "no team has settings below " + std::string(team) + "; set its weight first")};
    auto const before = this->current(request.path);
    if (request.expected_version && *request.expected_version != before.version)
        return {rejected(change_status::version_mismatch, before,
                         request.path + " is at version " + std::to_string(before.version))};
    auto& target = this->nodes[request.path];
    target.value = checked.value();
    ++target.version;
    protocol::setting const after {request.path, target.value, target.version};
    target.history.push_back({after, request.author, applied_at});
    if (target.history.size() > history_limit)
        target.history.pop_front();
    return {{change_status::applied, after, next_view, {}}, true};
}

protocol::setting settings_tree::current(std::string const& path) const
{
    auto const found = this->nodes.find(path);
    if (found == this->nodes.end())
        return {path, {}, 0};
    return {path, found->second.value, found->second.version};
}

std::vector<protocol::setting> settings_tree::list(std::string_view prefix) const
{
    std::vector<protocol::setting> settings;
    for (auto const& [path, item] : this->nodes)
        if (at_or_below(path, prefix))
            settings.push_back({path, item.value, item.version});
    return settings;
}

protocol::settings_history settings_tree::history(std::string const& path) const
{
    auto const found = this->nodes.find(path);
    if (found == this->nodes.end())
        return {};
    return {{found->second.history.begin(), found->second.history.end()}};
}

settings_image settings_tree::image() const
{
    settings_image image;
    for (auto const& [path, item] : this->nodes)
        image.settings.push_back(
            {{path, item.value, item.version}, {item.history.begin(), item.history.end()}});
    image.recorded_changes = this->recorded_changes.image();
    return image;
}

void settings_tree::restore(settings_image image)
{
    *this = {};
    for (auto& item : image.settings)
        this->nodes[item.current.path] = {std::move(item.current.value),
                                          item.current.version,
                                          {item.history.begin(), item.history.end()}};
    this->recorded_changes.restore(image.recorded_changes);
}

} // namespace greengagehead::state

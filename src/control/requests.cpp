// Requests of entries: admission, proposals, reads and answers.

#include <utility>
#include <variant>

#include "control/control_core.h"

namespace greengagehead::control {

namespace {

/// Requests kept between the election and the first commit of a new leader, about 100 ms.
constexpr std::size_t waiting_limit = 1000;

/// Identity of a request as idempotency key, for changes without one: a request that is resent to
/// the next leader must not be applied twice.
void fill_key(std::string& key, request_origin const& origin)
{
    if (key.empty())
        key = "request:" + origin.from.name + ":" + std::to_string(origin.from.incarnation) + ":"
            + std::to_string(origin.request_id);
}

void identify(protocol::command_body& body, request_origin const& origin)
{
    std::visit(
        [&origin](auto& request) {
            if constexpr (requires { request.idempotency_key; })
                fill_key(request.idempotency_key, origin);
            if constexpr (requires { request.request_id; })
                request.request_id = origin.request_id;
        },
        body);
}

/// Commands that follow from leases and times; only the leader knows when they are due.
bool internal(protocol::command_body const& body)
{
    return std::holds_alternative<protocol::join_entry>(body)
        || std::holds_alternative<protocol::remove_entry>(body)
        || std::holds_alternative<protocol::take_over>(body)
        || std::holds_alternative<protocol::expire_claims>(body);
}

base::error refused(std::string message)
{
    return {
        base::error_code::invalid_argument, base::error_step::replicate, {}, std::move(message)};
}

} // namespace

void control_core::request(std::string const& peer, protocol::control_request const& request,
                           steady_time now)
{
    request_origin const origin {peer, request.from, request.request_id};
    if (!this->log.leading())
        return this->redirect(origin);
    if (!this->requests.begin(origin))
        return;
    if (this->ready)
        return this->serve(origin, request.body, now);
    if (this->waiting.size() >= waiting_limit)
        return this->redirect(origin);
    this->waiting.emplace_back(origin, request.body);
}

void control_core::serve(request_origin const& origin, protocol::control_request_body const& body,
                         steady_time now)
{
    if (auto const* command = std::get_if<protocol::command_body>(&body))
        return this->serve_command(origin, *command, now);
    if (!this->authoritative(now))
        return this->redirect(origin);
    if (auto const* change = std::get_if<protocol::change_members>(&body)) {
        auto const changed = this->log.change_members(*change);
        if (!changed)
            return this->answer(origin, changed.error());
        return this->answer(origin, protocol::view_result {this->state.view()});
    }
    this->answer(origin, this->read(body, now));
}

void control_core::serve_command(request_origin const& origin, protocol::command_body body,
                                 steady_time now)
{
    if (internal(body))
        return this->answer(origin, refused("only the leader itself proposes this command"));
    identify(body, origin);
    auto const position = this->append(std::move(body), now);
    if (!position)
        return this->redirect(origin);
    for (auto const& commit : std::exchange(this->early, {}))
        if (commit.position == position.value())
            return this->complete(origin, commit.result);
    this->requests.await_commit(position.value(), origin);
}

protocol::control_result control_core::read(protocol::control_request_body const& body,
                                            steady_time now)
{
    if (auto const* claim = std::get_if<protocol::read_claim>(&body))
        return protocol::claim_lookup {this->state.claims().find(claim->job),
                                       this->state.claims().expired(claim->job)};
    if (auto const* settings = std::get_if<protocol::read_settings>(&body))
        return protocol::settings_list {this->state.settings().list(settings->prefix)};
    if (auto const* history = std::get_if<protocol::read_history>(&body))
        return this->state.settings().history(history->path);
    if (auto const* agents = std::get_if<protocol::read_agents>(&body))
        return this->state.agents().list(agents->claimed_at);
    return this->status(now);
}

void control_core::complete(request_origin const& origin, protocol::control_result const& result)
{
    auto const* change = std::get_if<protocol::change_result>(&result);
    if (change == nullptr || change->view <= this->in_force)
        return this->answer(origin, result);
    this->requests.await_view(change->view, origin, result);
}

void control_core::answer(request_origin const& origin, protocol::control_result const& result)
{
    this->requests.end(origin);
    this->sender.send(origin.peer, protocol::control_reply {origin.request_id, result});
}

/// Tells the sender to ask the leader, under the same request id.
void control_core::redirect(request_origin const& origin)
{
    this->requests.end(origin);
    auto group = this->log.group();
    // A leader that cannot serve now must not send requests back to itself.
    if (this->log.leading())
        group.leader = {};
    this->sender.send(origin.peer, protocol::not_leader {std::move(group), origin.request_id});
}

void control_core::redirect_all()
{
    this->waiting.clear();
    for (auto const& origin : this->requests.clear())
        this->redirect(origin);
}

protocol::control_status control_core::status(base::steady_time /*now*/) const
{
    return {this->log.members(), this->log.term(), this->log.commit_index(),
            this->state.view(),  this->in_force,   this->state.claims().size()};
}

state::control_state const& control_core::replicated() const
{
    return this->state;
}

} // namespace greengagehead::control

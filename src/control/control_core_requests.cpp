// Control core: handles requests, which become a proposal, a membership change or a read.

#include <utility>
#include <variant>

#include "control/control_core.h"

namespace greengagehead::control {

namespace {

/// Requests that a new leader keeps between its election and its first commit, about 100 ms.
constexpr std::size_t max_waiting_requests = 1000;

/// Derives an idempotency key from the identity of the request when the change has none: a request
/// that is resent to the next leader must not be applied twice.
void fill_idempotency_key(std::string& key, request_origin const& origin)
{
    if (key.empty())
        key = "request:" + origin.from.name + ":" + std::to_string(origin.from.incarnation) + ":"
            + std::to_string(origin.request_id);
}

void set_request_identity(protocol::command_body& body, request_origin const& origin)
{
    std::visit(
        [&origin](auto& request) {
            if constexpr (requires { request.idempotency_key; })
                fill_idempotency_key(request.idempotency_key, origin);
            if constexpr (requires { request.request_id; })
                request.request_id = origin.request_id;
        },
        body);
}

/// True for commands that depend on leases and timeouts; only the leader knows when they are due.
bool is_internal_command(protocol::command_body const& body)
{
    return std::holds_alternative<protocol::join_entry>(body)
        || std::holds_alternative<protocol::remove_entry>(body)
        || std::holds_alternative<protocol::take_over>(body)
        || std::holds_alternative<protocol::expire_claims>(body);
}

base::error refused_request(std::string message)
{
    return {
        base::error_code::invalid_argument, base::error_step::replicate, {}, std::move(message)};
}

} // namespace

void control_core::handle_request(std::string const& peer, protocol::control_request const& request,
                                  steady_time now)
{
    request_origin const origin {peer, request.from, request.request_id};
    if (!this->log.leading())
        return this->redirect(origin);
    if (!this->requests.accept(origin))
        return;
    if (this->ready)
        return this->serve(origin, request.body, now);
    if (this->waiting_requests.size() >= max_waiting_requests)
        return this->redirect(origin);
    this->waiting_requests.emplace_back(origin, request.body);
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
    if (is_internal_command(body))
        return this->answer(origin, refused_request("only the leader may propose this command"));
    set_request_identity(body, origin);
    auto const position = this->append(std::move(body), now);
    if (!position)
        return this->redirect(origin);
    for (auto const& commit : std::exchange(this->early_commits, {}))
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
    if (change == nullptr || change->view <= this->view_in_force)
        return this->answer(origin, result);
    this->requests.await_view(change->view, origin, result);
}

void control_core::answer(request_origin const& origin, protocol::control_result const& result)
{
    this->requests.finish(origin);
    this->sender.send(origin.peer, protocol::control_reply {origin.request_id, result});
}

/// Tells the sender to ask the leader, under the same request id.
void control_core::redirect(request_origin const& origin)
{
    this->requests.finish(origin);
    auto group = this->log.group();
    // A leader that cannot serve now must not send requests back to itself.
    if (this->log.leading())
        group.leader = {};
    this->sender.send(origin.peer, protocol::not_leader {std::move(group), origin.request_id});
}

void control_core::redirect_all()
{
    this->waiting_requests.clear();
    for (auto const& origin : this->requests.clear())
        this->redirect(origin);
}

protocol::control_status control_core::status(base::steady_time /*now*/) const
{
    return {this->log.members(), this->log.term(),    this->log.commit_index(),
            this->state.view(),  this->view_in_force, this->state.claims().size()};
}

state::control_state const& control_core::committed_state() const
{
    return this->state;
}

} // namespace greengagehead::control

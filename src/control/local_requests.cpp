// Pending local requests and their timeouts.

#include "control/local_requests.h"

#include <utility>
#include <vector>

#include "base/random.h"

namespace greengagehead::control {

namespace {

/// Cannot collide with the name of a link: peers are named by role and process.
constexpr auto local_peer = "local";

} // namespace

local_requests::local_requests(protocol::message_sender& links)
    : link_sender(links), sender_id {local_peer, base::random_number()}
{
}

void local_requests::connect(
    std::function<void(std::string const&, protocol::control_request const&, base::steady_time)>
        handler)
{
    this->request_handler = std::move(handler);
}

void local_requests::request(protocol::control_request_body body, std::chrono::milliseconds timeout,
                             callback done, base::steady_time now)
{
    auto const id = ++this->last_id;
    this->pending_requests[id] = {std::move(done), now + timeout};
    this->request_handler(local_peer,
                          protocol::control_request {id, this->sender_id, std::move(body)}, now);
}

void local_requests::send(std::string const& peer, protocol::message const& body)
{
    if (peer != local_peer)
        return this->link_sender.send(peer, body);
    if (auto const* const answer = std::get_if<protocol::control_reply>(&body))
        this->finish(answer->request_id, answer->result);
    else if (auto const* const redirect = std::get_if<protocol::not_leader>(&body))
        this->finish(redirect->request_id, not_leading {redirect->group.leader.name});
}

void local_requests::finish(std::uint64_t id, reply const& result)
{
    auto const found = this->pending_requests.find(id);
    if (found == this->pending_requests.end())
        return;
    auto const done = std::move(found->second.done);
    this->pending_requests.erase(found);
    done(result);
}

void local_requests::tick(base::steady_time now)
{
    std::vector<std::uint64_t> expired;
    for (auto const& [id, pending] : this->pending_requests) {
        if (pending.deadline <= now)
            expired.push_back(id);
    }
    for (auto const id : expired)
        this->finish(id, no_answer {});
}

} // namespace greengagehead::control

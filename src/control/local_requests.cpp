// Bookkeeping of open local requests.

#include "control/local_requests.h"

#include <utility>
#include <vector>

#include "base/random.h"

namespace greengagehead::control {

namespace {

/// No link can have this name: peers are named by role and process.
constexpr auto local_peer = "local";

} // namespace

local_requests::local_requests(protocol::message_sender& out)
    : links(out), self {local_peer, base::random_number()}
{
}

void local_requests::connect(
    std::function<void(std::string const&, protocol::control_request const&, base::steady_time)>
        target)
{
    this->forward = std::move(target);
}

void local_requests::request(protocol::control_request_body body, std::chrono::milliseconds timeout,
                             callback done, base::steady_time now)
{
    auto const id = ++this->last_id;
    this->open[id] = {std::move(done), now + timeout};
    this->forward(local_peer, protocol::control_request {id, this->self, std::move(body)}, now);
}

void local_requests::send(std::string const& peer, protocol::message const& body)
{
    if (peer != local_peer)
        return this->links.send(peer, body);
    if (auto const* const answer = std::get_if<protocol::control_reply>(&body))
        this->finish(answer->request_id, answer->result);
    else if (auto const* const elsewhere = std::get_if<protocol::not_leader>(&body))
        this->finish(elsewhere->request_id, not_leading {elsewhere->group.leader.name});
}

void local_requests::finish(std::uint64_t id, reply const& result)
{
    auto const found = this->open.find(id);
    if (found == this->open.end())
        return;
    auto const done = std::move(found->second.done);
    this->open.erase(found);
    done(result);
}

void local_requests::tick(base::steady_time now)
{
    std::vector<std::uint64_t> late;
    for (auto const& [id, waiting] : this->open) {
        if (waiting.until <= now)
            late.push_back(id);
    }
    for (auto const id : late)
        this->finish(id, no_answer {});
}

} // namespace greengagehead::control

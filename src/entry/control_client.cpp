// Leader search and resending.

#include "entry/control_client.h"

#include <algorithm>
#include <utility>

namespace greengagehead::entry {

namespace {

/// An unanswered request is sent again after this time: well above one commit, well below the
/// claim timeout.
constexpr std::chrono::milliseconds resend_interval {250};
/// Members without a leader hint are tried at this pace, so that an election is not flooded.
constexpr std::chrono::milliseconds turn_interval {40};

} // namespace

control_client::control_client(protocol::process_id self_id, std::vector<std::string> members,
                               protocol::message_sender& out)
    : self(std::move(self_id)), controls(std::move(members)), sender(out)
{
    if (!this->controls.all().empty())
        this->current = this->controls.all().front();
}

std::string const& control_client::target() const
{
    return this->current;
}

std::string const& control_client::leader() const
{
    return this->known_leader;
}

void control_client::request(protocol::control_request_body body, std::chrono::milliseconds timeout,
                             callback done, base::steady_time now)
{
    auto const id = ++this->last_id;
    auto const deadline = timeout.count() == 0 ? base::steady_time::max() : now + timeout;
    auto& added = this->open[id];
    added = {std::move(body), std::move(done), deadline, now};
    this->send(id, added, now);
}

void control_client::send(std::uint64_t id, pending& request, base::steady_time now)
{
    request.next_send = now + resend_interval;
    if (!this->current.empty())
        this->sender.send(this->current, protocol::control_request {id, this->self, request.body});
}

void control_client::resend_all(base::steady_time now)
{
    for (auto& [id, request] : this->open)
        this->send(id, request, now);
}

void control_client::on_reply(std::string const& peer, protocol::control_reply const& reply,
                              base::steady_time now)
{
    this->note_leader(peer, now);
    auto found = this->open.find(reply.request_id);
    if (found == this->open.end())
        return;
    auto const done = std::move(found->second.done);
    this->open.erase(found);
    done(reply.result, now);
}

void control_client::note_leader(std::string const& peer, base::steady_time now)
{
    this->known_leader = peer;
    this->watch.answered(peer, now);
    if (this->current == peer)
        return;
    this->current = peer;
    this->resend_all(now);
}

void control_client::on_not_leader(std::string const& peer, protocol::not_leader const& answer,
                                   base::steady_time now)
{
    if (this->known_leader == peer)
        this->known_leader.clear();
    if (peer != this->current)
        return;
    auto const& leader = answer.group.leader.name;
    // A former member may name a former leader.
    if (leader.empty() || leader == peer || protocol::older(answer.group, this->group())) {
        this->give_up_on(peer, now);
        return;
    }
    // Two members that name each other during an election must not cause a storm of resends.
    if (now - this->last_turn < turn_interval && this->last_turn != base::steady_time {})
        return;
    this->last_turn = now;
    this->current = leader;
    this->resend_all(now);
}

void control_client::on_peer_up(std::string const& peer)
{
    this->watch.link_up(peer);
}

void control_client::on_peer_down(std::string const& peer, base::steady_time now)
{
    this->watch.link_down(peer);
    this->give_up_on(peer, now);
}

void control_client::give_up_on(std::string const& peer, base::steady_time now)
{
    if (this->known_leader == peer)
        this->known_leader.clear();
    auto const& candidates = this->controls.all();
    if (peer != this->current || candidates.empty())
        return;
    if (now - this->last_turn < turn_interval && this->last_turn != base::steady_time {})
        return;
    this->last_turn = now;
    auto found = std::find(candidates.begin(), candidates.end(), this->current);
    if (found == candidates.end() || ++found == candidates.end())
        found = candidates.begin();
    this->current = *found;
    this->resend_all(now);
}

void control_client::set_configured(std::vector<std::string> members)
{
    this->controls.set_configured(std::move(members));
}

bool control_client::learn(protocol::control_group const& group)
{
    return this->controls.update_group(group);
}

void control_client::tick(base::steady_time now)
{
    this->watch.tick(this->current, this->controls.all(), now);
    std::vector<callback> expired;
    bool unanswered = false;
    for (auto it = this->open.begin(); it != this->open.end();) {
        auto& [id, request] = *it;
        if (now >= request.deadline) {
            expired.push_back(std::move(request.done));
            it = this->open.erase(it);
            continue;
        }
        if (now >= request.next_send) {
            unanswered = true;
            this->send(id, request, now);
        }
        ++it;
    }
    if (unanswered)
        this->give_up_on(this->current, now);
    for (auto const& done : expired)
        done(base::error {base::error_code::timeout, base::error_step::replicate, this->current,
                          "no answer from control in time"},
             now);
}

} // namespace greengagehead::entry

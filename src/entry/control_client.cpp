// Leader search and resending of requests.

#include "entry/control_client.h"

#include <algorithm>
#include <utility>

namespace greengagehead::entry {

namespace {

/// Time after which an unanswered request is sent again: well above the time of one commit, well
/// below the claim timeout.
constexpr std::chrono::milliseconds resend_interval {250};
/// Shortest time between switches to another member, so that members are not flooded during an
/// election.
constexpr std::chrono::milliseconds switch_interval {40};

} // namespace

control_client::control_client(protocol::process_id self_id, std::vector<std::string> members,
                               protocol::message_sender& out)
    : self(std::move(self_id)), controls(std::move(members)), sender(out),
      last_request_id(protocol::request_number_base(this->self.incarnation))
{
    if (!this->controls.all().empty())
        this->target_member = this->controls.all().front();
}

std::string const& control_client::target() const
{
    return this->target_member;
}

std::string const& control_client::leader() const
{
    return this->known_leader;
}

void control_client::request(protocol::control_request_body body, std::chrono::milliseconds timeout,
                             callback done, base::steady_time now)
{
    auto const id = ++this->last_request_id;
    auto const deadline = timeout.count() == 0 ? base::steady_time::max() : now + timeout;
    auto& added = this->pending_requests[id];
    added = {std::move(body), std::move(done), deadline, now};
    this->send(id, added, now);
}

void control_client::send(std::uint64_t id, pending_request& request, base::steady_time now)
{
    request.next_send = now + resend_interval;
    if (!this->target_member.empty())
        this->sender.send(this->target_member,
                          protocol::control_request {id, this->self, request.body});
}

void control_client::resend_all(base::steady_time now)
{
    for (auto& [id, request] : this->pending_requests)
        this->send(id, request, now);
}

void control_client::on_reply(std::string const& peer, protocol::control_reply const& reply,
                              base::steady_time now)
{
    this->record_leader(peer, now);
    auto found = this->pending_requests.find(reply.request_id);
    if (found == this->pending_requests.end())
        return;
    auto const done = std::move(found->second.done);
    this->pending_requests.erase(found);
    done(reply.result, now);
}

void control_client::record_leader(std::string const& peer, base::steady_time now)
{
    this->known_leader = peer;
    this->outage_log.record_answer(peer, now);
    if (this->target_member == peer)
        return;
    this->target_member = peer;
    this->resend_all(now);
}

void control_client::on_not_leader(std::string const& peer, protocol::not_leader const& answer,
                                   base::steady_time now)
{
    if (this->known_leader == peer)
        this->known_leader.clear();
    if (peer != this->target_member)
        return;
    auto const& leader = answer.group.leader.name;
    // A former member may name a former leader.
    if (leader.empty() || leader == peer || protocol::older(answer.group, this->group())) {
        this->fail_over_from(peer, now);
        return;
    }
    // Two members that name each other during an election must not cause a flood of resends.
    if (now - this->last_switch < switch_interval && this->last_switch != base::steady_time {})
        return;
    this->last_switch = now;
    this->target_member = leader;
    this->resend_all(now);
}

void control_client::on_peer_up(std::string const& peer)
{
    this->outage_log.link_up(peer);
}

void control_client::on_peer_down(std::string const& peer, base::steady_time now)
{
    this->outage_log.link_down(peer);
    this->fail_over_from(peer, now);
}

void control_client::fail_over_from(std::string const& peer, base::steady_time now)
{
    if (this->known_leader == peer)
        this->known_leader.clear();
    auto const& candidates = this->controls.all();
    if (peer != this->target_member || candidates.empty())
        return;
    if (now - this->last_switch < switch_interval && this->last_switch != base::steady_time {})
        return;
    this->last_switch = now;
    auto found = std::find(candidates.begin(), candidates.end(), this->target_member);
    if (found == candidates.end() || ++found == candidates.end())
        found = candidates.begin();
    this->target_member = *found;
    this->resend_all(now);
}

void control_client::set_configured(std::vector<std::string> members)
{
    this->controls.set_configured(std::move(members));
}

bool control_client::update_group(protocol::control_group const& group)
{
    return this->controls.update_group(group);
}

void control_client::tick(base::steady_time now)
{
    this->outage_log.tick(this->target_member, this->controls.all(), now);
    std::vector<callback> expired;
    bool unanswered = false;
    for (auto it = this->pending_requests.begin(); it != this->pending_requests.end();) {
        auto& [id, request] = *it;
        if (now >= request.deadline) {
            expired.push_back(std::move(request.done));
            it = this->pending_requests.erase(it);
            continue;
        }
        if (now >= request.next_send) {
            unanswered = true;
            this->send(id, request, now);
        }
        ++it;
    }
    if (unanswered)
        this->fail_over_from(this->target_member, now);
    for (auto const& done : expired)
        done(base::error {base::error_code::timeout, base::error_step::replicate,
                          this->target_member, "no answer from control in time"},
             now);
}

} // namespace greengagehead::entry

// Lease renewal, views and stamps.

#include "entry/lease_manager.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "entry/agent_table.h"
#include "entry/control_client.h"
#include "entry/entry_core.h"
#include "policy/remote_submissions.h"

namespace greengagehead::entry {

namespace {

/// Largest difference in rate between the clocks of two processes.
constexpr std::int64_t clock_drift_percent = 1;
/// Control removes an entry one second after its lease has ended. After a shorter gap the entry has
/// certainly not been removed.
constexpr std::chrono::milliseconds ownership_check_gap {800};
constexpr std::chrono::milliseconds agent_update_interval {250};
constexpr std::chrono::milliseconds retry_interval {50};
/// A message does not count for its agent any more when it is older than this. Covers three update
/// intervals. With the longest lease of a worker (1.02 s) it must stay below
/// `policy::unconfirmed_run_limit`, after which the entry gives up the runs of a lost agent.
constexpr std::chrono::milliseconds stamp_validity {780};
// An entry that is cut off just before it announces a job has sent its last stamp by then. Its runs
// are stopped before the caller sends the job to another entry.
static_assert(policy::announcement_delay + stamp_validity <= policy::caller_return_delay);
/// An agent gets no more stamps when it has been silent for this long: 1 s, looked at each 100 ms.
constexpr std::chrono::milliseconds longest_agent_silence {1100};
static_assert(stamp_validity + policy::longest_run_after_permission
              <= policy::unconfirmed_run_limit);
static_assert(longest_agent_silence + stamp_validity + policy::longest_run_after_permission
              <= policy::listed_run_limit);
/// A member that leaves renewals unanswered for this long is assumed to be unreachable.
constexpr std::chrono::milliseconds answer_timeout {250};

/// Reading of the agent's clock at `time` or earlier, whichever of the two clocks is slow.
base::clock_reading reading_of_agent(agent_record const& agent, base::steady_time time)
{
    auto const since_report = base::to_reading(time) - base::to_reading(agent.last_report);
    return agent.clock + since_report * (100 - clock_drift_percent) / 100;
}

} // namespace

lease_manager::lease_manager(entry_settings const& entry, protocol::message_sender& output,
                             control_client& client, agent_table& records)
    : settings(entry), sender(output), control(client), agents(records)
{
}

protocol::process_id const& lease_manager::self() const
{
    return this->settings.id;
}

void lease_manager::on_grant(std::string const& peer, protocol::grant_lease const& grant,
                             base::steady_time now)
{
    if (grant.incarnation != this->settings.id.incarnation)
        return;
    this->renewals_answered = true;
    this->control.record_leader(peer, now);
    auto const granted_until = base::from_reading(grant.expires_at);
    if (granted_until <= this->expires_at)
        return;
    auto const lapsed = this->expires_at != base::steady_time {} && now > this->expires_at
        && now - this->expires_at >= ownership_check_gap;
    if (lapsed)
        this->ownership_in_doubt.emit(now);
    this->expires_at = granted_until;
    this->lease_view = grant.view;
    if (lapsed)
        this->update_agents(now);
}

void lease_manager::on_view(protocol::view_update const& update, base::steady_time now)
{
    if (update.current.number <= this->current.number)
        return;
    // Control leaves the text out when this entry has the document. If it has not, the link was
    // replaced meanwhile; the next renewal asks for the view again.
    auto const& routing = update.current.routing;
    bool const text_omitted = routing.version != 0 && routing.text.empty();
    if (text_omitted && routing.version != this->current.routing.version)
        return;
    auto known_text = text_omitted ? std::move(this->current.routing.text) : std::string();
    this->current = update.current;
    if (text_omitted)
        this->current.routing.text = std::move(known_text);
    auto const was_in_view
        = std::exchange(this->in_view, this->find_live_entry(this->settings.id) != nullptr);
    if (was_in_view && !this->in_view)
        this->ownership_in_doubt.emit(now);
    this->view_applied.emit(now);
    this->update_agents(now);
    this->update_settled();
    this->renew(now);
}

void lease_manager::on_not_leader(base::steady_time now)
{
    this->renewals_answered = true;
    this->next_renewal = std::min(this->next_renewal, now + retry_interval);
}

void lease_manager::on_report(agent_record& agent, base::steady_time now)
{
    auto const before = this->settled_view;
    this->update_settled();
    // The operator who made the change waits until it is settled.
    if (this->settled_view != before)
        this->renew(now);
    // Without a lease there are no stamps, and the regular updates are enough.
    bool const update_missing
        = agent.stamps.empty() && now - agent.last_update > 2 * agent_update_interval;
    if (update_missing || agent.seen_view < this->current.number)
        this->update_agent(agent, now);
}

void lease_manager::tick(base::steady_time now)
{
    for (auto& agent : this->agents.all())
        std::erase_if(agent.stamps, [now](auto const& stamp) { return stamp.expires_at <= now; });
    auto const before = this->settled_view;
    this->update_settled();
    if (now >= this->next_renewal || this->settled_view != before)
        this->renew(now);
    if (now >= this->next_agent_update)
        this->update_agents(now);
}

void lease_manager::renew_soon()
{
    this->next_renewal = base::steady_time {};
}

void lease_manager::renew(base::steady_time now)
{
    if (!this->renewals_answered && now - this->unanswered_since >= answer_timeout)
        this->control.fail_over_from(this->control.target(), now);
    if (std::exchange(this->renewals_answered, false))
        this->unanswered_since = now;
    // Without a view the entry serves nobody, and an elected member does not answer before its
    // first commit.
    this->next_renewal
        = now + (this->current.number == 0 ? retry_interval : this->settings.renew_interval);
    if (this->control.target().empty())
        return;
    this->sender.send(this->control.target(),
                      protocol::renew_lease {this->settings.id, this->settings.zone,
                                             this->settings.http_address, base::to_reading(now),
                                             this->current.number, this->settled_view,
                                             this->seen_takeover, this->settings.link_address,
                                             this->demand ? this->demand(now) : std::nullopt});
}

void lease_manager::record_takeover(std::uint64_t sequence)
{
    this->seen_takeover = std::max(this->seen_takeover, sequence);
}

bool lease_manager::valid(base::steady_time now) const
{
    return this->in_view && now < this->expires_at && this->current.number >= this->lease_view;
}

std::optional<protocol::lease_stamp> lease_manager::stamp(agent_record& agent,
                                                          base::steady_time now)
{
    if (!this->valid(now) || agent.last_report == base::steady_time {} || agent.replaced
        || agent.last_report >= this->expires_at)
        return std::nullopt;
    // The expiry allows for clock drift, so the agent's stamp ends before this time.
    auto const end = std::min(this->expires_at, now + stamp_validity);
    agent.permitted_until = std::max(agent.permitted_until, end);
    auto const same_view
        = std::find_if(agent.stamps.begin(), agent.stamps.end(),
                       [this](auto const& s) { return s.view == this->current.number; });
    if (same_view == agent.stamps.end())
        agent.stamps.push_back({this->current.number, end});
    else
        same_view->expires_at = std::max(same_view->expires_at, end);
    return protocol::lease_stamp {this->settings.id, this->current.number,
                                  reading_of_agent(agent, end)};
}

std::optional<protocol::lease_stamp> lease_manager::unleased_stamp(agent_record& agent,
                                                                   base::steady_time now) const
{
    if (agent.last_report == base::steady_time {} || agent.replaced)
        return std::nullopt;
    agent.permitted_until = std::max(agent.permitted_until, now + stamp_validity);
    return protocol::lease_stamp {this->settings.id, this->current.number,
                                  reading_of_agent(agent, now + stamp_validity), false};
}

protocol::live_entry const* lease_manager::find_live_entry(protocol::process_id const& id) const
{
    auto const& entries = this->current.entries;
    auto const found = std::find_if(entries.begin(), entries.end(),
                                    [&id](auto const& entry) { return entry.id == id; });
    return found == entries.end() ? nullptr : &*found;
}

void lease_manager::update_settled()
{
    // Fast path: this runs for each report, and there is mostly nothing to settle.
    if (this->settled_view == this->current.number)
        return;
    auto lowest = this->current.number;
    for (auto const& agent : this->agents.all()) {
        for (auto const& stamp : agent.stamps)
            lowest = std::min(lowest, std::max(stamp.view, agent.seen_view));
    }
    this->settled_view = std::max(this->settled_view, lowest);
}

void lease_manager::update_agents(base::steady_time now)
{
    this->next_agent_update = now + agent_update_interval;
    for (auto& agent : this->agents.all()) {
        if (agent.connected && !agent.replaced && !agent.silent)
            this->update_agent(agent, now);
    }
}

void lease_manager::update_agent(agent_record& agent, base::steady_time now)
{
    if (this->current.number == 0)
        return;
    agent.last_update = now;
    protocol::lease_update update;
    update.view_omitted = agent.seen_view >= this->current.number;
    if (!update.view_omitted) {
        update.zones_out = this->current.zones_out;
        update.draining_endpoints = this->current.draining_endpoints;
        for (auto const& entry : this->current.entries)
            update.live_entries.push_back(entry.id);
    }
    update.entry_clock = base::to_reading(now);
    auto const leased = this->stamp(agent, now);
    if (leased) {
        update.lease = *leased;
        this->sender.send(agent.id.name, update);
    }
    // Ephemeral runs need no lease, and go on when it ends before the next update.
    if (!leased || this->expires_at < now + stamp_validity) {
        // An agent that has not reported still learns the view, with a stamp that permits nothing.
        update.lease = this->unleased_stamp(agent, now)
                           .value_or(protocol::lease_stamp {this->settings.id, this->current.number,
                                                            base::clock_reading {0}, false});
        this->sender.send(agent.id.name, update);
    }
}

} // namespace greengagehead::entry

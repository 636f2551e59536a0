// Routes inputs about submissions to the parts, and decides which submissions are held or stopped.

#include "entry/resubmissions.h"

#include <algorithm>
#include <utility>

#include "entry/entry_components.h"
#include "entry/job_id.h"
#include "entry/submission_answers.h"

namespace greengagehead::entry {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds expiry_interval {1000};
/// A longer silence in a statement counts as this.
constexpr milliseconds max_stated_silence {std::chrono::hours(24)};

} // namespace

resubmissions::resubmissions(entry_components& shared)
    : components(shared), links(shared), announcements(shared, this->links),
      starts(shared, this->links, this->announcements), runs(shared),
      holds(shared, this->links, this->announcements, this->known, this->runs)
{
}

void resubmissions::tick(base::steady_time now)
{
    this->pauses.record_tick(now);
    this->runs.tick(now);
    if (now >= this->next_expiry) {
        this->next_expiry = now + expiry_interval;
        this->known.expire(now);
        this->starts.expire(now);
        this->announcements.expire();
    }
    this->announcements.tick(now);
}

protocol::submissions_running resubmissions::describe_all(base::steady_time now) const
{
    auto message = this->announcements.describe_older_jobs(now);
    for (auto const& held : this->holds.announcements_of_all(now))
        message.submissions.push_back(held);
    return message;
}

void resubmissions::peer_up(std::string const& peer, base::steady_time now)
{
    if (!entry_links::is_entry(peer))
        return;
    this->links.record_connected(peer);
    auto message = this->describe_all(now);
    message.asks_for_all = true;
    this->components.sender.send(peer, message);
    for (auto const& key : this->known.cancelled_here(now))
        this->components.sender.send(peer, protocol::job_cancel {submission_id(key)});
}

void resubmissions::peer_down(std::string const& peer, base::steady_time now)
{
    if (!entry_links::is_entry(peer))
        return;
    this->links.record_disconnected(peer);
    this->known.record_disconnected(peer);
    this->on_view(now);
}

void resubmissions::record_present_entries()
{
    std::vector<protocol::process_id> present;
    for (auto const& entry : this->components.leases.applied().entries)
        present.push_back(entry.id);
    this->known.record_view(present);
}

void resubmissions::on_view(base::steady_time now)
{
    this->record_present_entries();
    this->holds.proceed_all(now);
}

void resubmissions::on_announcement(std::string const& peer,
                                    protocol::submissions_running const& message,
                                    base::steady_time now)
{
    if (message.entry.name != peer)
        return;
    this->links.record_incarnation(message.entry);
    this->known.record_incarnation(message.entry);
    for (auto const& item : message.submissions) {
        this->known.record(message.entry, item, now);
        if (auto const* const cancelled = this->known.cancelled(item.key, now))
            this->send_cancel(item.key, *cancelled, message.entry);
        else
            this->stop_superseded(item, peer, now);
    }
    if (!message.asks_for_all)
        return;
    auto const answer = this->describe_all(now);
    if (!answer.submissions.empty())
        this->components.sender.send(peer, answer);
}

void resubmissions::stop_superseded(protocol::submissions_running::submission const& announced,
                                    std::string const& peer, base::steady_time now)
{
    auto* const job = this->announcements.find_job(announced.key);
    auto const& self = this->components.settings.id.name;
    if (job == nullptr || announced.held || announced.remaining <= milliseconds(0)
        || !policy::is_later(now - announced.age, peer, job->submitted, self))
        return;
    this->components.lifecycle.stop_for_other_entry(
        *job, peer, "the entry has a later submission of the job", now);
}

bool resubmissions::take(protocol::job_request& request, waiter& caller, std::string const& key,
                         bool abandoned_here, base::steady_time now)
{
    if (this->known.empty() && !abandoned_here)
        return false;
    if (this->known.cancelled(key, now) != nullptr) {
        deliver(caller, cancelled_answer(request), {});
        return true;
    }
    auto const elsewhere = this->known.find(key, now);
    if (!elsewhere && !abandoned_here)
        return false;
    auto const entry = elsewhere ? elsewhere->entry.name : this->components.settings.id.name;
    auto const deadline = now + request.deadline;
    auto const arrived = caller.arrived.value_or(now);
    unstarted_submission submission {key,
                                     {},
                                     std::move(request),
                                     std::move(caller),
                                     arrived,
                                     std::min(this->pauses.earliest_sent(now), arrived),
                                     deadline,
                                     {},
                                     {},
                                     {},
                                     true};
    this->holds.hold(std::move(submission), entry, now);
    return true;
}

bool resubmissions::is_known(std::string const& key, base::steady_time now) const
{
    return this->announcements.find_job(key) != nullptr
        || this->known.cancelled(key, now) != nullptr || this->known.find(key, now)
        || this->holds.contains(key);
}

void resubmissions::hold(unstarted_submission submission, protocol::claim_ref const& holder,
                         base::steady_time granted, base::steady_time now)
{
    this->known.record_claim(submission.key, holder, this->links.may_be_linked(holder.entry),
                             granted, now);
    // A former process of this entry, which is certainly gone.
    if (holder.entry.name == this->components.settings.id.name)
        this->known.record_incarnation(this->components.settings.id);
    this->record_present_entries();
    this->holds.hold_denied(std::move(submission), holder.entry.name, now);
}

bool resubmissions::on_reply(std::string const& peer, protocol::job_reply const& reply,
                             base::steady_time now)
{
    return this->holds.on_reply(peer, reply, now) || this->starts.on_reply(peer, reply);
}

void resubmissions::on_report(protocol::outcome_report const& report, base::steady_time now)
{
    this->runs.on_report(report, now);
}

void resubmissions::record_agents(std::vector<protocol::agent_silence> const& agents,
                                  base::steady_time now)
{
    for (auto const& [agent, silence] : agents) {
        auto const stated = std::clamp(silence, milliseconds(0), max_stated_silence);
        this->runs.record_heard_elsewhere(agent, now - stated);
    }
}

bool resubmissions::cancel(std::string const& team, std::string const& submission,
                           base::steady_time now)
{
    auto const key = job_id_of(team, submission);
    this->known.record_cancelled(key, {team, submission}, now);
    auto const elsewhere = this->known.find(key, now);
    if (elsewhere)
        this->send_cancel(key, {team, submission}, elsewhere->entry);
    // Its caller may have sent it to an entry that has not announced it yet, or may do so.
    this->links.send_to_others(protocol::job_cancel {submission_id(key)});
    bool const claimed = this->components.submission_consent.cancel(key, now);
    return this->holds.cancel(key) || claimed || elsewhere.has_value();
}

void resubmissions::on_cancelled_elsewhere(std::string const& peer, std::string const& id,
                                           base::steady_time now)
{
    if (!entry_links::is_entry(peer))
        return;
    if (auto const key = key_of_submission(id))
        this->record_cancelled(*key, now);
}

bool resubmissions::is_cancelled(std::string const& key, base::steady_time now) const
{
    return this->known.cancelled(key, now) != nullptr;
}

void resubmissions::record_cancelled(std::string const& key, base::steady_time now)
{
    this->known.record_cancelled(key, {}, now);
    if (auto* const job = this->announcements.find_job(key))
        this->components.lifecycle.cancel_submission(*job, now);
    this->components.submission_consent.cancel(key, now);
    this->holds.cancel(key);
}

void resubmissions::send_cancel(std::string const& key, policy::submission_name const& name,
                                protocol::process_id const& entry)
{
    if (name.submission.empty())
        return this->components.sender.send(entry.name, protocol::job_cancel {submission_id(key)});
    this->components.sender.send(
        entry.name, protocol::job_cancel {ephemeral_job_id(name.team, name.submission, entry)});
}

} // namespace greengagehead::entry

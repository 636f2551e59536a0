// Behaviour of the fake control member and agents, and the simulated network.

#include "entry/simulated_fleet.h"

#include <algorithm>
#include <utility>

namespace greengagehead::test {

using protocol::outcome_kind;

namespace {

constexpr milliseconds lease_duration {1500};
constexpr milliseconds removal_delay {1000};
constexpr milliseconds report_interval {100};

milliseconds since_start(steady_time now)
{
    return std::chrono::duration_cast<milliseconds>(now.time_since_epoch());
}

} // namespace

void process_sender::send(std::string const& peer, protocol::message const& body)
{
    this->fleet.post(this->name, peer, body);
}

// --- control ---

void fake_control::receive(simulated_fleet& fleet, std::string const& peer,
                           protocol::message const& body)
{
    if (auto const* renewal = std::get_if<protocol::renew_lease>(&body)) {
        auto& granted = this->leases[peer];
        auto const known = std::any_of(this->view.entries.begin(), this->view.entries.end(),
                                       [&](auto const& e) { return e.id == renewal->entry; });
        granted.entry
            = {renewal->entry, renewal->zone, renewal->http_address, renewal->link_address};
        this->settled[peer] = renewal->settled_view;
        if (!known) {
            this->view.entries.push_back(granted.entry);
            granted.expires_at = fleet.now + lease_duration;
            this->new_view(fleet);
        }
        if (renewal->applied_view < this->view.number)
            return fleet.post("control.a", peer, protocol::view_update {this->view});
        granted.expires_at = fleet.now + lease_duration;
        fleet.post("control.a", peer,
                   protocol::grant_lease {renewal->entry.incarnation,
                                          renewal->entry_clock + lease_duration,
                                          this->view.number,
                                          {}});
    }
    if (auto const* request = std::get_if<protocol::control_request>(&body)) {
        auto const* command = std::get_if<protocol::command_body>(&request->body);
        auto const claims
            = command != nullptr && std::holds_alternative<protocol::claim_jobs>(*command);
        if (claims && !this->answers_claims)
            return;
        fleet.post("control.a", peer,
                   protocol::control_reply {request->request_id, this->apply(fleet, *request)});
    }
}

protocol::claim_result fake_control::claim(protocol::job_claim const& requested)
{
    using protocol::claim_status;
    auto const live = std::any_of(this->view.entries.begin(), this->view.entries.end(),
                                  [&](auto const& entry) { return entry.id == requested.owner; });
    if (!live)
        return {claim_status::not_live, requested};
    auto const found = this->claims.find(requested.job);
    if (found == this->claims.end())
        return {claim_status::granted, this->claims[requested.job] = requested};
    auto& existing_claim = found->second;
    if (existing_claim.digest != requested.digest)
        return {claim_status::digest_conflict, existing_claim};
    if (!existing_claim.finished || existing_claim.state != protocol::job_state::refused)
        return {claim_status::existing, existing_claim};
    auto const epoch = existing_claim.epoch + 1;
    existing_claim = requested;
    existing_claim.epoch = epoch;
    return {claim_status::granted, existing_claim};
}

protocol::control_result fake_control::apply(simulated_fleet& fleet,
                                             protocol::control_request const& request)
{
    if (auto const* read = std::get_if<protocol::read_claim>(&request.body)) {
        auto const found = this->claims.find(read->job);
        return found == this->claims.end() ? protocol::claim_lookup {}
                                           : protocol::claim_lookup {found->second};
    }
    if (std::holds_alternative<protocol::read_agents>(request.body))
        return protocol::agent_list {this->agents};
    auto const& command = std::get<protocol::command_body>(request.body);
    if (auto const* requested = std::get_if<protocol::claim_jobs>(&command)) {
        protocol::claim_results results;
        for (auto const& item : requested->claims)
            results.claims.push_back(this->claim(item));
        return results;
    }
    if (auto const* ends = std::get_if<protocol::finish_jobs>(&command)) {
        for (auto const& end : ends->jobs) {
            auto& finished_claim = this->claims[end.job];
            if (finished_claim.epoch != end.epoch || finished_claim.finished)
                continue;
            finished_claim.finished = true;
            finished_claim.state = end.state;
            finished_claim.ran = end.ran;
        }
    }
    if (auto const* join = std::get_if<protocol::join_agent>(&command)) {
        auto const known = std::any_of(this->agents.begin(), this->agents.end(),
                                       [&](auto const& agent) { return agent.id == join->agent; });
        if (!known)
            this->agents.push_back({join->agent, join->zone, since_start(fleet.now), {}});
    }
    return protocol::view_result {this->view.number};
}

void fake_control::new_view(simulated_fleet& fleet)
{
    ++this->view.number;
    for (auto const& entry : this->view.entries)
        fleet.post("control.a", entry.id.name, protocol::view_update {this->view});
}

void fake_control::tick(simulated_fleet& fleet)
{
    auto& live = this->view.entries;
    for (auto const& [name, granted] : this->leases) {
        auto const lost = std::find_if(live.begin(), live.end(),
                                       [&, id = granted.entry.id](auto& e) { return e.id == id; });
        if (lost == live.end() || fleet.now < granted.expires_at + removal_delay
            || live.size() == 1)
            continue;
        auto const id = lost->id;
        live.erase(lost);
        this->new_view(fleet);
        for (auto& [job, claim] : this->claims) {
            if (claim.finished || claim.owner != id)
                continue;
            auto owner
                = std::find_if(live.begin(), live.end(), [&, &backup = claim.backup](auto& e) {
                      return e.id.name == backup;
                  });
            claim.owner = (owner == live.end() ? live.front() : *owner).id;
            ++claim.epoch;
            this->takeovers[job] = ++this->takeover_count;
        }
    }
    if (since_start(fleet.now).count() % 200 != 0)
        return;
    // Sent again at every interval, because a real control member may repeat its notices.
    for (auto const& entry : live) {
        protocol::takeover_notice notice {entry.id, {}};
        for (auto const& [job, claim] : this->claims) {
            auto const number = this->takeovers.find(job);
            if (claim.finished || claim.epoch <= 1 || claim.owner != entry.id)
                continue;
            notice.claims.push_back(claim);
            if (number != this->takeovers.end())
                notice.sequence = std::max(notice.sequence, number->second);
        }
        if (!notice.claims.empty())
            fleet.post("control.a", entry.id.name, notice);
    }
}

// --- agent ---

std::uint32_t fake_agent::running() const
{
    return static_cast<std::uint32_t>(
        std::count_if(this->records.begin(), this->records.end(), [](auto const& item) {
            return item.second.outcome.kind == outcome_kind::running;
        }));
}

void fake_agent::start(simulated_fleet& fleet, std::string const& peer,
                       protocol::start_batch const& batch, protocol::task_start const& task)
{
    key const id {task.task.job, task.task.index, task.attempt, task.epoch};
    if (batch.agent_incarnation != this->id.incarnation || this->records.count(id) != 0)
        return;
    auto& added = this->records[id];
    added.owner = peer;
    added.name = task.name;
    added.outcome.task = task.task;
    added.outcome.attempt = task.attempt;
    added.outcome.epoch = task.epoch;
    added.outcome.endpoint = task.endpoint;
    added.outcome.kind = outcome_kind::not_run;
    added.outcome.message = "not admitted";
    auto const clock = base::to_reading(fleet.now + this->clock_offset);
    // As at a real agent, ephemeral tasks need no current view.
    bool const superseded = !task.ephemeral && batch.lease.view < this->seen_view;
    if (superseded || batch.lease.expires_at <= clock || task.epoch < this->fences[task.task.job]
        || this->running() >= this->slots)
        return;
    for (auto const& [other, record] : this->records) {
        if (!task.idempotent && !task.ephemeral && other != id && record.outcome.task == task.task
            && record.outcome.kind != outcome_kind::not_run) {
            added.outcome.message = "has a record";
            return;
        }
    }
    this->seen_view = batch.lease.view;
    added.outcome.kind = outcome_kind::running;
    added.outcome.message.clear();
    added.ends = fleet.now + this->run_time;
    task_key const task_id {task.task.job, task.task.index};
    auto& runs = ++fleet.runs[task_id];
    auto const description
        = this->id.name + " " + task.task.job + "/" + std::to_string(task.task.index);
    if (!task.ephemeral && fleet.control.claims.count(task.task.job) == 0)
        fleet.violations.push_back("start without a claim: " + description);
    if (task.ephemeral && fleet.concurrent_runs(task.task) > 1)
        fleet.violations.push_back("two runs of an ephemeral task at the same time: "
                                   + description);
    if (!task.name.empty() && fleet.concurrent_runs(task.name) > 1)
        fleet.violations.push_back("two runs of " + task.name
                                   + " at the same time: " + description);
    if (!task.idempotent && !task.ephemeral && runs > 1)
        fleet.violations.push_back("second run of a task that must run once: " + description);
    if (fleet.must_not_run.count(task_id) != 0)
        fleet.violations.push_back("start of a task that was reported as not run: " + description);
    if (batch.lease.view == fleet.control.view.number) {
        auto const& zones_out = fleet.control.view.zones_out;
        if (std::find(zones_out.begin(), zones_out.end(), this->zone) != zones_out.end())
            fleet.violations.push_back("start in a zone that is out: " + description);
    }
}

void fake_agent::receive(simulated_fleet& fleet, std::string const& peer,
                         protocol::message const& body)
{
    if (auto const* batch = std::get_if<protocol::start_batch>(&body)) {
        for (auto const& task : batch->starts)
            this->start(fleet, peer, *batch, task);
    }
    if (auto const* update = std::get_if<protocol::lease_update>(&body);
        update != nullptr && !update->view_omitted)
        this->seen_view = std::max(this->seen_view, update->lease.view);
    if (auto const* ack = std::get_if<protocol::outcome_ack>(&body)) {
        if (ack->agent_incarnation == this->id.incarnation) {
            for (auto const& id : this->batches[ack->batch_id])
                this->records[id].acknowledged = true;
        }
    }
    if (auto const* cancel = std::get_if<protocol::cancel_batch>(&body)) {
        for (auto const& attempt : cancel->attempts) {
            for (auto& [id, record] : this->records) {
                if (record.outcome.task == attempt.task && record.owner == peer
                    && record.outcome.attempt == attempt.attempt
                    && record.outcome.kind == outcome_kind::running)
                    record.outcome.kind = outcome_kind::cancelled;
            }
        }
    }
    if (auto const* query = std::get_if<protocol::outcome_query>(&body)) {
        protocol::outcome_report report {this->id, query->query_id, {}};
        for (auto const& item : query->jobs) {
            auto& fence = this->fences[item.job];
            fence = std::max(fence, item.epoch);
            for (auto& [id, record] : this->records) {
                if (std::get<0>(id) != item.job)
                    continue;
                if (item.epoch >= fence)
                    record.owner = peer;
                report.outcomes.push_back(record.outcome);
            }
        }
        fleet.post(this->id.name, peer, report);
    }
}

void fake_agent::tick(simulated_fleet& fleet)
{
    for (auto& [id, record] : this->records) {
        if (record.outcome.kind != outcome_kind::running || record.ends > fleet.now)
            continue;
        record.outcome.kind = this->result;
        record.outcome.run_time = this->run_time;
        if (this->result == outcome_kind::succeeded)
            record.outcome.result = std::to_string(record.outcome.task.index);
    }
    std::map<std::string, std::vector<key>> due;
    for (auto const& [id, record] : this->records) {
        if (!record.acknowledged && record.outcome.kind != outcome_kind::running)
            due[record.owner].push_back(id);
    }
    for (auto const& [owner, keys] : due) {
        protocol::outcome_batch batch {this->id, this->next_batch++, {}, {}};
        for (auto const& id : keys)
            batch.outcomes.push_back(this->records[id].outcome);
        this->batches[batch.batch_id] = keys;
        fleet.post(this->id.name, owner, batch);
    }
    if (fleet.now < this->next_report)
        return;
    this->next_report = fleet.now + report_interval;
    protocol::endpoint_state endpoint;
    endpoint.name = "endpoint." + this->id.name;
    endpoint.kinds = {"quote"};
    endpoint.slots = this->slots;
    endpoint.used_slots = this->running();
    protocol::agent_report report {this->id, {}, this->zone, {}, this->seen_view, {endpoint}, {}};
    report.agent_clock = base::to_reading(fleet.now + this->clock_offset);
    for (auto const& [name, core] : fleet.entries) {
        report.ephemeral_runs.clear();
        for (auto const& [id, record] : this->records) {
            if (this->lists_runs && record.owner == name
                && record.outcome.kind == outcome_kind::running)
                report.ephemeral_runs.push_back({record.outcome.task, record.outcome.attempt});
        }
        fleet.post(this->id.name, name, report);
    }
}

void fake_agent::restart(simulated_fleet& /*fleet*/)
{
    ++this->id.incarnation;
    this->records.clear();
    this->fences.clear();
    this->batches.clear();
    this->seen_view = 0;
}

// --- fleet ---

simulated_fleet::simulated_fleet(std::uint64_t seed, steady_time start)
    : now(start), generator(seed), next_tick(start)
{
}

std::uint32_t simulated_fleet::random(std::uint32_t bound)
{
    return static_cast<std::uint32_t>(this->generator() % bound);
}

entry::entry_core& simulated_fleet::add_entry(std::string const& name, std::string const& zone)
{
    auto& sender = this->senders[name];
    sender = std::make_unique<process_sender>(*this, name);
    entry::entry_settings settings;
    settings.id = {name, this->entries.size() + 1 + this->random(1000) * 10};
    settings.zone = zone;
    settings.controls = {"control.a"};
    settings.claim_timeout = this->claim_timeout;
    settings.finished_bytes = this->finished_bytes;
    settings.recovery_hold = this->recovery_hold;
    settings.learn_speed = this->learn_speed;
    settings.max_loop_delay = this->max_loop_delay;
    settings.seed = this->generator();
    auto& core = this->entries[name];
    core = std::make_unique<entry::entry_core>(settings, *sender, this->now);
    return *core;
}

fake_agent& simulated_fleet::add_agent(std::string const& name, std::string const& zone)
{
    auto& agent = this->agents[name];
    agent.id = {name, 1};
    agent.zone = zone;
    agent.clock_offset = milliseconds(this->random(100'000));
    return agent;
}

void simulated_fleet::post(std::string const& from, std::string const& to,
                           protocol::message const& body)
{
    if (this->on_send)
        this->on_send(from, to, body);
    auto const draw
        = [this](double share) { return share > 0 && this->random(10'000) < share * 10'000; };
    auto const copies = draw(this->loss_rate) ? 0 : (draw(this->duplicate_rate) ? 2 : 1);
    for (int i = 0; i < copies; ++i) {
        auto delay = milliseconds(1 + this->random(this->max_delay_ms));
        if (this->extra_delay)
            delay += this->extra_delay(from, to, body);
        this->in_flight.emplace(this->now + delay, envelope {from, to, body});
    }
}

std::size_t simulated_fleet::concurrent_runs(protocol::task_ref const& task) const
{
    std::size_t count = 0;
    for (auto const& [name, agent] : this->agents) {
        for (auto const& [key, record] : agent.records)
            count += record.outcome.task == task && record.outcome.kind == outcome_kind::running
                ? 1
                : 0;
    }
    return count;
}

std::size_t simulated_fleet::concurrent_runs(std::string const& name) const
{
    std::size_t count = 0;
    for (auto const& [agent_name, agent] : this->agents) {
        for (auto const& [key, record] : agent.records)
            count += record.name == name && record.outcome.kind == outcome_kind::running ? 1 : 0;
    }
    return count;
}

void simulated_fleet::deliver(envelope const& item)
{
    if (this->isolated.count(item.from) != 0 || this->isolated.count(item.to) != 0)
        return;
    if (this->frozen.contains(item.to))
        return this->unread.push_back(item);
    if (item.to == "control.a")
        return this->control.receive(*this, item.from, item.body);
    if (auto const agent = this->agents.find(item.to); agent != this->agents.end())
        return agent->second.receive(*this, item.from, item.body);
    if (auto const core = this->entries.find(item.to); core != this->entries.end())
        core->second->receive(item.from, item.body, this->now);
}

void simulated_fleet::thaw(std::string const& entry)
{
    this->frozen.erase(entry);
    for (auto const& item : std::exchange(this->unread, {}))
        this->deliver(item);
}

void simulated_fleet::run_behind(std::string const& entry)
{
    constexpr int passes = 6;
    constexpr milliseconds pass_length {300};
    for (int pass = 0; pass < passes; ++pass) {
        this->frozen.insert(entry);
        this->run(pass_length);
        this->thaw(entry);
        this->entries.at(entry)->tick(this->now);
    }
}

void simulated_fleet::run(milliseconds time)
{
    auto const end = this->now + time;
    while (this->now < end) {
        while (!this->in_flight.empty() && this->in_flight.begin()->first <= this->now) {
            auto const item = std::move(this->in_flight.begin()->second);
            this->in_flight.erase(this->in_flight.begin());
            this->deliver(item);
        }
        if (this->now >= this->next_tick) {
            this->next_tick = this->now + milliseconds(10);
            this->control.tick(*this);
            for (auto& [name, agent] : this->agents)
                agent.tick(*this);
            for (auto& [name, core] : this->entries) {
                if (!this->frozen.contains(name))
                    core->tick(this->now);
            }
        }
        auto next = std::min(this->next_tick, end);
        if (!this->in_flight.empty())
            next = std::min(next, this->in_flight.begin()->first);
        this->now = std::max(next, this->now);
    }
}

bool simulated_fleet::run_until(std::function<bool()> const& done, milliseconds limit)
{
    auto const end = this->now + limit;
    while (!done() && this->now < end)
        this->run(milliseconds(1));
    return done();
}

std::shared_ptr<simulated_fleet::submission>
simulated_fleet::submit(std::string const& at, protocol::job_request const& request,
                        milliseconds wait, std::function<bool()> caller_left)
{
    auto recorded = std::make_shared<submission>();
    this->entries.at(at)->submit(
        request, wait,
        [this, recorded, request](entry::submit_reply const& reply) {
            recorded->job = reply.answer.job;
            recorded->replies.push_back(reply);
            this->check_reply(request, reply);
        },
        this->now, std::move(caller_left));
    return recorded;
}

void simulated_fleet::check_reply(protocol::job_request const& request,
                                  entry::submit_reply const& reply)
{
    using protocol::job_state;
    auto const& answer = reply.answer;
    auto const complete = answer.state == job_state::complete;
    if (complete && answer.failure) // Only the claim is known: answer_lost.
        return;
    if (complete && answer.tasks.size() != request.tasks.size())
        this->violations.push_back("partial answer of " + answer.job);
    bool any_run = false;
    for (std::uint32_t i = 0; i < request.tasks.size(); ++i) {
        task_key const task {answer.job, i};
        any_run = any_run || this->runs.count(task) != 0;
        if (i >= answer.tasks.size())
            continue;
        auto const& task_answer = answer.tasks[i];
        auto const expected = complete ? std::to_string(i) : std::string();
        if (task_answer.result != expected)
            this->violations.push_back("wrong or partial result in " + answer.job);
        if (task_answer.state != protocol::task_state::not_run
            || answer.state == job_state::refused)
            continue;
        this->must_not_run.insert(task);
        if (this->runs.count(task) != 0)
            this->violations.push_back("false not_run in " + answer.job);
    }
    auto const final = answer.state != job_state::running;
    if (final && answer.ran == protocol::ran_extent::none && any_run)
        this->violations.push_back("false ran none in " + answer.job);
}

protocol::job_request make_job(std::string const& submission, std::size_t tasks, bool idempotent)
{
    protocol::job_request request;
    request.team = "recife";
    request.submission = submission;
    request.deadline = milliseconds(5000);
    request.tasks.resize(tasks);
    for (auto& task : request.tasks) {
        task.kind = "quote";
        task.idempotent = idempotent;
        task.payload = "{}";
    }
    return request;
}

} // namespace greengagehead::test

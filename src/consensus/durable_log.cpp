// Order of sync, send and apply; announcements of new members; snapshots.

#include "consensus/durable_log.h"

#include <algorithm>
#include <random>
#include <utility>

#include "base/log_record.h"
#include "consensus/encoding.h"
#include "consensus/quorum.h"

namespace greengagehead::consensus {

namespace {

using base::log_event;
using base::log_record;

/// Bounds the table of senders, whose identities are not verified.
constexpr std::size_t max_sender_names = 64;
/// Interval at which a member tries to write its data anew after a storage failure.
constexpr std::chrono::milliseconds storage_retry_interval {250};

/// Sets a flag for the duration of a scope, also when an exception leaves the scope.
class scoped_flag {
public:
    explicit scoped_flag(bool& flag) : flag(flag) { flag = true; }
    ~scoped_flag() { this->flag = false; }
    scoped_flag(scoped_flag const&) = delete;
    scoped_flag& operator=(scoped_flag const&) = delete;

private:
    bool& flag;
};

/// True when the group has other members, from which damaged data can be restored.
bool has_others(durable_log_settings const& settings)
{
    return std::any_of(settings.initial.begin(), settings.initial.end(),
                       [&](auto const& member) { return member.name != settings.name; });
}

base::result<member_store::recovered>
open_store(member_store& store, durable_log_settings const& settings, std::mt19937_64& random)
{
    // An identity is never 0, which stands for no member.
    auto recovered = store.open(random() | 1);
    if (recovered || !has_others(settings))
        return recovered;
    auto const code = recovered.error().code;
    if (code != base::error_code::corrupt && code != base::error_code::malformed)
        return recovered;
    log_record(log_event::data_set_aside).with("error", base::describe(recovered.error()));
    BOOST_OUTCOME_TRY(store.set_aside());
    return store.open(random() | 1);
}

base::error stopped_error(base::error const& reason)
{
    return {base::error_code::unavailable,
            base::error_step::replicate,
            {},
            "this member is inactive after a storage failure: " + base::describe(reason)};
}

std::uint64_t random_seed()
{
    std::random_device source;
    return (static_cast<std::uint64_t>(source()) << 32) | source();
}

} // namespace

base::result<std::unique_ptr<durable_log>> durable_log::open(durable_log_settings settings,
                                                             storage::file_system& files,
                                                             protocol::message_sender& sender,
                                                             base::steady_time now)
{
    auto const seed = settings.seed != 0 ? settings.seed : random_seed();
    std::mt19937_64 random(seed);
    member_store store(files, settings.folder);
    BOOST_OUTCOME_TRY(recovered, open_store(store, settings, random));
    log_record(log_event::log_recovered)
        .with("folder", settings.folder)
        .with("last_index", recovered.raft.log.last().index)
        .with("cut_bytes", recovered.truncated_bytes)
        .with("voters", names_of_voters(recovered.raft.log.members()));
    return std::make_unique<durable_log>(std::move(settings), std::move(store),
                                         std::move(recovered), random(), sender, now);
}

durable_log::durable_log(durable_log_settings log_settings, member_store opened_store,
                         member_store::recovered recovered, std::uint64_t seed,
                         protocol::message_sender& sender, base::steady_time now)
    : settings(std::move(log_settings)), store(std::move(opened_store)),
      node(this->settings.timing, std::move(recovered.raft), seed, now), sender(sender),
      bootstrap(this->settings.name, this->settings.initial, this->node.id()),
      discovery(this->settings.name, this->settings.initial), planner(this->settings.membership),
      had_damaged_data(this->store.has_damaged_data()), last_tick(now)
{
    if (recovered.has_snapshot)
        this->pending_snapshot_state = std::move(recovered.state);
    if (recovered.write_error)
        this->stop_on_error(*recovered.write_error, now);
    this->node.load_snapshot = [this] {
        auto content = this->store.read_snapshot();
        if (content)
            return std::move(content.value());
        this->stop_on_error(content.error(), this->last_tick);
        return std::string();
    };
}

void durable_log::set_configured(std::vector<std::string> members)
{
    this->discovery.set_configured(std::move(members));
}

void durable_log::start(base::steady_time now)
{
    if (this->started)
        return;
    this->started = true;
    this->last_tick = now;
    if (this->pending_snapshot_state)
        this->restored.emit(*std::exchange(this->pending_snapshot_state, {}));
}

void durable_log::receive(std::string const& peer, protocol::raft_message const& message,
                          base::steady_time now)
{
    if (this->storage_failure)
        return;
    this->start(now);
    this->monitor.record_message(peer, now);
    if (std::holds_alternative<protocol::member_hello>(message.body))
        return this->handle_hello(peer, message, now);
    if (message.to != this->node.id())
        return;
    if (this->sender_names.size() >= max_sender_names)
        this->sender_names.clear();
    this->sender_names[message.from] = peer;
    bool const was_leading = this->node.leading();
    this->node.receive(message, now);
    // A member that remains leader collects proposals, which share the sync of the next flush.
    this->process_output(!(was_leading && this->node.leading()), now);
}

void durable_log::tick(base::steady_time now)
{
    this->start(now);
    this->last_tick = now;
    if (this->storage_failure)
        this->retry_storage(now);
    if (this->storage_failure)
        return;
    this->send_hellos(now);
    if (auto const first = this->bootstrap.proposal();
        first && this->settings.allow_bootstrap && this->fresh())
        this->node.bootstrap(*first, now);
    this->node.tick(now);
    this->propose_next_change(now);
    this->process_output(true, now);
    this->monitor.tick(this->node, this->leader(), now);
}

void durable_log::flush(base::steady_time now)
{
    this->process_output(true, now);
}

// --- output of the node ---

void durable_log::process_output(bool sync, base::steady_time now)
{
    if (this->storage_failure || this->processing_output)
        return;
    scoped_flag const processing(this->processing_output);
    this->node.replicate(now);
    // `replicate` may have failed to read the snapshot that it has to send.
    if (!this->storage_failure && this->persist(sync, now)) {
        this->send_messages();
        this->apply(now);
        if (sync)
            this->snapshot_if_due(now);
        this->report_leadership(now);
    }
    if (this->storage_failure)
        this->node.resign(now);
}

bool durable_log::persist(bool sync, base::steady_time now)
{
    if (this->node.take_vote_change()
        && !this->stop_on_error(this->store.save_vote(this->node.term(), this->node.vote()), now))
        return false;
    if (!this->install_snapshot(now))
        return false;
    if (this->node.leading())
        this->send_messages();
    if (!sync)
        return true;
    auto const entries = this->node.take_unwritten();
    if (entries.empty())
        return true;
    if (!this->stop_on_error(this->store.append(entries), now))
        return false;
    this->node.entries_synced(now);
    return true;
}

bool durable_log::install_snapshot(base::steady_time now)
{
    this->received_snapshot = this->node.take_received_snapshot();
    if (!this->received_snapshot)
        return true;
    auto const& log = this->node.log();
    auto const saved
        = this->store.save_snapshot(*this->received_snapshot, log.entries_after(log.base().index));
    if (!this->stop_on_error(saved, now))
        return false;
    this->emit_received_snapshot();
    return true;
}

void durable_log::emit_received_snapshot()
{
    auto const content = std::exchange(this->received_snapshot, {});
    auto const decoded = decode_snapshot(*content);
    if (decoded)
        this->restored.emit(decoded.value().state);
}

void durable_log::send_messages()
{
    for (auto& message : this->node.take_messages()) {
        auto const peer = this->peer_name(message.to);
        if (!peer.empty())
            this->send(peer, std::move(message));
    }
}

void durable_log::send(std::string const& peer, protocol::raft_message message)
{
    this->sender.send(peer, std::move(message));
}

void durable_log::apply(base::steady_time now)
{
    for (auto const& entry : this->node.take_committed()) {
        if (entry.kind == protocol::log_entry_kind::command)
            this->committed.emit(entry, now);
        if (entry.kind == protocol::log_entry_kind::membership)
            this->log_members(entry.index);
    }
}

void durable_log::log_members(std::uint64_t index) const
{
    auto const& members = this->node.log().members_at(index);
    log_record(log_event::members_changed)
        .with("index", index)
        .with("voters", names_of_voters(members))
        .with("learners", names_of_learners(members));
}

void durable_log::snapshot_if_due(base::steady_time now)
{
    auto const& log = this->node.log();
    auto const applied = this->node.applied_index();
    auto const retained = applied - log.base().index;
    bool const large = log.bytes() >= this->retained_bytes + this->settings.snapshot_bytes;
    bool const due
        = large || retained >= this->settings.snapshot_entries + this->settings.trailing_entries;
    if (!due || retained == 0 || !this->take_snapshot)
        return;
    snapshot_content const content {{applied, log.term_at(applied).value_or(0)},
                                    log.members_at(applied),
                                    this->take_snapshot()};
    // The rewritten log file also contains the entries that were proposed since the last sync.
    this->node.take_unwritten();
    if (!this->stop_on_error(this->store.save_snapshot(encode(content), log.entries_after(applied)),
                             now))
        return;
    this->node.entries_synced(now);
    this->node.compact(large ? applied : applied - this->settings.trailing_entries);
    this->retained_bytes = log.bytes();
    log_record(log_event::snapshot_taken)
        .with("index", applied)
        .with("bytes", content.state.size());
}

void durable_log::report_leadership(base::steady_time now)
{
    bool const established = this->node.established();
    if (established == this->reported_leading)
        return;
    this->reported_leading = established;
    log_record(established ? log_event::leader_elected : log_event::leader_deposed)
        .with("term", this->node.term());
    this->leadership_changed.emit(established, now);
}

bool durable_log::stop_on_error(base::result<void> const& result, base::steady_time now)
{
    if (result)
        return true;
    this->storage_failure = result.error();
    this->next_storage_retry = now + storage_retry_interval;
    log_record(log_event::storage_failed).with("error", base::describe(result.error()));
    if (std::exchange(this->reported_leading, false))
        this->leadership_changed.emit(false, now);
    return false;
}

void durable_log::retry_storage(base::steady_time now)
{
    // Only a restart sets damaged data aside.
    if (this->storage_failure->code != base::error_code::io || now < this->next_storage_retry)
        return;
    this->next_storage_retry = now + storage_retry_interval;
    auto const& log = this->node.log();
    // Included in the rewritten log.
    this->node.take_unwritten();
    auto const rewritten
        = this->store.rewrite(this->node.term(), this->node.vote(), this->received_snapshot,
                              log.entries_after(log.base().index));
    if (!rewritten)
        return;
    this->storage_failure.reset();
    this->node.take_vote_change();
    this->node.entries_synced(now);
    log_record(log_event::storage_recovered).with("last_index", log.last().index);
    if (this->received_snapshot)
        this->emit_received_snapshot();
}

// --- members ---

void durable_log::send_hellos(base::steady_time now)
{
    auto const& members = this->node.log().members();
    if (find_member(members, this->node.id()) != nullptr && this->node.leader() != 0)
        return;
    protocol::member_hello const hello {false, this->fresh(), this->settings.address, {}};
    for (auto const& peer : this->discovery.due_peers(members, now))
        this->send(peer, {this->node.id(), 0, this->node.term(), hello});
}

void durable_log::handle_hello(std::string const& peer, protocol::raft_message const& message,
                               base::steady_time now)
{
    auto const& hello = std::get<protocol::member_hello>(message.body);
    if (hello.answer) {
        if (message.to != this->node.id())
            return;
        this->bootstrap.record_answer(peer, message.from, hello.fresh);
        return this->discovery.record_answer(hello.group, now);
    }
    this->planner.record_announcement(peer, message.from, hello.address, now);
    protocol::member_hello const answer {true, this->fresh(), this->settings.address,
                                         this->group()};
    this->send(peer, {this->node.id(), message.from, this->node.term(), answer});
}

bool durable_log::fresh() const
{
    return this->node.log().empty() && !this->had_damaged_data;
}

void durable_log::propose_next_change(base::steady_time now)
{
    if (auto const step = this->planner.next_change(this->node, now))
        (void)this->node.propose(*step);
}

base::result<void> durable_log::change_members(protocol::change_members const& change)
{
    if (this->storage_failure)
        return stopped_error(*this->storage_failure);
    BOOST_OUTCOME_TRY(step, this->planner.first_step(this->node, change, this->last_tick));
    BOOST_OUTCOME_TRY(this->node.propose(step));
    return boost::outcome_v2::success();
}

std::string durable_log::peer_name(protocol::member_id id) const
{
    if (auto const* member = find_member(this->node.log().members(), id))
        return member->name;
    auto const sender_name = this->sender_names.find(id);
    return sender_name == this->sender_names.end() ? std::string() : sender_name->second;
}

// --- state ---

base::result<log_position> durable_log::propose(std::string data)
{
    if (this->storage_failure)
        return stopped_error(*this->storage_failure);
    return this->node.propose(std::move(data));
}

bool durable_log::leading() const
{
    return !this->storage_failure && this->node.leading();
}

std::string durable_log::leader() const
{
    return this->group().leader.name;
}

protocol::control_group durable_log::local_group() const
{
    auto const& log = this->node.log();
    bool const has_leader = this->node.leader() != 0;
    protocol::control_group group {
        has_leader ? this->node.term() : log.last().term, log.members_index(), {}, {}};
    for (auto const& member : log.members().members)
        group.members.push_back({member.name, member.address});
    if (!has_leader)
        return group;
    group.leader.name = this->peer_name(this->node.leader());
    group.leader.address = protocol::address_of(group, group.leader.name);
    // A learner may not have received the membership entry yet that contains its leader.
    if (group.leader.address.empty())
        group.leader.address = protocol::address_of(this->discovery.latest_group(this->last_tick),
                                                    group.leader.name);
    return group;
}

protocol::control_group durable_log::group() const
{
    if (this->storage_failure)
        return {};
    auto local = this->local_group();
    if (!local.leader.name.empty() || this->discovery.is_current(local))
        return local;
    return this->discovery.latest_group(this->last_tick);
}

std::uint64_t durable_log::term() const
{
    return this->node.term();
}

std::uint64_t durable_log::commit_index() const
{
    return this->node.commit_index();
}

bool durable_log::quorum_contact_recent(base::steady_time now) const
{
    return !this->storage_failure && this->node.quorum_contact_recent(now);
}

std::vector<protocol::control_member> durable_log::members() const
{
    std::vector<protocol::control_member> result;
    for (auto const& member : this->node.log().members().members) {
        protocol::control_member status;
        status.name = member.name;
        status.address = member.address;
        status.voter = member.voter;
        status.leader = member.id == this->node.leader();
        status.match_index = this->node.log().last().index;
        auto const* followers = this->node.followers();
        if (auto const* progress = followers != nullptr ? followers->find(member.id) : nullptr) {
            status.reachable = progress->last_contact != base::steady_time::min()
                && this->last_tick - progress->last_contact < this->settings.timing.election_max;
            status.match_index = progress->match;
        }
        result.push_back(std::move(status));
    }
    return result;
}

} // namespace greengagehead::consensus

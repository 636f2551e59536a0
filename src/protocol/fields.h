// Field lists of the structs that are encoded. A struct is encoded as an array of its fields in
// this order, so the order is part of the wire format. Included by codecs only.

#pragma once

#include <tuple>

#include "protocol/message.h"

namespace greengagehead::protocol {

/// Provides the field list of `T` as a tuple of references. `of` accepts const and mutable structs,
/// so that the encoder and the decoder share one list.
template <typename T> struct field_list;

template <> struct field_list<process_id> {
    static auto of(auto& m) { return std::tie(m.name, m.incarnation); }
};
template <> struct field_list<task_ref> {
    static auto of(auto& m) { return std::tie(m.job, m.index); }
};
template <> struct field_list<base::error> {
    static auto of(auto& m) { return std::tie(m.code, m.step, m.peer, m.message); }
};

// --- job.h ---

template <> struct field_list<task_request> {
    static auto of(auto& m)
    {
        return std::tie(m.kind, m.idempotent, m.payload, m.expected, m.cpu, m.memory_mb, m.region,
                        m.zone, m.name, m.slots, m.max_attempts);
    }
};
template <> struct field_list<job_request> {
    static auto of(auto& m)
    {
        return std::tie(m.submission, m.team, m.deadline, m.tasks, m.ephemeral,
                        m.target_stretch_percent, m.target_extra, m.priority);
    }
};
template <> struct field_list<task_answer> {
    static auto of(auto& m) { return std::tie(m.index, m.state, m.result); }
};
template <> struct field_list<job_answer> {
    static auto of(auto& m)
    {
        return std::tie(m.job, m.submission, m.team, m.state, m.ran, m.tasks, m.failure,
                        m.retry_after);
    }
};

// --- control_group.h ---

template <> struct field_list<member_address> {
    static auto of(auto& m) { return std::tie(m.name, m.address); }
};
template <> struct field_list<control_group> {
    static auto of(auto& m) { return std::tie(m.term, m.index, m.leader, m.members); }
};

// --- raft_message.h ---

template <> struct field_list<log_entry> {
    static auto of(auto& m) { return std::tie(m.index, m.term, m.kind, m.data); }
};
template <> struct field_list<vote_request> {
    static auto of(auto& m) { return std::tie(m.pre_vote, m.last_index, m.last_term); }
};
template <> struct field_list<vote_reply> {
    static auto of(auto& m) { return std::tie(m.pre_vote, m.granted); }
};
template <> struct field_list<append_request> {
    static auto of(auto& m)
    {
        return std::tie(m.previous_index, m.previous_term, m.commit_index, m.sent_at, m.entries);
    }
};
template <> struct field_list<append_reply> {
    static auto of(auto& m) { return std::tie(m.success, m.match_index, m.sent_at); }
};
template <> struct field_list<snapshot_chunk> {
    static auto of(auto& m)
    {
        return std::tie(m.last_index, m.last_term, m.offset, m.done, m.data, m.sent_at);
    }
};
template <> struct field_list<snapshot_reply> {
    static auto of(auto& m) { return std::tie(m.last_index, m.next_offset, m.sent_at); }
};
template <> struct field_list<member_hello> {
    static auto of(auto& m) { return std::tie(m.answer, m.fresh, m.address, m.group); }
};
template <> struct field_list<group_member> {
    static auto of(auto& m) { return std::tie(m.id, m.name, m.address, m.voter, m.replaces); }
};
template <> struct field_list<membership> {
    static auto of(auto& m) { return std::tie(m.members); }
};
template <> struct field_list<raft_message> {
    static auto of(auto& m) { return std::tie(m.from, m.to, m.term, m.body); }
};

// --- command.h ---

template <> struct field_list<put_setting> {
    static auto of(auto& m)
    {
        return std::tie(m.path, m.value, m.expected_version, m.idempotency_key, m.author);
    }
};
template <> struct field_list<put_zone_state> {
    static auto of(auto& m) { return std::tie(m.zone, m.out, m.idempotency_key); }
};
template <> struct field_list<put_endpoint_drain> {
    static auto of(auto& m) { return std::tie(m.endpoint, m.draining, m.idempotency_key); }
};
template <> struct field_list<join_entry> {
    static auto of(auto& m) { return std::tie(m.entry, m.zone, m.http_address, m.link_address); }
};
template <> struct field_list<document> {
    static auto of(auto& m) { return std::tie(m.version, m.text); }
};
template <> struct field_list<put_document> {
    static auto of(auto& m) { return std::tie(m.content); }
};
template <> struct field_list<confirm_document> {
    static auto of(auto& /*m*/) { return std::tie(); }
};
template <> struct field_list<document_result> {
    static auto of(auto& m) { return std::tie(m.stored, m.view); }
};
template <> struct field_list<remove_entry> {
    static auto of(auto& m) { return std::tie(m.entry); }
};
template <> struct field_list<join_agent> {
    static auto of(auto& m) { return std::tie(m.agent, m.zone); }
};
template <> struct field_list<remove_agent> {
    static auto of(auto& m) { return std::tie(m.agent); }
};
template <> struct field_list<job_claim> {
    static auto of(auto& m)
    {
        return std::tie(m.job, m.digest, m.team, m.submission, m.owner, m.backup, m.epoch,
                        m.deadline, m.claimed_at, m.finished, m.state, m.ran);
    }
};
template <> struct field_list<claim_jobs> {
    static auto of(auto& m) { return std::tie(m.claims, m.request_id); }
};
template <> struct field_list<job_finish> {
    static auto of(auto& m) { return std::tie(m.job, m.epoch, m.state, m.ran); }
};
template <> struct field_list<finish_jobs> {
    static auto of(auto& m) { return std::tie(m.jobs); }
};
template <> struct field_list<take_over> {
    static auto of(auto& m) { return std::tie(m.lost, m.fallback); }
};
template <> struct field_list<expire_claims> {
    static auto of(auto& m) { return std::tie(m.before, m.tombstones_before, m.limit); }
};
template <> struct field_list<command> {
    static auto of(auto& m) { return std::tie(m.proposed_at, m.body); }
};
template <> struct field_list<read_claim> {
    static auto of(auto& m) { return std::tie(m.job); }
};
template <> struct field_list<read_settings> {
    static auto of(auto& m) { return std::tie(m.prefix); }
};
template <> struct field_list<read_history> {
    static auto of(auto& m) { return std::tie(m.path); }
};
template <> struct field_list<read_agents> {
    static auto of(auto& m) { return std::tie(m.claimed_at); }
};
template <> struct field_list<read_control_status> {
    static auto of(auto& /*m*/) { return std::tie(); }
};
template <> struct field_list<change_members> {
    static auto of(auto& m) { return std::tie(m.what, m.member, m.replacement, m.address); }
};
template <> struct field_list<setting> {
    static auto of(auto& m) { return std::tie(m.path, m.value, m.version); }
};
template <> struct field_list<change_result> {
    static auto of(auto& m) { return std::tie(m.status, m.current, m.view, m.message); }
};
template <> struct field_list<claim_result> {
    static auto of(auto& m) { return std::tie(m.status, m.claim); }
};
template <> struct field_list<claim_results> {
    static auto of(auto& m) { return std::tie(m.claims); }
};
template <> struct field_list<claim_lookup> {
    static auto of(auto& m) { return std::tie(m.claim, m.expired); }
};
template <> struct field_list<settings_list> {
    static auto of(auto& m) { return std::tie(m.settings); }
};
template <> struct field_list<setting_change> {
    static auto of(auto& m) { return std::tie(m.value, m.author, m.at); }
};
template <> struct field_list<settings_history> {
    static auto of(auto& m) { return std::tie(m.changes); }
};
template <> struct field_list<registered_agent> {
    static auto of(auto& m) { return std::tie(m.id, m.zone, m.joined_at, m.removed_at); }
};
template <> struct field_list<agent_list> {
    static auto of(auto& m) { return std::tie(m.agents); }
};
template <> struct field_list<view_result> {
    static auto of(auto& m) { return std::tie(m.view); }
};
template <> struct field_list<control_member> {
    static auto of(auto& m)
    {
        return std::tie(m.name, m.address, m.voter, m.leader, m.reachable, m.match_index);
    }
};
template <> struct field_list<control_status> {
    static auto of(auto& m)
    {
        return std::tie(m.members, m.term, m.commit_index, m.view, m.in_force, m.claims);
    }
};

// --- message.h ---

template <> struct field_list<account_use> {
    static auto of(auto& m) { return std::tie(m.account, m.asked, m.served); }
};
template <> struct field_list<entry_demand> {
    static auto of(auto& m)
    {
        return std::tie(m.arriving, m.applied_table, m.accounts, m.shares_slots);
    }
};
template <> struct field_list<entry_weight> {
    static auto of(auto& m) { return std::tie(m.entry, m.weight); }
};
template <> struct field_list<account_share> {
    static auto of(auto& m) { return std::tie(m.account, m.asked, m.served); }
};
template <> struct field_list<capacity_shares> {
    static auto of(auto& m) { return std::tie(m.number, m.settled, m.entries, m.accounts); }
};
template <> struct field_list<renew_lease> {
    static auto of(auto& m)
    {
        return std::tie(m.entry, m.zone, m.http_address, m.entry_clock, m.applied_view,
                        m.settled_view, m.seen_takeover, m.link_address, m.demand);
    }
};
template <> struct field_list<grant_lease> {
    static auto of(auto& m)
    {
        return std::tie(m.incarnation, m.expires_at, m.view, m.group, m.shares);
    }
};
template <> struct field_list<directory_request> {
    static auto of(auto& m) { return std::tie(m.from, m.known_view); }
};
template <> struct field_list<directory> {
    static auto of(auto& m) { return std::tie(m.view, m.entries, m.group); }
};
template <> struct field_list<not_leader> {
    static auto of(auto& m) { return std::tie(m.group, m.request_id); }
};
template <> struct field_list<live_entry> {
    static auto of(auto& m) { return std::tie(m.id, m.zone, m.http_address, m.link_address); }
};
template <> struct field_list<view> {
    static auto of(auto& m)
    {
        return std::tie(m.number, m.settings, m.zones_out, m.draining_endpoints, m.entries,
                        m.routing);
    }
};
template <> struct field_list<view_update> {
    static auto of(auto& m) { return std::tie(m.current); }
};
template <> struct field_list<control_request> {
    static auto of(auto& m) { return std::tie(m.request_id, m.from, m.body); }
};
template <> struct field_list<control_reply> {
    static auto of(auto& m) { return std::tie(m.request_id, m.result); }
};
template <> struct field_list<takeover_notice> {
    static auto of(auto& m) { return std::tie(m.new_owner, m.claims, m.sequence); }
};
template <> struct field_list<job_copy> {
    static auto of(auto& m) { return std::tie(m.job, m.owner, m.epoch, m.content); }
};
template <> struct field_list<job_copy_ack> {
    static auto of(auto& m) { return std::tie(m.job, m.epoch); }
};
template <> struct field_list<job_finished_copy> {
    static auto of(auto& m) { return std::tie(m.epoch, m.answer); }
};
template <> struct field_list<job_finished_ack> {
    static auto of(auto& m) { return std::tie(m.job, m.epoch); }
};
template <> struct field_list<job_query> {
    static auto of(auto& m) { return std::tie(m.query_id, m.job, m.explain, m.wait); }
};
template <> struct field_list<job_reply> {
    static auto of(auto& m) { return std::tie(m.query_id, m.answer, m.explanation); }
};
template <> struct field_list<job_cancel> {
    static auto of(auto& m) { return std::tie(m.job); }
};
template <> struct field_list<submissions_running::submission> {
    static auto of(auto& m) { return std::tie(m.key, m.age, m.remaining, m.held); }
};
template <> struct field_list<submissions_running> {
    static auto of(auto& m) { return std::tie(m.entry, m.submissions, m.asks_for_all); }
};
template <> struct field_list<claim_ref> {
    static auto of(auto& m) { return std::tie(m.entry, m.number); }
};
template <> struct field_list<submission_claim> {
    static auto of(auto& m) { return std::tie(m.key, m.claim, m.ended); }
};
template <> struct field_list<claim_verdict> {
    static auto of(auto& m) { return std::tie(m.number, m.verdict, m.holder, m.age); }
};
template <> struct field_list<submission_ref> {
    static auto of(auto& m) { return std::tie(m.key, m.claim); }
};
template <> struct field_list<claim_release> {
    static auto of(auto& m) { return std::tie(m.released); }
};
template <> struct field_list<agent_silence> {
    static auto of(auto& m) { return std::tie(m.agent, m.silence); }
};
template <> struct field_list<claims_held> {
    static auto of(auto& m) { return std::tie(m.entry, m.claims, m.agents); }
};
template <> struct field_list<lease_stamp> {
    static auto of(auto& m) { return std::tie(m.entry, m.view, m.expires_at, m.leased); }
};
template <> struct field_list<task_start> {
    static auto of(auto& m)
    {
        return std::tie(m.task, m.attempt, m.epoch, m.endpoint, m.team, m.kind, m.idempotent,
                        m.payload, m.remaining, m.timeout, m.ephemeral, m.name, m.slots, m.cpu,
                        m.memory_mb, m.expected, m.start_within);
    }
};
template <> struct field_list<start_batch> {
    static auto of(auto& m) { return std::tie(m.lease, m.agent_incarnation, m.starts); }
};
template <> struct field_list<lease_update> {
    static auto of(auto& m)
    {
        return std::tie(m.lease, m.zones_out, m.draining_endpoints, m.live_entries, m.entry_clock,
                        m.view_omitted);
    }
};
template <> struct field_list<attempt_ref> {
    static auto of(auto& m) { return std::tie(m.task, m.attempt); }
};
template <> struct field_list<cancel_batch> {
    static auto of(auto& m) { return std::tie(m.attempts); }
};
template <> struct field_list<outcome_query::job_ref> {
    static auto of(auto& m) { return std::tie(m.job, m.epoch); }
};
template <> struct field_list<outcome_query> {
    static auto of(auto& m) { return std::tie(m.query_id, m.jobs); }
};
template <> struct field_list<task_outcome> {
    static auto of(auto& m)
    {
        return std::tie(m.task, m.attempt, m.epoch, m.endpoint, m.kind, m.result, m.message,
                        m.run_time);
    }
};
template <> struct field_list<endpoint_use> {
    static auto of(auto& m)
    {
        return std::tie(m.endpoint, m.used_slots, m.queued, m.held_by_receiver);
    }
};
template <> struct field_list<outcome_batch> {
    static auto of(auto& m) { return std::tie(m.agent, m.batch_id, m.outcomes, m.uses); }
};
template <> struct field_list<outcome_ack> {
    static auto of(auto& m) { return std::tie(m.agent_incarnation, m.batch_id); }
};
template <> struct field_list<outcome_report> {
    static auto of(auto& m) { return std::tie(m.agent, m.query_id, m.outcomes); }
};
template <> struct field_list<endpoint_state> {
    static auto of(auto& m)
    {
        return std::tie(m.name, m.kinds, m.slots, m.used_slots, m.queued, m.cpu, m.memory_mb,
                        m.rack, m.draining, m.held_by_receiver);
    }
};
template <> struct field_list<lagging_run> {
    static auto of(auto& m) { return std::tie(m.agent, m.run, m.remaining); }
};
template <> struct field_list<agent_report> {
    static auto of(auto& m)
    {
        return std::tie(m.agent, m.region, m.zone, m.agent_clock, m.seen_view, m.endpoints,
                        m.ephemeral_runs);
    }
};

} // namespace greengagehead::protocol

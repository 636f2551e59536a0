// Claims of jobs: which entry owns a job, in which epoch, and how the job ended. Claims of a
// quarter of an hour are kept, so records are compact: about 275 bytes with submissions of 21
// bytes.

#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "protocol/message.h"
#include "state/intern_pool.h"
#include "state/job_key.h"
#include "state/tombstone_set.h"

namespace greengagehead::state {

class entry_table;

/// Snapshot form of one claim.
struct claim_image {
    protocol::job_claim claim;
    std::uint64_t request_id = 0;
    std::uint64_t takeover = 0; ///< Sequence number of the last takeover; 0 for none.
    protocol::wall_time finished_at {0}; ///< 0 while running.
};

struct claim_limits {
    /// Beyond this many finished claims the oldest become tombstones before their retention ends.
    /// At about 275 bytes each the claims stay under 300 MB.
    std::size_t max_finished = 1'000'000;
};

class claim_table {
public:
    explicit claim_table(claim_limits limits = {});

    /// Claims one job for `requested.owner`, which must be live. Granted for a new job, for a
    /// resent claim by the same owner, and, with the next epoch, for a job that finished as
    /// `refused`. Answered with `existing` for a job that the owner has taken over, because tasks
    /// of it may have started under the previous owner.
    /// Errors: `error_code::invalid_argument` for a malformed job id or digest.
    base::result<protocol::claim_result> claim(protocol::job_claim const& requested,
                                               std::uint64_t request_id,
                                               protocol::wall_time applied_at);
    /// Records the final state of a job. Ignored unless the job is running in exactly this epoch.
    void finish(protocol::job_finish const& request, protocol::wall_time applied_at);
    /// Moves the running jobs of a lost entry to their backup or the fallback entry. Jobs for which
    /// neither is live are left unchanged. True when any job moved.
    bool take_over(protocol::take_over const& request, entry_table const& entries);
    /// Replaces old finished claims by tombstones and drops old tombstones. Running claims are also
    /// replaced when the longest possible deadline of their job passed before `request.before` and
    /// their owner has still not finished them.
    void expire(protocol::expire_claims const& request, protocol::wall_time applied_at);
    /// True when `expire` with these times would change anything.
    [[nodiscard]] bool has_expirable(protocol::wall_time before,
                                     protocol::wall_time tombstones_before) const;

    [[nodiscard]] std::optional<protocol::job_claim> find(std::string const& job) const;
    /// True when the retention of the job has passed and only its tombstone is left.
    [[nodiscard]] bool expired(std::string const& job) const;
    [[nodiscard]] std::size_t running_count(protocol::process_id const& owner) const;
    /// Owners of running jobs, each once.
    [[nodiscard]] std::vector<protocol::process_id> running_owners() const;
    /// Running jobs that `owner` has taken over, and the sequence number of the latest takeover
    /// among them. Without such jobs the list is empty and the number is 0.
    [[nodiscard]] protocol::takeover_notice taken_over_by(protocol::process_id const& owner) const;
    /// Time at which the oldest running claim was made; empty when no job is running.
    [[nodiscard]] std::optional<protocol::wall_time> oldest_running() const;
    [[nodiscard]] std::size_t size() const;
    [[nodiscard]] std::size_t tombstone_count() const;
    [[nodiscard]] std::uint64_t takeover_count() const;

    /// Visits all claims: the running ones by job id, then the finished ones in order of finishing.
    void visit(std::function<void(claim_image const&)> const& visitor) const;
    [[nodiscard]] std::vector<tombstone_image> tombstone_images() const;
    /// Adds one claim or the tombstones of one hour. Claims must be restored in the order in which
    /// `visit` passed them. Throws std::out_of_range for an invalid image.
    void restore(claim_image const& image);
    void restore(tombstone_image const& image);
    void restore_takeover_count(std::uint64_t count);

private:
    struct record {
        content_digest digest;
        std::string submission;
        protocol::wall_time claimed_at {0};
        std::uint64_t request_id = 0; ///< Id of the request that made the claim.
        std::uint64_t takeover = 0; ///< Sequence number of the last takeover; 0 for none.
        std::uint64_t finish_number = 0; ///< Position in the order of finishing; 0 while running.
        std::uint32_t epoch = 1;
        std::uint32_t deadline_ms = 0;
        std::uint32_t team = 0; ///< Number in `names`.
        std::uint32_t owner = 0; ///< Number in `owners`.
        std::uint32_t backup = 0; ///< Number in `names`.
        protocol::job_state state = protocol::job_state::running;
        protocol::ran_extent ran = protocol::ran_extent::none;
    };

    struct finished_claim {
        std::uint64_t finish_number = 0;
        protocol::wall_time finished_at {0};
        job_key job;
    };

    using claim_map = std::unordered_map<job_key, record, job_key_hash>;

    record make_record(protocol::job_claim const& claim, content_digest const& digest);
    [[nodiscard]] protocol::job_claim to_claim(job_key const& job, record const& source) const;
    protocol::claim_result claim_existing(claim_map::iterator found,
                                          protocol::job_claim const& requested,
                                          content_digest const& digest, std::uint64_t request_id,
                                          protocol::wall_time applied_at);
    void set_owner(record& target, protocol::process_id const& owner);
    void set_finished(job_key const& job, record& target, protocol::wall_time applied_at);
    [[nodiscard]] bool is_current(finished_claim const& candidate) const;
    void replace_by_tombstone(claim_map::iterator found, protocol::wall_time applied_at);
    void drop_outdated();
    void expire_oldest(protocol::wall_time applied_at);
    void expire_abandoned(protocol::expire_claims const& request, protocol::wall_time applied_at);

    claim_limits limits;
    claim_map claims;
    /// Invariant: holds exactly the claims whose finish number is 0.
    std::set<job_key> running;
    /// In order of finishing. An element is outdated when its finish number differs from that of
    /// the claim: the job was claimed again, or the claim was replaced by a tombstone.
    std::deque<finished_claim> finished;
    std::uint64_t finish_count = 0;
    std::uint64_t takeovers = 0;
    tombstone_set tombstones;
    intern_pool<std::string> names; ///< Teams and backups.
    intern_pool<protocol::process_id> owners;
};

} // namespace greengagehead::state

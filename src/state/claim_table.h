// Claims of jobs: who owns a job, in which epoch, and how it ended. Keeps about 275 bytes per
// claim (measured with submissions of 21 bytes), since a quarter of an hour of jobs is held.

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
    std::uint64_t takeover = 0;
    protocol::wall_time finished_at {0};
};

struct claim_limits {
    /// Beyond this many finished claims the oldest become tombstones before their time. At about
    /// 275 bytes each the claims stay under 300 MB.
    std::size_t finished = 1'000'000;
};

class claim_table {
public:
    explicit claim_table(claim_limits limits = {});

    /// Claims one job for `wanted.owner`, which is live. Granted for a new job, for a claim of this
    /// owner that is resent, and for a job finished as `refused`, then with the next epoch. A job
    /// that the owner has taken over is `existing`, because its tasks may have started before.
    /// Errors: `error_code::invalid_argument` for a malformed id or digest.
    base::result<protocol::claim_result> claim(protocol::job_claim const& wanted,
                                               std::uint64_t request_id, protocol::wall_time at);
    /// Ignored unless the job is running in exactly this epoch.
    void finish(protocol::job_finish const& request, protocol::wall_time at);
    /// Moves the running jobs of a lost entry; those with no live successor stay. True when any
    /// moved.
    bool take_over(protocol::take_over const& request, entry_table const& entries);
    /// Also ends claims whose owner has not finished them long after their deadline.
    void expire(protocol::expire_claims const& request, protocol::wall_time at);
    [[nodiscard]] bool has_expirable(protocol::wall_time before,
                                     protocol::wall_time tombstones_before) const;

    [[nodiscard]] std::optional<protocol::job_claim> find(std::string const& job) const;
    /// The job is past its retention and only its tombstone is left.
    [[nodiscard]] bool expired(std::string const& job) const;
    [[nodiscard]] std::size_t running_count(protocol::process_id const& owner) const;
    /// Owners of running jobs, each once.
    [[nodiscard]] std::vector<protocol::process_id> running_owners() const;
    /// Running jobs that `owner` has taken over, and the sequence number of the latest takeover
    /// among them; empty with 0 for none.
    [[nodiscard]] protocol::takeover_notice taken_over_by(protocol::process_id const& owner) const;
    /// Time of the oldest running claim; empty when none is running.
    [[nodiscard]] std::optional<protocol::wall_time> oldest_running() const;
    [[nodiscard]] std::size_t size() const;
    [[nodiscard]] std::size_t tombstone_count() const;
    [[nodiscard]] std::uint64_t takeover_count() const;

    /// All claims: the running ones by id, then the finished ones in order of finishing.
    void visit(std::function<void(claim_image const&)> const& visitor) const;
    [[nodiscard]] std::vector<tombstone_image> tombstone_images() const;
    /// Rebuilds the table piece by piece in the order in which a snapshot was taken. Throws
    /// std::out_of_range for an invalid image.
    void restore(claim_image const& image);
    void restore(tombstone_image const& image);
    void restore_takeover_count(std::uint64_t count);

private:
    struct record {
        content_digest digest;
        std::string submission;
        protocol::wall_time claimed_at {0};
        std::uint64_t request_id = 0; ///< Of the request that made the claim.
        std::uint64_t takeover = 0; ///< Sequence number of the last takeover; 0 for none.
        std::uint64_t finish_number = 0; ///< Position among the finished; 0 while running.
        std::uint32_t epoch = 1;
        std::uint32_t deadline_ms = 0;
        std::uint32_t team = 0;
        std::uint32_t owner = 0;
        std::uint32_t backup = 0;
        protocol::job_state state = protocol::job_state::running;
        protocol::ran_extent ran = protocol::ran_extent::none;
    };

    struct finished_claim {
        std::uint64_t number = 0;
        protocol::wall_time at {0};
        job_key job;
    };

    using claim_map = std::unordered_map<job_key, record, job_key_hash>;

    record make_record(protocol::job_claim const& claim, content_digest const& digest);
    [[nodiscard]] protocol::job_claim to_claim(job_key const& job, record const& source) const;
    protocol::claim_result claim_again(claim_map::iterator known, protocol::job_claim const& wanted,
                                       content_digest const& digest, std::uint64_t request_id,
                                       protocol::wall_time at);
    void set_owner(record& target, protocol::process_id const& owner);
    void set_finished(job_key const& job, record& target, protocol::wall_time at);
    [[nodiscard]] bool current(finished_claim const& item) const;
    void replace_by_tombstone(claim_map::iterator found, protocol::wall_time at);
    void drop_obsolete();
    void expire_oldest(protocol::wall_time at);
    void expire_abandoned(protocol::expire_claims const& request, protocol::wall_time at);

    claim_limits limits;
    claim_map claims;
    /// Invariant: exactly the claims whose finish number is 0.
    std::set<job_key> running;
    /// In order of finishing. Items whose number differs from their claim's are obsolete: the job
    /// was claimed again.
    std::deque<finished_claim> finished;
    std::uint64_t finish_count = 0;
    std::uint64_t takeovers = 0;
    tombstone_set tombstones;
    intern_pool<std::string> names; ///< Teams and backups.
    intern_pool<protocol::process_id> owners;
};

} // namespace greengagehead::state

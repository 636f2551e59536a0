// Consent of other entries to the start of an ephemeral submission: no task of it starts before a
// majority of its witnesses has granted it to this entry. Also answers as a witness.

#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "entry/waiter.h"
#include "policy/claim_quorum.h"
#include "policy/submission_grants.h"
#include "policy/submission_witnesses.h"
#include "protocol/job.h"
#include "protocol/message.h"

namespace greengagehead::entry {

struct entry_components;
struct job;

/// An ephemeral submission that was admitted and has not started.
struct unstarted_submission {
    std::string key; ///< The same at every entry.
    std::string job; ///< Id of the job here.
    protocol::job_request request;
    waiter caller;
    base::steady_time submitted; ///< When it arrived at this entry.
    base::steady_time earliest_sent; ///< As in `job`.
    base::steady_time deadline;
    base::steady_time latest_start; ///< As in `job`.
    /// Claims of other entries under which nothing runs any more, and why that is known.
    std::vector<protocol::claim_ref> ended_claims;
    std::string ended_reason;
    bool was_held = false; ///< The other entries were told that this one holds it.
};

class submission_claims {
public:
    explicit submission_claims(entry_components& components);

    /// What this entry has granted before is not known to it.
    void set_started(base::steady_time now);

    /// Makes a job of the submission and asks the witnesses. Its tasks wait in the queue meanwhile.
    /// The job starts, or is held for the entry that has it, or is refused when no majority answers
    /// in time.
    void begin(unstarted_submission submission, base::steady_time now);

    void on_claim(std::string const& peer, protocol::submission_claim const& claim,
                  base::steady_time now);
    void on_verdict(std::string const& peer, protocol::claim_verdict const& verdict,
                    base::steady_time now);
    void on_release(std::string const& peer, protocol::claim_release const& release);
    void on_claims_held(std::string const& peer, protocol::claims_held const& message,
                        base::steady_time now);
    /// Tells an entry that has connected what may run.
    void peer_up(std::string const& peer, base::steady_time now);
    /// A new view has been applied.
    void on_view(base::steady_time now);
    /// Another entry asks for the job with this id, which has no job here. Returns false when no
    /// claim for it is open.
    bool on_query(std::string const& peer, protocol::job_query const& query);
    void on_timer(std::uint64_t number, base::steady_time now);
    void tick(base::steady_time now);

    /// Whether a claim for the submission is open. The job may start at any time.
    [[nodiscard]] bool contains(std::string const& key) const;
    /// Whether this entry has granted the submission, as a witness, to itself or to another one.
    [[nodiscard]] bool has_granted(std::string const& key) const
    {
        return this->grants.contains(key);
    }
    /// Cancels the job that waits for consent. Returns whether there is one.
    bool cancel(std::string const& key, base::steady_time now);

private:
    /// Ends with the consent, or when its job does.
    struct open_claim {
        std::uint64_t number = 0;
        std::string key;
        std::string job; ///< Id of the job here, which waits for the consent.
        /// As in `unstarted_submission`.
        std::vector<protocol::claim_ref> ended_claims;
        std::string ended_reason;
        bool was_held = false;
        policy::claim_quorum quorum {{}};
        base::steady_time expires_at;
        std::chrono::milliseconds next_interval {0}; ///< Until the witnesses are asked again.
    };

    /// Asks further witnesses, and ends the claim when its quorum is complete.
    void proceed(open_claim& claim, base::steady_time now);
    /// Asks these witnesses. Then the claim is granted, or has ended, or waits for their verdicts.
    void ask_all(open_claim& claim, std::vector<std::string> const& witnesses,
                 base::steady_time now);
    void ask(open_claim& claim, std::string const& witness, base::steady_time now);
    void on_granted(open_claim& claim, base::steady_time now);
    void on_denied(open_claim& claim, protocol::claim_verdict const& verdict,
                   base::steady_time now);
    /// A denial ends the claim.
    void record_verdict(std::string const& witness, protocol::claim_verdict const& verdict,
                        base::steady_time now);
    void log_permission(job const& started, std::string const& reason);
    void refuse(open_claim& claim, std::string const& reason, base::steady_time now);
    /// The job of the claim; null when it has ended.
    [[nodiscard]] job* unstarted_job(open_claim const& claim);
    /// Drops the job of the claim, and returns what its callers have submitted.
    std::vector<unstarted_submission> take_callers(open_claim const& claim, job& denied);
    open_claim end(open_claim& claim);
    /// Ends the claim, under which nothing was started.
    void withdraw(open_claim& claim);
    /// Tells the witnesses that nothing was started under the claim.
    void release(open_claim const& claim);
    void set_timer(open_claim& claim, base::steady_time now);
    [[nodiscard]] open_claim* find(std::string const& key);
    /// Decision of this entry as a witness.
    [[nodiscard]] protocol::claim_verdict decide(protocol::submission_claim const& claim,
                                                 base::steady_time now);
    /// Whether grants of a former incarnation of this entry may still count that it does not know.
    [[nodiscard]] bool may_have_forgotten(base::steady_time now);
    /// Whether the witness does not owe an answer for long.
    [[nodiscard]] bool is_responsive(std::string const& witness, base::steady_time now) const;

    entry_components& components;
    policy::witness_sets witnesses;
    policy::submission_grants grants;
    std::map<std::uint64_t, open_claim> claims; ///< By number.
    std::unordered_map<std::string, std::uint64_t> numbers; ///< Open claims, by key.
    /// When the oldest claim was sent to an entry that has not answered since.
    std::unordered_map<std::string, base::steady_time> unanswered_since;
    base::steady_time started;
    /// Entries that have told what they know of the claims that this one has forgotten.
    std::set<std::string> informants;
    bool knows_all = false; ///< What a former incarnation has granted.
    base::steady_time next_expiry;
};

} // namespace greengagehead::entry

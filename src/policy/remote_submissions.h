// What an entry knows of ephemeral submissions that run at other entries, and of cancelled ones;
// and what it does when one of them is sent to it again.

#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "protocol/identity.h"
#include "protocol/job.h"
#include "protocol/message.h"

namespace greengagehead::policy {

/// An entry announces a submission to the other entries when it has been unfinished for this long.
/// Callers send a job again no earlier than after 1.3 s; most jobs have ended before this age.
constexpr std::chrono::milliseconds announcement_age {300};
/// Longest time from the deadline of a job, or from the end of its entry, until its runs have
/// ended: agents stop the runs of an entry whose link is down after 300 ms, and workers end those
/// of a frozen agent within 1.02 s. Not true of a machine that was suspended meanwhile, so nothing
/// starts on this ground alone.
constexpr std::chrono::milliseconds longest_run_end {1400};
/// Longest time from the loss of an agent until its runs have ended: no stamp is sent to it any
/// more, the last one expires within 780 ms, and the worker ends the runs
/// `longest_run_after_permission` later, also when the agent is frozen or gone. A bound on work
/// that nobody waits for, and no proof: the machine may be suspended.
constexpr std::chrono::milliseconds unconfirmed_run_limit {2000};
/// Longest time from the expiry of the last stamp of an entry at an agent until the worker has
/// ended its runs: the agent does not extend the lease beyond 300 ms, and the worker's clock may be
/// 2% slow.
constexpr std::chrono::milliseconds longest_run_after_permission {310};
/// Longest time from the last report that lists a run until it has ended, although its worker does
/// not stop it: the entry sends stamps until the agent has been silent for 1.1 s, they last 780 ms,
/// and the run ends `longest_run_after_permission` later. No proof either.
constexpr std::chrono::milliseconds listed_run_limit {2200};
/// A job that has ended with runs whose end is not confirmed is announced for this time, and again
/// before it has passed.
constexpr std::chrono::milliseconds unconfirmed_announcement {2000};
/// A caller is told that the state of its job is not known when the end of the runs, which are to
/// stop, is not confirmed by then: their machine is not heard. A stop takes some 50 ms.
constexpr std::chrono::milliseconds unconfirmed_end_wait {500};
/// How long a submission is held for an entry of which only its claim is known.
constexpr std::chrono::milliseconds claimed_run_limit {15'000};
/// Times of submissions that differ by less are not told apart: one of them is estimated from a
/// message of unknown delay.
constexpr std::chrono::milliseconds submission_time_error {500};
/// How long a cancelled submission is refused, and stopped at entries that announce it. No request
/// of it is expected later.
constexpr std::chrono::milliseconds cancellation_memory {120'000};
/// An entry that connects within this time may have missed a cancellation, and is told again.
constexpr std::chrono::milliseconds cancellation_repeat {5000};
/// Cancellations that are remembered, for 160 a second; one takes about 200 bytes. Beyond it the
/// oldest ones are forgotten.
constexpr std::size_t max_cancellations {20'000};

/// Submissions that reach the age in this interval share one message to each entry.
constexpr std::chrono::milliseconds announcement_interval {200};
/// A submission is announced this long after its arrival at the latest: the message is sent at the
/// next tick.
constexpr std::chrono::milliseconds announcement_delay {announcement_age + announcement_interval
                                                        + std::chrono::milliseconds(10)};
/// Callers that get no answer send a job to another entry after this time at the earliest.
constexpr std::chrono::milliseconds caller_return_delay {1300};

/// What callers call a submission.
struct submission_name {
    std::string team;
    std::string submission; ///< Empty when only the key is known.
};

/// A submission that may still run at another entry.
struct remote_submission {
    protocol::process_id entry;
    bool connected = true; ///< False when the link to the entry has closed since.
    /// Neither connected nor in the view. Its agents may hear it none the less.
    bool out_of_contact = false;
    bool held = false; ///< The entry has started nothing of it, and may start it later.
    base::steady_time announced; ///< When the entry has announced it last.
    base::steady_time submitted; ///< When it arrived there.
    /// It is forgotten then. Its runs may go on, which the witnesses of the submission know.
    base::steady_time ends_by;
    /// Of the claim under which the entry may run it; 0 when only announced.
    std::uint64_t claim = 0;
    bool replaced = false; ///< A later incarnation of the entry has been heard.
};

/// Whether the first of two submissions of one job, at two entries, is the later one. Entry names
/// decide when the times differ by less than any caller waits, so that both entries agree.
[[nodiscard]] bool is_later(base::steady_time first, std::string const& first_entry,
                            base::steady_time second, std::string const& second_entry);

/// Submissions are identified by a key that is the same at every entry.
class remote_submissions {
public:
    using steady_time = base::steady_time;

    /// The entry has announced that it runs or holds the submission for at most `remaining`.
    void record(protocol::process_id const& entry,
                protocol::submissions_running::submission const& announced, steady_time now);
    /// A witness has granted the submission to the entry.
    /// @param connected whether this incarnation of the entry has a link.
    /// @param granted when the witness has granted it.
    void record_claim(std::string const& key, protocol::claim_ref const& holder, bool connected,
                      steady_time granted, steady_time now);
    /// Number of the claim under which the entry may run the submission; empty if it is not known.
    [[nodiscard]] std::optional<std::uint64_t> claim_number(protocol::process_id const& entry,
                                                            std::string const& key) const;
    /// This incarnation of the entry is heard, so that former ones are not any more. Cheap while
    /// the incarnation stays the same.
    void record_incarnation(protocol::process_id const& entry);
    /// The entry has stated that it does not know the submission, or that all its runs have ended.
    void record_ended(protocol::process_id const& entry, std::string const& key);
    /// The link to the entry has closed. Its runs may go on, because agents may still hear it.
    void record_disconnected(std::string const& entry_name);
    /// The entries of the present view.
    void record_view(std::vector<protocol::process_id> const& entries);
    /// A caller has cancelled the submission, here or, if the name is empty, at another entry.
    void record_cancelled(std::string const& key, submission_name name, steady_time now);
    /// Keys of the submissions that were cancelled here within `cancellation_repeat`.
    [[nodiscard]] std::vector<std::string> cancelled_here(steady_time now) const;

    /// The entry that may still run the submission; empty if there is none.
    [[nodiscard]] std::optional<remote_submission> find(std::string const& key,
                                                        steady_time now) const;
    /// Whether another entry holds the submission that it got after `submitted`. A caller sends a
    /// job to one entry after the other, so that entry is the one to start it.
    /// @param self decides between submissions of the same time.
    [[nodiscard]] bool has_newer_holder(std::string const& key, steady_time submitted,
                                        std::string const& self, steady_time now) const;
    /// Name of the submission if it was cancelled a short time ago, else null. Valid until the next
    /// change.
    [[nodiscard]] submission_name const* cancelled(std::string const& key, steady_time now) const;
    /// Whether `find` and `cancelled` are certain to find nothing, whatever the key.
    [[nodiscard]] bool empty() const
    {
        return this->running.empty() && this->cancellations.empty();
    }
    /// Drops what has expired.
    void expire(steady_time now);

private:
    void remove(protocol::process_id const& entry, std::string const& key, bool held);
    void add(std::string const& key, remote_submission submission);

    /// By key. A submission runs at two other entries only when one of them did not know of the
    /// other.
    std::unordered_map<std::string, std::vector<remote_submission>> running;
    /// Incarnations of the entries that were heard last, by name.
    std::unordered_map<std::string, std::uint64_t> heard_incarnations;
    /// Entries of which submissions of other incarnations were added since they were heard.
    std::set<std::string> unchecked;
    struct cancellation {
        submission_name name;
        steady_time since;
    };
    void set_cancelled_at(std::string const& key, cancellation& item, steady_time now);
    std::unordered_map<std::string, cancellation> cancellations; ///< By key.
    /// The keys of `cancellations` by `since`.
    std::set<std::pair<steady_time, std::string>> cancellation_order;
};

/// What follows from the state of a submission at the entry that it was sent to first.
enum class resubmission_step : std::uint8_t {
    ask_again, ///< The job, or a run of it, is in progress there.
    answer, ///< The job has ended there with an answer that serves the second caller too.
    start_here, ///< No task runs there any more and none will.
};

/// @param state answer of the entry that the job was sent to first; null when it does not know the
/// job.
[[nodiscard]] resubmission_step next_step(protocol::job_answer const* state);

} // namespace greengagehead::policy

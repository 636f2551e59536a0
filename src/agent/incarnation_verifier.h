// Decides whether an announcement is from the process that runs at the worker's address. Anyone can
// send an announcement, and one of a former incarnation may arrive late, so an incarnation counts
// only once the worker itself has answered a call that was addressed to it.

#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>

#include "agent/leased_worker.h"
#include "base/clock.h"

namespace greengagehead::agent {

/// What the worker answered to a call that was addressed to an incarnation.
enum class incarnation_answer : std::uint8_t {
    confirmed,
    refuted, ///< Another incarnation runs at the worker's address.
    unanswered,
};

enum class incarnation_verdict : std::uint8_t {
    confirmed,
    refuted,
    superseded, ///< A later announced incarnation was confirmed in the meantime.
    unanswered, ///< The worker has not answered in time, or too many announcements wait.
};

class incarnation_verifier {
public:
    /// Asks the worker once. Calls its second argument exactly once, possibly before it returns.
    using question
        = std::function<void(worker_incarnation const&, std::function<void(incarnation_answer)>)>;
    using callback = std::function<void(incarnation_verdict)>;

    explicit incarnation_verifier(question ask_worker);

    /// Calls `done` exactly once, unless the verifier is destroyed first.
    void verify(worker_incarnation const& announced, base::steady_time now, callback done);
    /// Repeats unanswered questions, and gives up those that took too long.
    void tick(base::steady_time now);

private:
    struct verification {
        std::uint64_t number = 0; ///< Higher than those of verifications that began earlier.
        worker_incarnation announced;
        base::steady_time give_up_at;
        bool question_in_flight = false;
        callback done;
    };

    void ask(verification& pending);
    void on_answer(std::uint64_t number, incarnation_answer answer);
    void finish(std::list<verification>::iterator pending, incarnation_verdict verdict);
    std::list<verification>::iterator find(std::uint64_t number);

    /// A worker repeats an announcement that is not acknowledged within a second.
    static constexpr std::chrono::milliseconds max_duration {800};
    static constexpr std::size_t max_pending = 16;

    question ask_worker;
    std::list<verification> pending; // In the order of their numbers.
    std::uint64_t last_number = 0;
    std::uint64_t last_confirmed = 0; // Number of a verification.
    std::shared_ptr<bool> alive; // Callbacks of the worker hold weak references to it.
};

} // namespace greengagehead::agent

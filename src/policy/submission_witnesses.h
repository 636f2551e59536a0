// The entries that decide which entry may start an ephemeral submission: a quorum system that every
// entry computes from the submission's key and the view.

#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "base/clock.h"

namespace greengagehead::policy {

/// Entries that decide about one submission, so that one of them can be lost.
constexpr std::size_t witnesses_per_submission {3};
/// How long the witnesses of the former view are asked too. Covers an entry that applies the view
/// late, and the time until a job that it has started is announced to all entries.
constexpr std::chrono::milliseconds witness_transition {3000};

struct witness_candidate {
    witness_candidate(std::string entry_name, std::string entry_zone);

    std::string name; ///< Peer name of the entry; the same for all its incarnations.
    std::string zone;
    std::uint64_t name_hash;

    bool operator==(witness_candidate const&) const = default;
};

using witness_set = std::vector<std::string>;

/// Number of witnesses whose consent is needed. Two majorities of one set have a common member.
[[nodiscard]] constexpr std::size_t majority_of(std::size_t witnesses)
{
    return witnesses / 2 + 1;
}

/// At most `witnesses_per_submission` entries, in as many zones as there are: the loss of a zone
/// leaves a majority. The result depends neither on the order of `entries` nor on the machine.
[[nodiscard]] witness_set choose_witnesses(std::string const& key,
                                           std::vector<witness_candidate> const& entries);

/// The witnesses of each submission, also while entries come and go.
class witness_sets {
public:
    /// The entries of a newly applied view.
    void set_entries(std::vector<witness_candidate> entries, base::steady_time now);
    /// The sets of which each has to consent with a majority; the first one is that of the present
    /// view. Empty without a view.
    [[nodiscard]] std::vector<witness_set> find(std::string const& key,
                                                base::steady_time now) const;

private:
    struct former_entries {
        std::vector<witness_candidate> entries;
        base::steady_time counts_until;
    };

    std::vector<witness_candidate> current;
    std::vector<former_entries> former; ///< The latest one last.
};

} // namespace greengagehead::policy

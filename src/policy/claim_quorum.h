// Whether enough witnesses have consented to the start of a submission, and whom to ask next.

#pragma once

#include <functional>
#include <set>
#include <string>
#include <vector>

#include "policy/submission_witnesses.h"

namespace greengagehead::policy {

class claim_quorum {
public:
    /// @param witness_sets each has to consent with a majority.
    explicit claim_quorum(std::vector<witness_set> witness_sets);

    void record_consent(std::string const& witness) { this->consenting.insert(witness); }
    void record_asked(std::string const& witness) { this->asked.insert(witness); }
    [[nodiscard]] bool complete() const;
    [[nodiscard]] bool contains(std::string const& witness) const;

    /// The witnesses to ask now, so that the claim is complete when all that were asked consent.
    /// @param preferred witnesses that are likely to answer soon; others are asked only where
    /// these are not enough.
    [[nodiscard]] std::vector<std::string>
    missing(std::function<bool(std::string const& witness)> const& preferred) const;
    /// Also those that were asked and have not answered.
    [[nodiscard]] std::vector<std::string> without_consent() const;
    /// Those that have consented, or may do so.
    [[nodiscard]] std::set<std::string> const& asked_witnesses() const { return this->asked; }

private:
    std::vector<witness_set> sets;
    std::set<std::string> asked;
    std::set<std::string> consenting;
};

} // namespace greengagehead::policy

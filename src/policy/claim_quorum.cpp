// Counting of consents in one or more witness sets.

#include "policy/claim_quorum.h"

#include <algorithm>
#include <utility>

namespace greengagehead::policy {

namespace {

std::size_t count_in(witness_set const& set, std::set<std::string> const& names)
{
    return static_cast<std::size_t>(std::count_if(
        set.begin(), set.end(), [&names](auto const& name) { return names.contains(name); }));
}

} // namespace

claim_quorum::claim_quorum(std::vector<witness_set> witness_sets)
    : sets(std::move(witness_sets)) { }

bool claim_quorum::complete() const
{
    return !this->sets.empty()
        && std::all_of(this->sets.begin(), this->sets.end(), [this](auto const& set) {
               return count_in(set, this->consenting) >= majority_of(set.size());
           });
}

bool claim_quorum::contains(std::string const& witness) const
{
    return std::any_of(this->sets.begin(), this->sets.end(), [&witness](auto const& set) {
        return std::find(set.begin(), set.end(), witness) != set.end();
    });
}

std::vector<std::string>
claim_quorum::missing(std::function<bool(std::string const& witness)> const& preferred) const
{
    auto expected = this->consenting;
    expected.insert(this->asked.begin(), this->asked.end());
    std::vector<std::string> result;
    for (auto const& set : this->sets) {
        for (bool const only_preferred : {true, false}) {
            for (auto const& name : set) {
                if (count_in(set, expected) >= majority_of(set.size()))
                    break;
                if (only_preferred && !preferred(name))
                    continue;
                if (expected.insert(name).second)
                    result.push_back(name);
            }
        }
    }
    return result;
}

std::vector<std::string> claim_quorum::without_consent() const
{
    std::vector<std::string> result;
    for (auto const& set : this->sets) {
        for (auto const& name : set) {
            if (!this->consenting.contains(name)
                && std::find(result.begin(), result.end(), name) == result.end())
                result.push_back(name);
        }
    }
    return result;
}

} // namespace greengagehead::policy

// Decision of one witness, and the limits of its memory.

#include "policy/submission_grants.h"

#include <algorithm>

namespace greengagehead::policy {

namespace {

/// Whether `ended` proves the end of everything that was started under `claim`.
bool covers(std::vector<protocol::claim_ref> const& ended, protocol::claim_ref const& claim)
{
    return std::any_of(ended.begin(), ended.end(), [&claim](auto const& item) {
        return item.entry == claim.entry && claim.number <= item.number;
    });
}

} // namespace

protocol::claim_ref submission_grants::grant(std::string const& key,
                                             protocol::claim_ref const& claim,
                                             std::vector<protocol::claim_ref> const& ended,
                                             steady_time now)
{
    auto const found = this->grants.find(key);
    if (found == this->grants.end()) {
        if (this->grants.size() >= max_grants)
            this->drop_oldest();
        this->grants[key] = {claim, now + grant_retention};
        return claim;
    }
    auto& held = found->second;
    // A holder knows its own earlier runs. A late claim of it must not take the place of a newer
    // one.
    bool const replaces = held.claim.entry == claim.entry ? held.claim.number <= claim.number
                                                          : covers(ended, held.claim);
    if (replaces)
        held.claim = claim;
    held.kept_until = now + grant_retention;
    return held.claim;
}

void submission_grants::release(std::string const& key, protocol::claim_ref const& claim)
{
    auto const found = this->grants.find(key);
    if (found != this->grants.end() && found->second.claim.entry == claim.entry
        && found->second.claim.number == claim.number)
        this->grants.erase(found);
}

void submission_grants::expire(steady_time now)
{
    std::erase_if(this->grants, [now](auto const& item) { return item.second.kept_until <= now; });
}

void submission_grants::drop_oldest()
{
    this->grants.erase(std::min_element(
        this->grants.begin(), this->grants.end(),
        [](auto const& a, auto const& b) { return a.second.kept_until < b.second.kept_until; }));
}

} // namespace greengagehead::policy

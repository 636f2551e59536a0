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

bool is_same(protocol::claim_ref const& a, protocol::claim_ref const& b)
{
    return a.entry == b.entry && a.number == b.number;
}

} // namespace

submission_grants::granted const&
submission_grants::grant(std::string const& key, protocol::claim_ref const& claim,
                         std::vector<protocol::claim_ref> const& ended, steady_time now)
{
    auto const found = this->grants.find(key);
    if (found == this->grants.end())
        return this->add(key, claim, now);
    auto& held = found->second;
    // A holder knows its own earlier runs. A late claim of it must not take the place of a newer
    // one.
    bool const replaces = held.claim.entry == claim.entry ? held.claim.number <= claim.number
                                                          : covers(ended, held.claim);
    if (replaces) {
        held.claim = claim;
        held.since = now;
    }
    held.kept_until = now + grant_retention;
    return held;
}

submission_grants::granted&
submission_grants::add(std::string const& key, protocol::claim_ref const& claim, steady_time now)
{
    if (this->grants.size() >= max_grants)
        this->drop_oldest();
    return this->grants[key] = {claim, now, now + grant_retention};
}

void submission_grants::adopt(std::string const& key, protocol::claim_ref const& claim,
                              steady_time now)
{
    if (!this->grants.contains(key))
        this->add(key, claim, now);
}

std::vector<protocol::submission_ref> submission_grants::all() const
{
    std::vector<protocol::submission_ref> result;
    for (auto const& [key, item] : this->grants) {
        result.push_back({key, item.claim});
    }
    return result;
}

void submission_grants::release(std::string const& key, protocol::claim_ref const& claim)
{
    auto const found = this->grants.find(key);
    if (found != this->grants.end() && is_same(found->second.claim, claim))
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

// Placement by random choice, and by the less loaded of a few random endpoints.

#include "policy/placement_policy.h"

#include <algorithm>
#include <random>

#include "policy/endpoint_health.h"
#include "policy/endpoint_table.h"

namespace greengagehead::policy {

namespace {

/// Random draws for one decision before every candidate is looked at in turn. With half of the
/// endpoints refused by their health, one decision in 256 comes to that.
constexpr std::uint32_t most_draws = 8;
constexpr std::size_t sample_size = 4;

bool avoided(placement_request const& request, std::string const& endpoint)
{
    return std::find(request.avoid.begin(), request.avoid.end(), endpoint) != request.avoid.end();
}

/// Draws candidates at random. Used by every policy.
class sampler {
public:
    explicit sampler(std::uint64_t seed)
    {
        // Entries have neighbouring seeds, with which the generator's first numbers are alike.
        std::seed_seq mixed {seed & 0xffffffffU, seed >> 32U};
        this->random.seed(mixed);
    }

    /// Finds up to `wanted` different endpoints that fit, have a free slot and are accepted by
    /// their health. Endpoints to avoid are found only when there is no other.
    void draw(placement_request const& request, endpoint_table const& endpoints,
              endpoint_health& health, base::steady_time now, std::size_t wanted);

    std::vector<endpoint_record const*> found;
    std::uint32_t candidates = 0;
    bool last_resort = false; ///< `found` consists of an endpoint to avoid.

private:
    [[nodiscard]] endpoint_record const* at(std::size_t position) const;
    std::size_t below(std::size_t limit)
    {
        return std::uniform_int_distribution<std::size_t>(0, limit - 1)(this->random);
    }

    std::minstd_rand random;
    std::vector<candidate_group> groups;
};

endpoint_record const* sampler::at(std::size_t position) const
{
    for (auto const& group : this->groups) {
        if (position < group.size())
            return group[position];
        position -= group.size();
    }
    return nullptr;
}

void sampler::draw(placement_request const& request, endpoint_table const& endpoints,
                   endpoint_health& health, base::steady_time now, std::size_t wanted)
{
    this->found.clear();
    this->groups.clear();
    this->last_resort = false;
    endpoints.candidates(
        {request.kind, request.region, request.zone, request.cpu, request.memory_mb}, this->groups);
    std::size_t total = 0;
    for (auto const& group : this->groups)
        total += group.size();
    this->candidates = static_cast<std::uint32_t>(total);
    if (total == 0)
        return;
    auto const fleet = endpoints.usable_endpoints();
    endpoint_record const* reserve = nullptr;
    auto const consider = [&](endpoint_record const* record) {
        if (std::find(this->found.begin(), this->found.end(), record) != this->found.end())
            return;
        if (endpoints.free_slots(*record) < request.slots)
            return;
        if (!health.accepts(record->state.name, record->outstanding, fleet, now))
            return;
        if (avoided(request, record->state.name))
            reserve = record;
        else
            this->found.push_back(record);
    };
    for (std::uint32_t draw = 0; draw < most_draws && this->found.size() < wanted; ++draw)
        consider(this->at(this->below(total)));
    if (!this->found.empty())
        return;
    auto const first = this->below(total);
    for (std::size_t step = 0; step < total && this->found.empty(); ++step)
        consider(this->at((first + step) % total));
    if (this->found.empty() && reserve != nullptr) {
        this->found.push_back(reserve);
        this->last_resort = true;
    }
}

class random_policy final : public placement_policy {
public:
    explicit random_policy(std::uint64_t seed) : sample(seed) { }

    std::optional<placement_choice> choose(placement_request const& request,
                                           endpoint_table const& endpoints, endpoint_health& health,
                                           base::steady_time now) override
    {
        this->sample.draw(request, endpoints, health, now, 1);
        if (this->sample.found.empty())
            return std::nullopt;
        auto const& name = this->sample.found.front()->state.name;
        health.record_placement(name, now);
        return placement_choice {name, this->sample.last_resort ? "random, no other" : "random",
                                 this->sample.candidates};
    }
    [[nodiscard]] std::string_view name() const override { return "random"; }

private:
    sampler sample;
};

class least_loaded_policy final : public placement_policy {
public:
    explicit least_loaded_policy(std::uint64_t seed) : sample(seed) { }

    std::optional<placement_choice> choose(placement_request const& request,
                                           endpoint_table const& endpoints, endpoint_health& health,
                                           base::steady_time now) override
    {
        this->sample.draw(request, endpoints, health, now, sample_size);
        auto const& found = this->sample.found;
        if (found.empty())
            return std::nullopt;
        auto const* const best
            = *std::min_element(found.begin(), found.end(),
                                [](auto const* a, auto const* b) { return rank(*a) < rank(*b); });
        health.record_placement(best->state.name, now);
        return placement_choice {best->state.name, this->reason(), this->sample.candidates};
    }
    [[nodiscard]] std::string_view name() const override { return "least_loaded"; }

private:
    /// Endpoints where the entry is below its own part come first: other entries leave these slots
    /// alone in general, whereas all entries see the same other slots as free.
    static std::pair<bool, double> rank(endpoint_record const& record)
    {
        return {record.outstanding >= record.own_part, load(record)};
    }
    /// Part of the slots that is in use, as far as known here.
    static double load(endpoint_record const& record)
    {
        return static_cast<double>(slots_in_use(record)) / std::max(record.state.slots, 1U);
    }
    [[nodiscard]] char const* reason() const
    {
        if (this->sample.last_resort)
            return "only an endpoint of an earlier attempt has a free slot";
        return this->sample.found.size() > 1 ? "least loaded of a sample"
                                             : "only one accepts a task";
    }

    sampler sample;
};

} // namespace

std::unique_ptr<placement_policy> make_placement_policy(std::string_view name, std::uint64_t seed)
{
    if (name == "least_loaded")
        return std::make_unique<least_loaded_policy>(seed);
    if (name == "random")
        return std::make_unique<random_policy>(seed);
    return nullptr;
}

} // namespace greengagehead::policy

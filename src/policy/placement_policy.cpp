// Placement on a random endpoint, and on the least loaded of a few random endpoints.

#include "policy/placement_policy.h"

#include <algorithm>
#include <random>

#include "policy/endpoint_health.h"
#include "policy/endpoint_table.h"

namespace greengagehead::policy {

namespace {

/// Random draws per decision before all candidates are examined in turn. When health excludes half
/// of the endpoints, one decision in 256 gets that far.
constexpr std::uint32_t max_draws = 8;
constexpr std::size_t sample_size = 4;

bool is_avoided(placement_request const& request, std::string const& endpoint)
{
    return std::find(request.avoid.begin(), request.avoid.end(), endpoint) != request.avoid.end();
}

/// Draws random candidates. Used by every policy.
class sampler {
public:
    explicit sampler(std::uint64_t seed)
    {
        // Entries have adjacent seeds, with which the generator's first numbers would be similar.
        std::seed_seq mixed {seed & 0xffffffffU, seed >> 32U};
        this->random.seed(mixed);
    }

    /// Finds up to `max_results` different endpoints that match, have enough free slots and are
    /// accepted by `health`. Finds an endpoint to avoid only when there is no other.
    void draw(placement_request const& request, endpoint_table const& endpoints,
              endpoint_health& health, base::steady_time now, std::size_t max_results);

    std::vector<endpoint_record const*> found;
    std::uint32_t candidates = 0;
    bool last_resort = false; ///< `found` holds one endpoint, which was to be avoided.

private:
    [[nodiscard]] endpoint_record const* candidate_at(std::size_t position) const;
    std::size_t random_below(std::size_t limit)
    {
        return std::uniform_int_distribution<std::size_t>(0, limit - 1)(this->random);
    }

    std::minstd_rand random;
    std::vector<candidate_group> groups;
};

endpoint_record const* sampler::candidate_at(std::size_t position) const
{
    for (auto const& group : this->groups) {
        if (position < group.size())
            return group[position];
        position -= group.size();
    }
    return nullptr;
}

void sampler::draw(placement_request const& request, endpoint_table const& endpoints,
                   endpoint_health& health, base::steady_time now, std::size_t max_results)
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
    endpoint_record const* fallback = nullptr;
    auto const consider = [&](endpoint_record const* record) {
        if (std::find(this->found.begin(), this->found.end(), record) != this->found.end())
            return;
        if (endpoints.free_slots(*record) < request.slots)
            return;
        if (!health.accepts(record->state.name, record->outstanding, fleet, now))
            return;
        if (is_avoided(request, record->state.name))
            fallback = record;
        else
            this->found.push_back(record);
    };
    for (std::uint32_t draw = 0; draw < max_draws && this->found.size() < max_results; ++draw)
        consider(this->candidate_at(this->random_below(total)));
    if (!this->found.empty())
        return;
    auto const first = this->random_below(total);
    for (std::size_t step = 0; step < total && this->found.empty(); ++step)
        consider(this->candidate_at((first + step) % total));
    if (this->found.empty() && fallback != nullptr) {
        this->found.push_back(fallback);
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
            = *std::min_element(found.begin(), found.end(), [](auto const* a, auto const* b) {
                  return sort_key(*a) < sort_key(*b);
              });
        health.record_placement(best->state.name, now);
        return placement_choice {best->state.name, this->reason(), this->sample.candidates};
    }
    [[nodiscard]] std::string_view name() const override { return "least_loaded"; }

private:
    /// Endpoints where the entry is below its share come first: other entries usually leave these
    /// slots to it, whereas all entries see the same remaining slots as free.
    static std::pair<bool, double> sort_key(endpoint_record const& record)
    {
        return {record.outstanding >= record.entry_share, load(record)};
    }
    /// Fraction of the slots in use, according to the last report and this entry's starts.
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

// Placement on a random endpoint, and on the least loaded of a few random endpoints.

#include "policy/placement_policy.h"

#include <algorithm>
#include <random>
#include <tuple>

#include "policy/endpoint_health.h"
#include "policy/endpoint_speed.h"
#include "policy/endpoint_table.h"

namespace greengagehead::policy {

namespace {

/// Random draws per decision before all candidates are examined in turn. When health excludes half
/// of the endpoints, one decision in 256 gets that far.
constexpr std::uint32_t max_draws = 8;
constexpr std::size_t sample_size = 4;
/// With learned speeds a decision compares more endpoints, because only some of them are fast
/// enough for the task.
constexpr std::size_t speed_sample_size = 8;

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

    /// As draw(), but finds all such endpoints.
    void draw_all(placement_request const& request, endpoint_table const& endpoints,
                  endpoint_health& health, base::steady_time now);

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

void sampler::draw_all(placement_request const& request, endpoint_table const& endpoints,
                       endpoint_health& health, base::steady_time now)
{
    auto const fleet = endpoints.usable_endpoints();
    this->found.clear();
    for (auto const& group : this->groups) {
        for (auto const* record : group) {
            if (endpoints.free_slots(*record) >= request.slots
                && health.accepts(record->state.name, record->outstanding, fleet, now)
                && !is_avoided(request, record->state.name))
                this->found.push_back(record);
        }
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

/// Endpoints where the entry is below its share come first: other entries usually leave these
/// slots to it, whereas all entries see the same remaining slots as free.
bool beyond_share(endpoint_record const& record)
{
    return record.outstanding >= record.entry_share;
}

/// Fraction of the slots in use, according to the last report and this entry's starts.
double load(endpoint_record const& record)
{
    return static_cast<double>(slots_in_use(record)) / std::max(record.state.slots, 1U);
}

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
    static std::pair<bool, double> sort_key(endpoint_record const& record)
    {
        return {beyond_share(record), load(record)};
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

/// Whether the endpoint gets tasks with these requirements, now or once it has free slots.
bool serves(endpoint_record const& record, placement_request const& request)
{
    auto const& kinds = record.state.kinds;
    return record.assigned && record.agent_registered && !record.zone_out && !record.drain_requested
        && !record.state.draining && record.state.slots >= request.slots
        && (request.region.empty() || record.region == request.region)
        && (request.zone.empty() || record.zone == request.zone)
        && std::find(kinds.begin(), kinds.end(), request.kind) != kinds.end()
        && fits_size(record.state, {request.kind, {}, {}, request.cpu, request.memory_mb});
}

/// As least_loaded_policy while endpoints have similar speeds. Otherwise with regard to the time at
/// which the task ends on each endpoint. Slots on which the task would be late are left to other
/// tasks while it can still wait for an endpoint on which it ends in time.
class speed_policy final : public placement_policy {
public:
    speed_policy(std::uint64_t seed, endpoint_speed const& learned)
        : sample(seed), speeds(learned), without_speeds(seed)
    {
    }

    std::optional<placement_choice> choose(placement_request const& request,
                                           endpoint_table const& endpoints, endpoint_health& health,
                                           base::steady_time now) override
    {
        if (!this->speeds.uneven())
            return this->without_speeds.choose(request, endpoints, health, now);
        this->sample.draw(request, endpoints, health, now, speed_sample_size);
        auto best = this->best_of_sample(request, now);
        if (best && best->late && !this->sample.last_resort) {
            // One on which the task ends in time may be free outside the sample.
            this->sample.draw_all(request, endpoints, health, now);
            best = this->best_of_sample(request, now);
        }
        if (!best || (best->late && this->ends_in_time_on_any(request, endpoints, health, now)))
            return std::nullopt;
        auto const& name = best->record->state.name;
        health.record_placement(name, now);
        return placement_choice {name, this->reason(*best), this->sample.candidates, best->speed};
    }
    [[nodiscard]] std::string_view name() const override { return "least_loaded"; }

private:
    struct option {
        endpoint_record const* record = nullptr;
        double speed = 1;
        bool late = false; ///< The task would end after its target.
        double load = 0; ///< Load with the task, relative to the speed.
    };

    [[nodiscard]] std::optional<option> best_of_sample(placement_request const& request,
                                                       base::steady_time now) const
    {
        std::optional<option> best;
        for (auto const* record : this->sample.found) {
            auto const candidate = this->evaluate(*record, request, now);
            if (!best || sort_key(candidate) < sort_key(*best))
                best = candidate;
        }
        return best;
    }
    [[nodiscard]] option evaluate(endpoint_record const& record, placement_request const& request,
                                  base::steady_time now) const
    {
        option result {&record, this->speeds.speed(record.state.name, record.agent, now), false, 0};
        result.late = request.expected.count() > 0
            && now + std::chrono::duration<double>(request.expected) / result.speed
                > request.target;
        auto const slots = static_cast<double>(slots_in_use(record) + request.slots);
        result.load = slots / std::max(record.state.slots, 1U) / result.speed;
        return result;
    }
    /// Whether an endpoint that is busy now would end the task in time if it started it now.
    [[nodiscard]] bool ends_in_time_on_any(placement_request const& request,
                                           endpoint_table const& endpoints,
                                           endpoint_health const& health,
                                           base::steady_time now) const
    {
        auto const& all = endpoints.all();
        return std::any_of(all.begin(), all.end(), [&](auto const& item) {
            auto const& record = item.second;
            return serves(record, request)
                && health.state(record.state.name) == health_state::healthy
                && !is_avoided(request, record.state.name)
                && !this->evaluate(record, request, now).late;
        });
    }
    static std::tuple<bool, bool, double> sort_key(option const& item)
    {
        return {item.late, beyond_share(*item.record), item.load};
    }
    [[nodiscard]] char const* reason(option const& chosen) const
    {
        if (this->sample.last_resort)
            return "only an endpoint of an earlier attempt has a free slot";
        if (chosen.late)
            return "no endpoint ends the task in time";
        return this->sample.found.size() > 1 ? "least loaded by speed of a sample"
                                             : "only one accepts a task";
    }

    sampler sample;
    endpoint_speed const& speeds;
    least_loaded_policy without_speeds;
};

} // namespace

std::unique_ptr<placement_policy> make_placement_policy(std::string_view name, std::uint64_t seed,
                                                        endpoint_speed const* speeds)
{
    if (name == "least_loaded" && speeds != nullptr)
        return std::make_unique<speed_policy>(seed, *speeds);
    if (name == "least_loaded")
        return std::make_unique<least_loaded_policy>(seed);
    if (name == "random")
        return std::make_unique<random_policy>(seed);
    return nullptr;
}

} // namespace greengagehead::policy

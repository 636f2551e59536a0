// Compares settings and claims with a model of plain maps that has no bounds or compact encoding.

#include <map>
#include <optional>
#include <set>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>
#include <rapidcheck/state.h>

#include "state/control_state.h"
#include "state/random_command.h"

namespace {

using namespace greengagehead;
using namespace greengagehead::test;
using protocol::claim_status;

/// Model of the expected state.
struct oracle {
    struct claim {
        protocol::job_claim body;
        std::uint64_t request_id = 0;
        bool taken_over = false;
    };
    std::map<std::string, std::pair<std::string, std::uint64_t>> settings;
    std::map<std::string, std::pair<protocol::put_setting, protocol::change_status>> keys;
    std::map<std::string, claim> claims;
    std::set<protocol::process_id> live;
    std::map<std::string, std::uint64_t> incarnations;
};

struct real_state {
    state::control_state state;
    std::uint64_t next_time = 1;

    protocol::control_result apply(protocol::command_body body)
    {
        return this->state.apply({std::chrono::seconds(this->next_time++), std::move(body)});
    }
};

using command = rc::state::Command<oracle, real_state>;

struct put_command : command {
    protocol::put_setting put = any_put_setting();

    [[nodiscard]] protocol::change_status expected(oracle const& model) const
    {
        using protocol::change_status;
        auto const key = model.keys.find(this->put.idempotency_key);
        if (key != model.keys.end()) {
            auto const& first = key->second.first;
            bool const same_content = first.path == this->put.path && first.value == this->put.value
                && first.expected_version == this->put.expected_version;
            return same_content ? key->second.second : change_status::invalid;
        }
        if (std::stoi(this->put.value) < 1)
            return change_status::invalid;
        auto const found = model.settings.find(this->put.path);
        auto const version = found == model.settings.end() ? 0 : found->second.second;
        bool const mismatch = this->put.expected_version.value_or(version) != version;
        return mismatch ? change_status::version_mismatch : change_status::applied;
    }
    void apply(oracle& model) const override
    {
        auto const status = this->expected(model);
        bool const resent = model.keys.contains(this->put.idempotency_key);
        if (!this->put.idempotency_key.empty() && !resent)
            model.keys[this->put.idempotency_key] = {this->put, status};
        if (status != protocol::change_status::applied || resent)
            return;
        auto& target = model.settings[this->put.path];
        target = {this->put.value, target.second + 1};
    }
    void run(oracle const& model, real_state& real) const override
    {
        auto const result = std::get<protocol::change_result>(real.apply(this->put));
        RC_ASSERT(result.status == this->expected(model));
        auto after = model;
        this->apply(after);
        auto const list = real.state.settings().list("/");
        RC_ASSERT(list.size() == after.settings.size());
        for (auto const& setting : list)
            RC_ASSERT(after.settings.at(setting.path) == std::pair(setting.value, setting.version));
    }
};

/// Base of commands that change claims or live entries. `check` applies the command and compares
/// both with the model.
struct claims_command : command {
    void check(oracle const& before, real_state& real, protocol::command_body body) const
    {
        real.apply(std::move(body));
        auto after = before;
        this->apply(after);
        RC_ASSERT(real.state.claims().size() == after.claims.size());
        for (auto const& [job, expected] : after.claims) {
            auto const found = real.state.claims().find(job);
            RC_ASSERT(found.has_value());
            RC_ASSERT(found->owner == expected.body.owner);
            RC_ASSERT(found->epoch == expected.body.epoch);
            RC_ASSERT(found->finished == expected.body.finished);
            RC_ASSERT(found->state == expected.body.state);
        }
        for (auto const& id : after.live)
            RC_ASSERT(real.state.entries().live(id));
    }
};

struct claim_command : claims_command {
    protocol::job_claim requested = any_claim();
    std::uint64_t request_id = static_cast<std::uint64_t>(*rc::gen::inRange(1, 4));

    [[nodiscard]] claim_status expected(oracle const& model) const
    {
        if (!model.live.contains(this->requested.owner))
            return claim_status::not_live;
        auto const found = model.claims.find(this->requested.job);
        if (found == model.claims.end())
            return claim_status::granted;
        auto const& existing = found->second;
        if (existing.body.digest != this->requested.digest)
            return claim_status::digest_conflict;
        bool const same_owner = existing.body.owner == this->requested.owner;
        if (existing.body.finished && existing.body.state == protocol::job_state::refused)
            return same_owner && existing.request_id == this->request_id ? claim_status::existing
                                                                         : claim_status::granted;
        bool const granted_again = same_owner && !existing.body.finished && !existing.taken_over;
        return granted_again ? claim_status::granted : claim_status::existing;
    }
    void apply(oracle& model) const override
    {
        if (this->expected(model) != claim_status::granted)
            return;
        auto const found = model.claims.find(this->requested.job);
        if (found != model.claims.end() && !found->second.body.finished)
            return;
        auto created = this->requested;
        if (found != model.claims.end())
            created.epoch = found->second.body.epoch + 1;
        model.claims[created.job] = {created, this->request_id, false};
    }
    void run(oracle const& model, real_state& real) const override
    {
        auto copy = real;
        auto const results = std::get<protocol::claim_results>(
            copy.apply(protocol::claim_jobs {{this->requested}, this->request_id}));
        RC_ASSERT(results.claims[0].status == this->expected(model));
        this->check(model, real, protocol::claim_jobs {{this->requested}, this->request_id});
    }
};

struct finish_command : claims_command {
    protocol::job_finish finish = any_finish();

    void apply(oracle& model) const override
    {
        auto const found = model.claims.find(this->finish.job);
        if (found == model.claims.end() || found->second.body.finished
            || found->second.body.epoch != this->finish.epoch)
            return;
        found->second.body.finished = true;
        found->second.body.state = this->finish.state;
    }
    void run(oracle const& model, real_state& real) const override
    {
        this->check(model, real, protocol::finish_jobs {{this->finish}});
    }
};

struct takeover_command : claims_command {
    protocol::take_over request {any_process("entry."), random_name("entry.", 3)};

    void apply(oracle& model) const override
    {
        if (model.live.contains(this->request.lost))
            return;
        auto const live_named = [&](std::string const& name) {
            return std::find_if(model.live.begin(), model.live.end(),
                                [&](auto const& id) { return id.name == name; });
        };
        for (auto& [job, claim] : model.claims) {
            if (claim.body.finished || claim.body.owner != this->request.lost)
                continue;
            auto successor = live_named(claim.body.backup);
            successor
                = successor == model.live.end() ? live_named(this->request.fallback) : successor;
            if (successor == model.live.end())
                continue;
            claim.body.owner = *successor;
            claim.body.backup.clear();
            ++claim.body.epoch;
            claim.taken_over = true;
        }
    }
    void run(oracle const& model, real_state& real) const override
    {
        this->check(model, real, this->request);
    }
};

/// Removes an entry or joins its next incarnation. The refusal of older incarnations has its own
/// test.
struct restart_command : claims_command {
    std::string name = random_name("entry.", 3);
    bool rejoins = *rc::gen::arbitrary<bool>();

    void apply(oracle& model) const override
    {
        std::erase_if(model.live, [&](auto const& id) { return id.name == this->name; });
        if (this->rejoins)
            model.live.insert({this->name, ++model.incarnations[this->name]});
    }
    void run(oracle const& model, real_state& real) const override
    {
        auto const found = model.incarnations.find(this->name);
        auto const last = found == model.incarnations.end() ? 0 : found->second;
        if (this->rejoins)
            this->check(model, real, protocol::join_entry {{this->name, last + 1}, "z", "a", "l"});
        else
            this->check(model, real, protocol::remove_entry {{this->name, last}});
    }
};

} // namespace

SCENARIO("settings and claims agree with a simple model")
{
    // Guards against lost updates, wrong owners and wrong epochs after any sequence of commands.
    rc::prop("after any sequence of commands", [] {
        real_state real;
        rc::state::check(
            oracle(), real,
            rc::state::gen::execOneOfWithArgs<put_command, claim_command, claim_command,
                                              finish_command, takeover_command, restart_command>());
    });
}

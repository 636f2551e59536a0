// Schema, versions and idempotency keys of settings, and the retention of agents for takeovers.

#include <catch2/catch.hpp>

#include "state/control_state.h"
#include "state/setting_schema.h"

using namespace greengagehead;
using protocol::change_status;

namespace {

protocol::change_result put(state::control_state& state, std::string const& path,
                            std::string const& value, std::optional<std::uint64_t> version = {},
                            std::string const& key = {})
{
    return std::get<protocol::change_result>(state.apply(
        {std::chrono::seconds(1), protocol::put_setting {path, value, version, key, "ana"}}));
}

std::size_t agents_since(state::control_state const& state, std::chrono::seconds time)
{
    return state.agents().list(time).agents.size();
}

} // namespace

SCENARIO("only settings of the schema are accepted")
{
    state::control_state state;
    // Guards against a misspelt path or an invalid value that is stored but never used.
    THEN("paths and values are checked")
    {
        CHECK(put(state, "/teams/kōwhai-1/weight", "3").status == change_status::applied);
        CHECK(put(state, "/teams/t/kinds/quote/timeout_ms", "600000").status
              == change_status::applied);
        for (auto const* path :
             {"", "/", "/teams/t", "/teams/t/weight/", "/teams//weight", "/teams/../weight",
              "/teams/a b/weight", "/teams/\xff/weight", "/teams/t/wieght", "teams/t/weight"})
            CHECK(put(state, path, "3").status == change_status::unknown_path);
        for (auto const* value : {"0", "1001", "-1", "+1", "01", "1.0", "\"3\"", "true", "", "3 "})
            CHECK(put(state, "/teams/t/weight", value).status == change_status::invalid);
        CHECK(put(state, "/teams/t/weight", "0").message
              == "/teams/t/weight must be a whole number from 1 to 1000");
        CHECK(put(state, "/x", "0").message.find("/teams/TEAM/weight") != std::string::npos);
        CHECK(state::valid_name(std::string(64, 'a')));
        CHECK_FALSE(state::valid_name(std::string(65, 'a')));
    }
}

SCENARIO("an operator limits the share of a team")
{
    state::control_state state;
    put(state, "/teams/t/weight", "1");
    put(state, "/teams/tt/weight", "1");

    // Guards against a share that is larger than the whole, negative or not a number, and is
    // stored.
    THEN("only whole numbers from 1 to 100 are accepted")
    {
        CHECK(put(state, "/teams/t/share_percent", "100").status == change_status::applied);
        CHECK(put(state, "/teams/t/share_percent", "1").status == change_status::applied);
        for (auto const* value : {"0", "101", "-1", "1.5", "", "nan", "50%"}) {
            auto const refused = put(state, "/teams/t/share_percent", value);
            CHECK(refused.status == change_status::invalid);
            CHECK(refused.message == "/teams/t/share_percent must be a whole number from 1 to 100");
            CHECK(refused.current.value == "1");
        }
    }
    // Guards against a misspelt team whose share is stored and limits nobody.
    THEN("the share of a team without settings is refused and changes nothing")
    {
        auto const refused = put(state, "/teams/u/share_percent", "50");
        CHECK(refused.status == change_status::unknown_path);
        CHECK(refused.message == "no team has settings below /teams/u/; set its weight first");
        CHECK(state.settings().list("/teams/u").empty());
        CHECK(put(state, "/teams/tt/share_percent", "50").status == change_status::applied);
    }
    // Guards against a share that is lost when a control member starts again from a snapshot.
    THEN("a share survives a snapshot")
    {
        put(state, "/teams/t/share_percent", "30");
        state::settings_tree restored;
        restored.restore(state.settings().image());
        CHECK(restored.list("/teams/t/share_percent").front().value == "30");
    }
}

SCENARIO("operators change settings concurrently and resend changes")
{
    state::control_state state;
    put(state, "/teams/t/weight", "1");

    // Guards against a lost update when two operators change a setting concurrently.
    WHEN("two operators expect the same version")
    {
        auto const first = put(state, "/teams/t/weight", "2", 1, "a");
        auto const second = put(state, "/teams/t/weight", "3", 1, "b");
        THEN("the second is refused and gets the value set by the first")
        {
            CHECK(first.status == change_status::applied);
            CHECK(second.status == change_status::version_mismatch);
            CHECK(second.current.value == "2");
            CHECK(second.current.version == 2);
        }
        // Guards against a resent change that reverts a later one.
        THEN("a resent change gets the first result and changes nothing")
        {
            put(state, "/teams/t/weight", "7");
            CHECK(put(state, "/teams/t/weight", "2", 1, "a").current.version == 2);
            CHECK(put(state, "/teams/t/weight", "3", 1, "b").status
                  == change_status::version_mismatch);
            CHECK(state.settings().list("/")[0].value == "7");
            CHECK(put(state, "/teams/t/weight", "9", 1, "a").status == change_status::invalid);
        }
    }
    // Guards against memory use that grows with every change.
    WHEN("thousands of changes follow")
    {
        for (int change = 0; change < 3000; ++change)
            put(state, "/teams/t/weight", "5", {}, "key" + std::to_string(change));
        THEN("the history and the recorded idempotency keys are bounded")
        {
            CHECK(state.settings().history("/teams/t/weight").changes.size()
                  == state::settings_tree::history_limit);
            CHECK(state.settings().image().recorded_changes.size()
                  == state::idempotency_table::limit);
        }
    }
}

SCENARIO("a takeover can query every agent that may have started a task")
{
    state::control_state state;
    auto const apply_at = [&](int second, protocol::command_body body) {
        state.apply({std::chrono::seconds(second), std::move(body)});
    };
    apply_at(10, protocol::join_agent {{"agent.a", 1}, "z"});
    apply_at(20, protocol::join_agent {{"agent.a", 2}, "z"});

    THEN("replaced incarnations are listed for jobs claimed before the replacement")
    {
        CHECK(agents_since(state, std::chrono::seconds(20)) == 2);
        CHECK(agents_since(state, std::chrono::seconds(21)) == 1);
    }
    // Guards against a delayed registration that displaces the newer incarnation of the agent.
    THEN("a replaced incarnation cannot register again")
    {
        apply_at(30, protocol::join_agent {{"agent.a", 1}, "z"});
        CHECK(agents_since(state, std::chrono::seconds(40)) == 1);
        CHECK(state.agents().list(std::chrono::seconds(40)).agents[0].id.incarnation == 2);
    }
    // Guards against a task that is wrongly reported as not run, because its job ran longer than
    // the retention of the agent that started it.
    WHEN("a job claimed before the replacement is still running at expiry")
    {
        protocol::job_claim claim;
        claim.job = std::string(32, '1');
        claim.digest = std::string(64, '2');
        claim.owner = {"entry.a", 1};
        apply_at(15, protocol::join_entry {claim.owner, "z", "a", "l"});
        apply_at(15, protocol::claim_jobs {{claim}, 1});
        apply_at(600, protocol::expire_claims {std::chrono::seconds(600), {}, 10});
        CHECK(agents_since(state, std::chrono::seconds(15)) == 2);
        apply_at(601, protocol::finish_jobs {{{claim.job, 1}}});
        apply_at(602, protocol::expire_claims {std::chrono::seconds(600), {}, 10});
        THEN("the agent is dropped only after the job has finished")
        {
            CHECK(agents_since(state, std::chrono::seconds(15)) == 1);
        }
    }
}

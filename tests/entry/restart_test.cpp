// Answers to requests of an earlier incarnation of an entry, which arrive after its restart.

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "entry/simulated_fleet.h"

namespace {

using namespace greengagehead;
using namespace greengagehead::test;

/// One entry, whose claims are not answered, and one agent.
struct restarting_fleet : simulated_fleet {
    restarting_fleet() : simulated_fleet(1)
    {
        this->on_send = [this](auto const& from, auto const&, auto const& body) {
            if (from != "entry.a")
                return;
            if (auto const* request = std::get_if<protocol::control_request>(&body)) {
                this->requests[request->from.incarnation].insert(request->request_id);
                this->last_claim(*request);
            }
            if (auto const* query = std::get_if<protocol::outcome_query>(&body))
                this->queries[this->incarnation].insert(query->query_id);
        };
        this->control.answers_claims = false;
        this->add_agent("agent.1", "recife");
        this->restart();
    }

    /// Starts a new incarnation of the entry.
    void restart()
    {
        ++this->incarnation;
        this->add_entry("entry.a", "recife");
        this->run(milliseconds(3000));
    }
    void last_claim(protocol::control_request const& request)
    {
        auto const* command = std::get_if<protocol::command_body>(&request.body);
        auto const* claims
            = command != nullptr ? std::get_if<protocol::claim_jobs>(command) : nullptr;
        if (claims != nullptr)
            this->claim_sent = {request.request_id, claims->claims.front()};
    }

    struct sent_claim {
        std::uint64_t request_id = 0;
        protocol::job_claim claim;
    };
    std::optional<sent_claim> claim_sent;
    std::uint32_t incarnation = 0; ///< Number of starts of the entry.
    std::map<protocol::incarnation_number, std::set<std::uint64_t>> requests;
    std::map<std::uint32_t, std::set<std::uint64_t>> queries;
};

bool overlap(std::set<std::uint64_t> const& first, std::set<std::uint64_t> const& second)
{
    return std::any_of(first.begin(), first.end(),
                       [&second](auto id) { return second.contains(id); });
}

} // namespace

SCENARIO("an answer to a former incarnation of an entry arrives", "[entry][restart]")
{
    GIVEN("an entry that restarts while the claim of a job is not answered")
    {
        restarting_fleet fleet;
        fleet.submit("entry.a", make_job("s1", 1, false));
        fleet.run(milliseconds(20));
        REQUIRE(fleet.claim_sent);
        auto const former = *std::exchange(fleet.claim_sent, std::nullopt);
        fleet.restart();
        fleet.submit("entry.a", make_job("s2", 1, false));
        fleet.run(milliseconds(20));
        REQUIRE(fleet.claim_sent);
        REQUIRE(fleet.claim_sent->claim.job != former.claim.job);

        // Guards against an answer that is taken for that to another request, because the numbers
        // of requests began again: control sends it to the name of the entry.
        WHEN("control grants that claim while the new incarnation waits for another one")
        {
            fleet.post(
                "control.a", "entry.a",
                protocol::control_reply {
                    former.request_id,
                    protocol::claim_results {{{protocol::claim_status::granted, former.claim}}}});
            fleet.run(milliseconds(500));
            THEN("the job of the new incarnation does not start")
            {
                CHECK(fleet.runs.empty());
                CHECK(fleet.violations.empty());
            }
        }
        WHEN("control grants the claim of the new incarnation")
        {
            fleet.control.answers_claims = true;
            fleet.run(milliseconds(500));
            THEN("its job runs")
            {
                CHECK(fleet.runs.size() == 1);
                CHECK(fleet.violations.empty());
            }
        }
    }
    GIVEN("an entry that has restarted, and queried its agent before and after")
    {
        restarting_fleet fleet;
        fleet.control.answers_claims = true;
        fleet.agents.at("agent.1").run_time = milliseconds(3000);
        for (auto const* name : {"s1", "s2"}) {
            fleet.submit("entry.a", make_job(name, 1, false));
            fleet.run(milliseconds(2500));
            if (fleet.incarnation == 1)
                fleet.restart();
        }
        REQUIRE(fleet.requests.size() == 2);
        REQUIRE(fleet.queries.size() == 2);

        // Guards against a report that counts as the answer to a query of the present incarnation:
        // a takeover would believe that the agent has no run of the job.
        THEN("no number of a request or query is used by both incarnations")
        {
            CHECK_FALSE(overlap(fleet.requests.begin()->second, fleet.requests.rbegin()->second));
            CHECK_FALSE(overlap(fleet.queries.at(1), fleet.queries.at(2)));
        }
    }
}

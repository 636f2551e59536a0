// Random commands over few names, so that they meet the same paths, jobs and processes often.

#pragma once

#include <chrono>
#include <string>

#include <rapidcheck.h>

#include "protocol/command.h"

namespace greengagehead::test {

/// Unlike a plain inRange, it uses the whole range in short sequences as well.
inline int below(int count)
{
    return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0, count));
}

inline std::string pick(std::string const& stem, int count)
{
    return stem + std::to_string(below(count));
}

inline protocol::process_id any_process(std::string const& stem)
{
    return {pick(stem, 2), static_cast<std::uint64_t>(1 + below(3))};
}

inline std::string any_job()
{
    return std::string(30, '0') + std::to_string(10 + below(16));
}

inline protocol::put_setting any_put()
{
    protocol::put_setting put;
    put.path = pick("/teams/t", 3) + *rc::gen::element<std::string>("/weight", "/queue_limit");
    put.value = std::to_string(*rc::gen::inRange(-1, 4));
    if (*rc::gen::arbitrary<bool>())
        put.expected_version = static_cast<std::uint64_t>(*rc::gen::inRange(0, 4));
    if (*rc::gen::arbitrary<bool>())
        put.idempotency_key = pick("key", 6);
    return put;
}

inline protocol::job_claim any_claim()
{
    protocol::job_claim claim;
    claim.job = any_job();
    claim.digest = std::string(64, *rc::gen::element('a', 'a', 'a', 'b'));
    claim.team = pick("t", 2);
    claim.submission = "s" + claim.job;
    claim.owner = any_process("entry.");
    claim.backup = pick("entry.", 3);
    return claim;
}

inline protocol::job_finish any_finish()
{
    using protocol::job_state;
    return {any_job(), static_cast<std::uint64_t>(*rc::gen::inRange(1, 4)),
            *rc::gen::element(job_state::complete, job_state::refused, job_state::failed),
            protocol::ran_extent::none};
}

inline protocol::command_body any_body()
{
    using namespace protocol;
    switch (below(14)) {
    case 0:
        return put_zone_state {pick("z", 2), *rc::gen::arbitrary<bool>(), pick("key", 9)};
    case 1:
        return put_endpoint_drain {pick("e", 2), *rc::gen::arbitrary<bool>(), {}};
    case 2:
    case 3:
        return join_entry {any_process("entry."), "z0", pick("a", 2), pick("l", 2)};
    case 4:
        return remove_entry {any_process("entry.")};
    case 5:
        return join_agent {any_process("agent."), "z0"};
    case 6:
        return remove_agent {any_process("agent.")};
    case 7:
        return take_over {any_process("entry."), pick("entry.", 3)};
    case 8:
        return expire_claims {std::chrono::seconds(below(1500)),
                              std::chrono::hours(*rc::gen::inRange(0, 2)), 2};
    case 9:
        return put_setting(any_put());
    case 10:
    case 11:
        return finish_jobs {{any_finish(), any_finish()}};
    default:
        return claim_jobs {{any_claim(), any_claim()},
                           static_cast<std::uint64_t>(*rc::gen::inRange(0, 4))};
    }
}

/// Times go back now and then, as those of different leaders do.
inline protocol::command any_command(int step)
{
    return {std::chrono::seconds(10 * step + below(40)), any_body()};
}

} // namespace greengagehead::test

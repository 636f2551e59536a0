// Random commands. They draw from few names, so that many of them concern the same paths, jobs and
// processes.

#pragma once

#include <chrono>
#include <string>

#include <rapidcheck.h>

#include "protocol/command.h"

namespace greengagehead::test {

/// Random number from 0 to `count` - 1. Unlike plain rc::gen::inRange, it uses the whole range at
/// small RapidCheck sizes too, as in short sequences.
inline int random_below(int count)
{
    return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0, count));
}

inline std::string random_name(std::string const& prefix, int count)
{
    return prefix + std::to_string(random_below(count));
}

inline protocol::process_id any_process(std::string const& prefix)
{
    return {random_name(prefix, 2), static_cast<std::uint64_t>(1 + random_below(3))};
}

inline std::string any_job()
{
    return std::string(30, '0') + std::to_string(10 + random_below(16));
}

inline protocol::put_setting any_put_setting()
{
    protocol::put_setting put;
    put.path
        = random_name("/teams/t", 3) + *rc::gen::element<std::string>("/weight", "/queue_limit");
    put.value = std::to_string(*rc::gen::inRange(-1, 4));
    if (*rc::gen::arbitrary<bool>())
        put.expected_version = static_cast<std::uint64_t>(*rc::gen::inRange(0, 4));
    if (*rc::gen::arbitrary<bool>())
        put.idempotency_key = random_name("key", 6);
    return put;
}

inline protocol::job_claim any_claim()
{
    protocol::job_claim claim;
    claim.job = any_job();
    claim.digest = std::string(64, *rc::gen::element('a', 'a', 'a', 'b'));
    claim.team = random_name("t", 2);
    claim.submission = "s" + claim.job;
    claim.owner = any_process("entry.");
    claim.backup = random_name("entry.", 3);
    return claim;
}

inline protocol::job_finish any_finish()
{
    using protocol::job_state;
    return {any_job(), static_cast<std::uint64_t>(*rc::gen::inRange(1, 4)),
            *rc::gen::element(job_state::complete, job_state::refused, job_state::failed),
            protocol::ran_extent::none};
}

inline protocol::command_body any_command_body()
{
    using namespace protocol;
    switch (random_below(14)) {
    case 0:
        return put_zone_state {random_name("z", 2), *rc::gen::arbitrary<bool>(),
                               random_name("key", 9)};
    case 1:
        return put_endpoint_drain {random_name("e", 2), *rc::gen::arbitrary<bool>(), {}};
    case 2:
    case 3:
        return join_entry {any_process("entry."), "z0", random_name("a", 2), random_name("l", 2)};
    case 4:
        return remove_entry {any_process("entry.")};
    case 5:
        return join_agent {any_process("agent."), "z0"};
    case 6:
        return remove_agent {any_process("agent.")};
    case 7:
        return take_over {any_process("entry."), random_name("entry.", 3)};
    case 8:
        return expire_claims {std::chrono::seconds(random_below(1500)),
                              std::chrono::hours(*rc::gen::inRange(0, 2)), 2};
    case 9:
        return put_setting(any_put_setting());
    case 10:
    case 11:
        return finish_jobs {{any_finish(), any_finish()}};
    default:
        return claim_jobs {{any_claim(), any_claim()},
                           static_cast<std::uint64_t>(*rc::gen::inRange(0, 4))};
    }
}

/// A random command. Its time may be earlier than that of the previous step, because the clocks of
/// different leaders differ.
inline protocol::command any_command(int step)
{
    return {std::chrono::seconds(10 * step + random_below(40)), any_command_body()};
}

} // namespace greengagehead::test

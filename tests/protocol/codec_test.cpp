// Tests the encoding of messages and commands, and the refusal of bytes that are neither.

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include "protocol/codec.h"

namespace {

using namespace greengagehead::protocol;

start_batch example_batch()
{
    start_batch batch;
    batch.lease = {{"entry.recife-1", 7}, 12, std::chrono::microseconds(1'500'000)};
    batch.agent_incarnation = 99;
    task_start start;
    start.task = {"00ff", 3};
    start.endpoint = "ordering-1";
    start.kind = "quote";
    start.payload = "{\"seats\":40}";
    start.remaining = std::chrono::milliseconds(900);
    batch.starts.push_back(start);
    return batch;
}

} // namespace

SCENARIO("decoding restores an encoded message or command")
{
    GIVEN("a start batch")
    {
        auto const bytes = encode(message(example_batch()));

        WHEN("it is decoded")
        {
            auto const decoded = decode_message(bytes);
            REQUIRE(decoded);

            // Guards against a field list that omits or misplaces a field.
            THEN("every field has its original value")
            {
                auto const& batch = std::get<start_batch>(decoded.value());
                CHECK(batch.lease.entry == process_id {"entry.recife-1", 7});
                CHECK(batch.lease.view == 12);
                CHECK(batch.lease.expires_at == std::chrono::microseconds(1'500'000));
                CHECK(batch.agent_incarnation == 99);
                REQUIRE(batch.starts.size() == 1);
                CHECK(batch.starts[0].task == task_ref {"00ff", 3});
                CHECK(batch.starts[0].payload == "{\"seats\":40}");
                CHECK(batch.starts[0].remaining == std::chrono::milliseconds(900));
            }
        }

        // Guards against a truncated frame being decoded as a shorter message.
        WHEN("the bytes are truncated at any length")
        {
            THEN("decoding returns an error and does not throw")
            {
                for (std::size_t size = 0; size < bytes.size(); ++size)
                    REQUIRE_FALSE(decode_message(std::string_view(bytes).substr(0, size)));
            }
        }
    }

    GIVEN("a command with an optional field and a nested variant")
    {
        command original;
        original.proposed_at = std::chrono::milliseconds(5);
        original.body = put_setting {"/teams/hospital/weight", "3", 4, "key-1", "ana"};

        THEN("decoding restores its fields")
        {
            auto const decoded = decode_command(encode(original));
            REQUIRE(decoded);
            auto const& put = std::get<put_setting>(decoded.value().body);
            CHECK(put.expected_version == 4);
            CHECK(put.idempotency_key == "key-1");
        }
    }

    // Guards against bytes from a faulty or unrelated sender that crash the process.
    rc::prop("arbitrary bytes are refused or decoded without a crash",
             [](std::string const& bytes) { (void)decode_message(bytes); });
}

SCENARIO("an entry announces its submissions to entries of another version")
{
    GIVEN("an announcement")
    {
        submissions_running const announced {
            {"entry.recife-1", 7},
            {{"00ff", std::chrono::milliseconds(400), std::chrono::milliseconds(900), true}},
            true};
        auto const bytes = encode(message(announced));

        WHEN("a process of this version decodes it")
        {
            auto const decoded = decode_message(bytes);
            THEN("every field has its original value")
            {
                REQUIRE(decoded);
                auto const& body = std::get<submissions_running>(decoded.value());
                CHECK(body.entry == announced.entry);
                REQUIRE(body.submissions.size() == 1);
                CHECK(body.submissions[0].key == "00ff");
                CHECK(body.submissions[0].age == std::chrono::milliseconds(400));
                CHECK(body.submissions[0].remaining == std::chrono::milliseconds(900));
                CHECK(body.submissions[0].held);
                CHECK(body.asks_for_all);
            }
        }
        WHEN("the kind of the message is not known to the receiver")
        {
            // Array of the version and the body, which is an array of the kind and the fields.
            auto unknown = bytes;
            auto const kind = unknown.find(static_cast<char>(0x82), 1) + 1;
            REQUIRE(unknown.substr(kind, 2)
                    == std::string({0x18, static_cast<char>(message(announced).index())}));
            unknown[kind + 1] = 99;
            // Guards against a newer process that ends an older one during a rolling upgrade.
            THEN("decoding returns an error and does not throw")
            {
                CHECK_FALSE(decode_message(unknown));
            }
        }
    }
}

SCENARIO("an entry claims a submission at a witness")
{
    GIVEN("a claim that names an ended one, and its verdict")
    {
        claim_ref const ended {{"entry.recife-2", 9}, 4};
        submission_claim const claim {"00ff", {{"entry.recife-1", 7}, 12}, {ended}};
        claim_verdict const verdict {12, claim_verdict::kind::held, ended};

        WHEN("a process of this version decodes them")
        {
            auto const decoded = decode_message(encode(message(claim)));
            auto const decoded_verdict = decode_message(encode(message(verdict)));
            THEN("every field has its original value")
            {
                REQUIRE(decoded);
                auto const& body = std::get<submission_claim>(decoded.value());
                CHECK(body.key == "00ff");
                CHECK(body.claim.entry == claim.claim.entry);
                CHECK(body.claim.number == 12);
                REQUIRE(body.ended.size() == 1);
                CHECK(body.ended[0].entry == ended.entry);
                CHECK(body.ended[0].number == 4);
                REQUIRE(decoded_verdict);
                auto const& answer = std::get<claim_verdict>(decoded_verdict.value());
                CHECK(answer.number == 12);
                CHECK(answer.verdict == claim_verdict::kind::held);
                CHECK(answer.holder.entry == ended.entry);
            }
        }
    }
}

SCENARIO("a renewal with and without a demand")
{
    GIVEN("a renewal without a demand")
    {
        renew_lease const plain {{"entry.recife-1", 7}, "recife", "h:1", {}, 3, 2, 1, "l:1", {}};

        WHEN("it is encoded")
        {
            auto const bytes = encode(message(plain));

            // Guards against a setting that is off and still changes what older processes read.
            THEN("the demand takes no byte, and an empty one is read")
            {
                auto with_demand = plain;
                with_demand.demand.emplace();
                CHECK(bytes.size() < encode(message(with_demand)).size());
                auto const decoded = decode_message(bytes);
                REQUIRE(decoded);
                CHECK_FALSE(std::get<renew_lease>(decoded.value()).demand);
                CHECK(std::get<renew_lease>(decoded.value()).link_address == "l:1");
            }
        }
        WHEN("it has a demand")
        {
            auto with_demand = plain;
            with_demand.demand
                = entry_demand {std::chrono::seconds(2), 5, {{"hospital", {}, {}}}, true};
            auto const decoded = decode_message(encode(message(with_demand)));

            THEN("the demand is restored")
            {
                REQUIRE(decoded);
                auto const& demand = std::get<renew_lease>(decoded.value()).demand;
                REQUIRE(demand);
                CHECK(demand->arriving == std::chrono::seconds(2));
                CHECK(demand->shares_slots);
                CHECK(demand->applied_table == 5);
                REQUIRE(demand->accounts.size() == 1);
                CHECK(demand->accounts[0].account == "hospital");
            }
        }
    }
}

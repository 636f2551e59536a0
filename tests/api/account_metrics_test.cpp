// Metrics of accounts in the text format.

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>

#include "api/account_metrics.h"
#include "entry/account_usage.h"

namespace {

using namespace greengagehead;
using namespace std::chrono_literals;

bool contains(std::string const& text, std::string const& part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

SCENARIO("an operator reads the metrics of accounts", "[api][accounts]")
{
    GIVEN("an entry that has served and refused accounts")
    {
        entry::account_usage usage;
        base::steady_time const now(1000s);
        usage.record_asked("quotes", 3s, now);
        usage.record_served("quotes", 1500ms, now);
        usage.record_refusal("quotes", policy::refusal_cause::target_missed);
        usage.record_refusal("", policy::refusal_cause::no_configuration);
        usage.apply({{"quotes", 8s, 4s}, {"elsewhere", 2s, 1s}});
        std::string text;
        api::append_account_metrics(text, usage.metrics({{"quotes", 7}}));
        // Guards against operators who cannot see who waits, who is refused and why.
        THEN("they show what each one requested, received, waits for and was refused")
        {
            for (auto const* line :
                 {"greengagehead_account_refused_total{account=\"quotes\",reason=\"target_missed\"}"
                  " 1\n",
                  "greengagehead_account_refused_total{account=\"other\","
                  "reason=\"no_configuration\"} 1\n",
                  "greengagehead_account_asked_slot_ms_total{account=\"quotes\"} 3000\n",
                  "greengagehead_account_served_slot_ms_total{account=\"quotes\"} 1500\n",
                  "greengagehead_account_waiting_tasks{account=\"quotes\"} 7\n",
                  "greengagehead_fleet_account_asked_slot_ms{account=\"quotes\"} 8000\n",
                  "greengagehead_fleet_account_served_slot_ms{account=\"quotes\"} 4000\n",
                  "greengagehead_fleet_account_served_slot_ms{account=\"other\"} 1000\n"}) {
                CAPTURE(line, text);
                CHECK(contains(text, line));
            }
        }
    }
    GIVEN("a thousand accounts with refusals of each reason")
    {
        entry::account_usage usage;
        for (int number = 0; number < 1000; ++number) {
            for (std::size_t cause = 0; cause < policy::refusal_cause_count; ++cause)
                usage.record_refusal("account " + std::to_string(number),
                                     static_cast<policy::refusal_cause>(cause));
        }
        std::string text;
        api::append_account_metrics(text, usage.metrics({}));
        // Guards against a page of metrics that callers can make ever longer.
        THEN("a hundred are named, and the rest is summed up")
        {
            CHECK(std::count(text.begin(), text.end(), '\n') < 1000);
            CHECK(contains(text, "{account=\"account 99\",reason=\"recovery\"} 1\n"));
            CHECK_FALSE(contains(text, "account 100"));
            CHECK(contains(text, "{account=\"other\",reason=\"recovery\"} 900\n"));
        }
    }
}

SCENARIO("accounts have names of arbitrary bytes", "[api][accounts]")
{
    // Guards against a name that breaks the text format, or that looks like another account.
    THEN("labels are one line of valid text, and different names differ")
    {
        CHECK(api::account_label("kōwhai-1") == "kōwhai-1");
        CHECK(api::account_label("a\"b") == "a\\\"b");
        CHECK(api::account_label("a\nb") == "a\\\\x0ab");
        CHECK(api::account_label("a\\x0ab") == "a\\\\x5cx0ab");
        CHECK(api::account_label(std::string("\0\xff", 2)) == "\\\\x00\\\\xff");
    }
}

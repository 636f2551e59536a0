#include <catch2/catch.hpp>

#include "api/access.h"
#include "transport/http_server.h"

namespace {

using namespace greengagehead;
using api::caller;

caller identify(api::access const& tokens, std::string const& header)
{
    transport::http_request request;
    if (!header.empty())
        request.headers["authorization"] = header;
    return tokens.identify(request);
}

} // namespace

SCENARIO("a team can touch its own jobs and settings alone")
{
    GIVEN("tokens of two teams and an operator")
    {
        api::access const tokens({{"hospital", api::sha256_hex("h")},
                                  {"hospital-2", api::sha256_hex("h2")},
                                  {"", api::sha256_hex("o")}});

        WHEN("a request carries a team's token")
        {
            auto const sender = identify(tokens, "Bearer h");
            THEN("it may use that team and its subtree")
            {
                CHECK(sender.may_use_team("hospital"));
                CHECK(sender.may_use_path("/teams/hospital"));
                CHECK(sender.may_use_path("/teams/hospital/weight"));
            }
            // Guards against a subtree being matched by the beginning of a longer team name.
            THEN("it may use nothing else")
            {
                CHECK_FALSE(sender.may_use_team("hospital-2"));
                CHECK_FALSE(sender.may_use_path("/teams/hospital-2/weight"));
                CHECK_FALSE(sender.may_use_path("/teams"));
                CHECK_FALSE(sender.may_operate());
            }
        }
        WHEN("a request carries the operator's token")
        {
            THEN("it may do everything")
            {
                auto const sender = identify(tokens, "Bearer o");
                CHECK(sender.may_operate());
                CHECK(sender.may_use_path("/teams/hospital/weight"));
            }
        }
        // Guards against a missing or wrong token counting as an operator.
        WHEN("a request carries no token, a wrong one, or a digest in place of a token")
        {
            THEN("it may do nothing")
            {
                for (std::string const& header :
                     {std::string(), std::string("Bearer x"), std::string("h"),
                      "Bearer " + api::sha256_hex("o")}) {
                    auto const sender = identify(tokens, header);
                    CHECK(sender.what == caller::kind::anonymous);
                    CHECK_FALSE(sender.may_use_team("hospital"));
                    CHECK_FALSE(sender.may_use_path("/teams/hospital/weight"));
                    CHECK_FALSE(sender.may_use_path("/teams//weight"));
                }
            }
        }
    }
}

// Access that a bearer token gives to jobs and settings.

#include <catch2/catch.hpp>

#include "api/token_authenticator.h"
#include "transport/http_server.h"

namespace {

using namespace greengagehead;
using api::caller;

caller authenticate(api::token_authenticator const& authenticator, std::string const& header)
{
    transport::http_request request;
    if (!header.empty())
        request.headers["authorization"] = header;
    return authenticator.authenticate(request);
}

} // namespace

SCENARIO("a team can access only its own jobs and settings")
{
    GIVEN("tokens of two teams and an operator")
    {
        api::token_authenticator const authenticator({{"hospital", api::sha256_hex("h")},
                                                      {"hospital-2", api::sha256_hex("h2")},
                                                      {"", api::sha256_hex("o")}});

        WHEN("a request carries a team's token")
        {
            auto const sender = authenticate(authenticator, "Bearer h");
            THEN("it may use that team and its subtree")
            {
                CHECK(sender.may_use_team("hospital"));
                CHECK(sender.may_use_path("/teams/hospital"));
                CHECK(sender.may_use_path("/teams/hospital/weight"));
            }
            // Guards against access to a team whose name begins with the name of the caller's team.
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
                auto const sender = authenticate(authenticator, "Bearer o");
                CHECK(sender.may_operate());
                CHECK(sender.may_use_path("/teams/hospital/weight"));
            }
        }
        // Guards against treating a request with a missing or wrong token as an operator's.
        WHEN("a request carries no token, a wrong one, or a digest in place of a token")
        {
            THEN("it may do nothing")
            {
                for (std::string const& header :
                     {std::string(), std::string("Bearer x"), std::string("h"),
                      "Bearer " + api::sha256_hex("o")}) {
                    auto const sender = authenticate(authenticator, header);
                    CHECK(sender.level == caller::access_level::anonymous);
                    CHECK_FALSE(sender.may_use_team("hospital"));
                    CHECK_FALSE(sender.may_use_path("/teams/hospital/weight"));
                    CHECK_FALSE(sender.may_use_path("/teams//weight"));
                }
            }
        }
    }
}

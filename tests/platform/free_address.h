// Address of a listener that a test starts later.

#pragma once

#include "transport/event_loop.h"
#include "transport/http_server.h"

namespace greengagehead::test {

/// Returns an address whose port was free a moment ago.
inline transport::socket_address free_address(transport::event_loop& loop)
{
    transport::http_server probe(loop, {}, [](auto&, auto const&) {});
    return probe.listen({"127.0.0.1", 0}).value();
}

} // namespace greengagehead::test

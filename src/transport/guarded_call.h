// Boundary between libevent and the code of this program.
//
// libevent is written in C and must not be unwound by an exception. An exception that a single
// message or request causes must not end the process either, since the next process that receives
// the message would end too.

#pragma once

#include <exception>
#include <string_view>

#include "base/log_record.h"

namespace greengagehead::transport {

/// Calls `action`. If an exception leaves it, logs the exception with `callback`, which names the
/// kind of callback, and returns false.
template <typename Action> bool guarded_call(std::string_view callback, Action const& action)
{
    try {
        action();
        return true;
    } catch (std::exception const& failure) {
        base::log_record(base::log_event::callback_failed)
            .with("callback", callback)
            .with("error", failure.what());
        return false;
    }
}

} // namespace greengagehead::transport

// Keeps a daemon running when a handler lets an unexpected exception through, for example std::bad_alloc for a single
// large message.
#pragma once

#include "daemon/Logging.h"

#include <asio/io_context.hpp>
#include <exception>

namespace citronplank {

/// Logs the exception that is being handled. `prefix` names the part of the daemon. Thread safe. Precondition: called
/// in a catch block.
inline void logUnexpectedException(std::string_view prefix)
{
    try {
        throw;
    } catch (const std::exception& error) {
        log(LogLevel::Error, prefix, std::string("Unexpected exception: ") + error.what() + ".");
    } catch (...) {
        log(LogLevel::Error, prefix, "Unexpected exception of an unknown type.");
    }
}

/// Calls `task`, and logs an exception instead of letting it through. For handlers that start their own timer again
/// afterwards. Thread safe if `task` is.
template <typename Task>
void callGuarded(std::string_view prefix, Task&& task)
{
    try {
        task();
    } catch (...) {
        logUnexpectedException(prefix);
    }
}

/// Runs the handlers of `io` until it is stopped or has no work. After an exception the other handlers go on. Thread
/// safe.
inline void runHandlers(asio::io_context& io)
{
    for (bool ended = false; !ended;) {
        callGuarded("worker", [&] {
            io.run();
            ended = true;
        });
    }
}

} // namespace citronplank

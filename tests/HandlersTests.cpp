// Tests of Handlers and of the threads that run handlers. They guard against a process that ends, or a periodic task
// that is never called again, because of one unexpected exception.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "daemon/Handlers.h"

#include <asio/post.hpp>
#include <doctest/doctest.h>
#include <stdexcept>

using namespace citronplank;

TEST_CASE("after an exception of a handler the other handlers run, and the worker ends when there is no work left")
{
    asio::io_context io;
    int ran = 0;
    for (int i = 0; i < 3; ++i) {
        asio::post(io, [&] { ++ran; });
        asio::post(io, [] { throw std::length_error("a message too large"); });
        asio::post(io, [] { throw 1; });
    }
    runHandlers(io);
    CHECK(ran == 3);
}

TEST_CASE("a guarded call does not let an exception through")
{
    int calls = 0;
    callGuarded("test", [&] {
        ++calls;
        throw std::runtime_error("unexpected");
    });
    CHECK(calls == 1);
}

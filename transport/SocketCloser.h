// Closes nng sockets without blocking the caller indefinitely.
#pragma once

#include "citronplank.h"

#include <nng/nng.h>

namespace citronplank {

/// Closes an nng socket on a background thread, in the order of calls, and waits for at most `limit`. Returns false if
/// the socket is not closed by then; the background thread goes on. In nng 1.5.2, nng_close can block forever if it
/// overlaps with the start or end of an accepted connection, and then every later nng_close blocks too. Heartbeats and
/// shutdown must not block with it. Thread safe.
bool closeSocket(nng_socket, milliseconds limit);

} // namespace citronplank

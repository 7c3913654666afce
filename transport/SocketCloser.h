#pragma once

#include "citronplank.h"

#include <nng/nng.h>

namespace citronplank {

/// Closes an nng socket on a thread of its own, in the order of calls, and waits for at most `limit`. Returns false
/// when it is not closed by then. nng_close of version 1.5.2 can wait for ever when it overlaps with the start or end
/// of an accepted connection, and so can every later one; neither heartbeats nor a planned stop may wait with it.
/// Thread safe.
bool closeSocket(nng_socket, milliseconds limit);

} // namespace citronplank

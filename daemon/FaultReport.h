// Last log line of a process that ends by a fault of its own: signal, address and stack.
//
//   fault: signal=11 address=0x0 sources=3d5e5f97264ac636 stack=program+0x1a2b40,libnng.so.1+0x2f3a1
//
// `addr2line -Cfie PROGRAM 0x1a2b40` names the function and, with debugging information, the line.
#pragma once

#include "daemon/LogBuffer.h"

namespace citronplank {

/// Handles SIGSEGV, SIGBUS, SIGILL, SIGFPE and SIGABRT from now on: writes what `lines` holds and the line above to
/// `descriptor`, and ends the process by the same signal. `lines` may be null and must outlive the process otherwise.
/// A stack that has overflowed is reported only for the calling thread. Call once, before other threads start.
void installFaultReport(int descriptor, LogBuffer* lines);

} // namespace citronplank

// Log lines on stderr: time in UTC, level, component prefix and a short message.
//
//   startLogging(LogLevel::Info);
//   log(LogLevel::Warning, "link", "10.0.0.2:7302 is down.");
#pragma once

#include "citronplank.h"

#include <functional>

namespace citronplank {

enum class LogLevel : std::uint8_t { Debug, Info, Warning, Error, Off };

/// Receives complete lines without the line break.
using LogSink = std::function<void(std::string_view line)>;

/// Starts logging of lines at `level` and above, to stderr or to `sink`. Replaces an earlier configuration. Lines
/// logged before the first call are dropped. Thread safe; `sink` is called by one thread at a time.
void startLogging(LogLevel level, LogSink sink = nullptr);
/// Flushes and ends logging. Must be called before the end of main. Thread safe.
void stopLogging();
/// Whether lines of this level are written; check it before building an expensive message. Thread safe.
bool isLogged(LogLevel);
/// Logs "prefix: text". Control characters are replaced by spaces, so that input of a caller cannot forge a line.
/// Thread safe.
void log(LogLevel, std::string_view prefix, std::string_view text);

} // namespace citronplank

// Log lines on stderr: time in UTC, level, prefix of the component, one short sentence.
//
//   startLogging(LogLevel::Info);
//   log(LogLevel::Warning, "link", "10.0.0.2:7302 is down.");
#pragma once

#include "citronplank.h"

#include <functional>

namespace citronplank {

enum class LogLevel : std::uint8_t { Debug, Info, Warning, Error, Off };

/// Receives whole lines without their line end.
using LogSink = std::function<void(std::string_view line)>;

/// Starts logging of lines at `level` and above, to stderr or to `sink`, and replaces what was started before. Lines
/// logged earlier are dropped. Thread safe; `sink` is called by one thread at a time.
void startLogging(LogLevel level, LogSink sink = nullptr);
/// Writes out what is left and ends logging. Call it before the end of main. Thread safe.
void stopLogging();
/// True when lines of this level are written; use it before building a costly text. Thread safe.
bool isLogged(LogLevel);
/// Logs "prefix: text". Control characters become spaces, so that a caller's bytes cannot forge a line. Thread safe.
void log(LogLevel, std::string_view prefix, std::string_view text);

} // namespace citronplank

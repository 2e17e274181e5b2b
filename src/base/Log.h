/**
 * Structured logging over log4cplus: one line an event, `event=NAME key=value ...`.
 *
 * Statement text and parameters are never passed to it below the trace level.
 */
#pragma once

#include <log4cplus/logger.h>

#include <sstream>
#include <string>
#include <string_view>

#include "base/Identifier.h"
#include "base/Status.h"

namespace coralhoist {

/** Level from which on events are written. */
enum class LogLevel { Trace, Debug, Info, Warning, Error };

/** When the first lines are written. */
enum class LogStart {
    AtOnce,
    Held, /**< After releaseLogging(): the program prints something of its own first. */
};

/**
 * Sends all log events to standard output, from a thread of their own: logging never blocks, and
 * lines beyond a bounded buffer are dropped and counted. Call once, before the first event.
 * @param level events below it are dropped.
 */
void initializeLogging(LogLevel level, LogStart start = LogStart::AtOnce);

/** Lets the lines go out that initializeLogging was told to hold. */
void releaseLogging();

/** Writes what is buffered and ends the thread; call before the end of main. */
void shutDownLogging();

/** @return the level of that name (trace, debug, info, warning, error), or InvalidArgument. */
StatusWith<LogLevel> parseLogLevel(std::string_view name);

/** One event under construction; written when it goes out of scope. */
class LogEvent {
public:
    /**
     * @param component dotted name of the subsystem, e.g. "link.caller".
     * @param level severity of the event.
     * @param event dotted name of the event, documented in docs/OPERATIONS.md.
     */
    LogEvent(std::string_view component, LogLevel level, std::string_view event);
    ~LogEvent();
    LogEvent(const LogEvent&) = delete;
    LogEvent& operator=(const LogEvent&) = delete;

    /** Adds a field; values with spaces or quotes are quoted. */
    template <typename Value>
    LogEvent& field(std::string_view name, const Value& value) {
        if (_enabled) {
            std::ostringstream text;
            text << value;
            append(name, text.str());
        }
        return *this;
    }

private:
    void append(std::string_view name, const std::string& value);

    log4cplus::Logger _logger;
    log4cplus::LogLevel _level;
    bool _enabled;
    std::string _line;
};

}  // namespace coralhoist

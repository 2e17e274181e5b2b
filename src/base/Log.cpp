#include "base/Log.h"

#include <log4cplus/configurator.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <unistd.h>

#include <memory>

#include "base/BoundedLogAppender.h"
#include "base/Error.h"

namespace coralhoist {
namespace {

constexpr const char* kLinePattern = "%d{%Y-%m-%dT%H:%M:%S.%qZ} %-5p %c %m%n";

log4cplus::LogLevel toLibraryLevel(LogLevel level) {
    switch (level) {
        case LogLevel::Trace:
            return log4cplus::TRACE_LOG_LEVEL;
        case LogLevel::Debug:
            return log4cplus::DEBUG_LOG_LEVEL;
        case LogLevel::Info:
            return log4cplus::INFO_LOG_LEVEL;
        case LogLevel::Warning:
            return log4cplus::WARN_LOG_LEVEL;
        case LogLevel::Error:
            return log4cplus::ERROR_LOG_LEVEL;
    }
    return log4cplus::INFO_LOG_LEVEL;
}

bool needsQuotes(const std::string& value) {
    return value.empty() || value.find_first_of(" \"=\n\r\t") != std::string::npos;
}

std::string quoted(const std::string& value) {
    std::string result = "\"";
    for (const char character : value) {
        if (character == '"' || character == '\\') {
            result += '\\';
        }
        result += (character == '\n' || character == '\r') ? ' ' : character;
    }
    result += '"';
    return result;
}

/** Owned by the library's root logger, which lives as long as the process. */
BoundedLogAppender*& outputAppender() {
    static BoundedLogAppender* appender = nullptr;
    return appender;
}

}  // namespace

void initializeLogging(LogLevel level, LogStart start) {
    static const log4cplus::Initializer initializer;
    // The library's own pool of threads serves appenders that this program does not use.
    log4cplus::setThreadPoolSize(0);
    outputAppender() = new BoundedLogAppender(STDOUT_FILENO, start == LogStart::Held);
    log4cplus::SharedAppenderPtr appender(outputAppender());
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>(kLinePattern));
    log4cplus::Logger root = log4cplus::Logger::getRoot();
    root.removeAllAppenders();
    root.addAppender(appender);
    root.setLogLevel(toLibraryLevel(level));
}

void releaseLogging() {
    if (outputAppender() != nullptr) {
        outputAppender()->release();
    }
}

void shutDownLogging() {
    if (outputAppender() != nullptr) {
        outputAppender()->close();
    }
}

StatusWith<LogLevel> parseLogLevel(std::string_view name) {
    struct NamedLevel {
        std::string_view name;
        LogLevel level;
    };
    static constexpr NamedLevel kLevels[] = {{"trace", LogLevel::Trace},
                                             {"debug", LogLevel::Debug},
                                             {"info", LogLevel::Info},
                                             {"warning", LogLevel::Warning},
                                             {"error", LogLevel::Error}};
    for (const NamedLevel& candidate : kLevels) {
        if (candidate.name == name) {
            return candidate.level;
        }
    }
    return Status(ErrorCode::InvalidArgument,
                  "'" + std::string(name) + "' is none of trace, debug, info, warning, error");
}

LogEvent::LogEvent(std::string_view component, LogLevel level, std::string_view event)
    : _logger(log4cplus::Logger::getInstance(std::string(component))),
      _level(toLibraryLevel(level)),
      _enabled(_logger.isEnabledFor(_level)) {
    if (_enabled) {
        _line = "event=" + std::string(event);
    }
}

LogEvent::~LogEvent() {
    if (_enabled) {
        _logger.forcedLog(_level, _line);
    }
}

void LogEvent::append(std::string_view name, const std::string& value) {
    _line += ' ';
    _line += name;
    _line += '=';
    _line += needsQuotes(value) ? quoted(value) : value;
}

}  // namespace coralhoist

/** Writes log lines to standard output from a thread of its own, without ever blocking a caller. */
#pragma once

#include <log4cplus/appender.h>

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <thread>

namespace coralhoist {

/**
 * A bounded buffer of lines and the thread that writes them. When the reader of standard output is
 * slow the buffer fills, further lines are dropped, and a line says how many were.
 */
class BoundedLogAppender final : public log4cplus::Appender {
public:
    /** Most lines held. */
    static constexpr std::size_t kCapacity = 4096;

    /**
     * @param descriptor written to; not closed.
     * @param held lines wait until release().
     */
    BoundedLogAppender(int descriptor, bool held);
    ~BoundedLogAppender() override;

    /** Lets lines go out that were held. */
    void release();

    /** Writes what is buffered, at most for a moment, and ends the thread. */
    void close() override;

    /** @return lines dropped since the start. */
    std::uint64_t droppedTotal() const;

protected:
    void append(const log4cplus::spi::InternalLoggingEvent& event) override;

private:
    void run();
    void writeAll(const std::string& bytes);

    const int _descriptor;
    mutable std::mutex _mutex;
    std::condition_variable _wake;
    std::deque<std::string> _lines;
    bool _held;
    bool _stopping = false;
    std::uint64_t _dropped = 0;
    std::uint64_t _droppedTold = 0;
    std::thread _writer;
};

}  // namespace coralhoist

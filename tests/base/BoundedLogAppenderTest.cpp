#include <CppUTest/TestHarness.h>
#include <fcntl.h>
#include <log4cplus/layout.h>
#include <log4cplus/spi/loggingevent.h>
#include <unistd.h>

#include <array>
#include <string>

#include "base/BoundedLogAppender.h"

namespace coralhoist {
namespace {

/** An appender that writes into a pipe. */
struct PipedAppender {
    explicit PipedAppender(bool held) {
        CHECK_EQUAL(0, pipe(ends.data()));
        appender = new BoundedLogAppender(ends[1], held);
        shared = log4cplus::SharedAppenderPtr(appender);
        shared->setLayout(std::make_unique<log4cplus::PatternLayout>("%m%n"));
    }
    ~PipedAppender() {
        shared->close();
        close(ends[0]);
        close(ends[1]);
    }

    void log(const std::string& line) const {
        const log4cplus::spi::InternalLoggingEvent event("test", log4cplus::INFO_LOG_LEVEL, line,
                                                         __FILE__, __LINE__);
        shared->doAppend(event);
    }

    std::string readSome() const {
        std::array<char, 65536> bytes{};
        const ssize_t count = read(ends[0], bytes.data(), bytes.size());
        return count > 0 ? std::string(bytes.data(), static_cast<std::size_t>(count))
                         : std::string();
    }

    std::array<int, 2> ends{};
    BoundedLogAppender* appender = nullptr;
    log4cplus::SharedAppenderPtr shared;
};

TEST_GROUP(BoundedLogAppender){};

TEST(BoundedLogAppender, WritesLinesInOrder) {
    PipedAppender piped(false);
    piped.log("one");
    piped.log("two");
    piped.shared->close();
    STRCMP_EQUAL("one\ntwo\n", piped.readSome().c_str());
}

TEST(BoundedLogAppender, HoldsLinesUntilTheyAreReleased) {
    PipedAppender piped(true);
    piped.log("one");
    CHECK_EQUAL(0, fcntl(piped.ends[0], F_SETFL, O_NONBLOCK));
    STRCMP_EQUAL("", piped.readSome().c_str());
    CHECK_EQUAL(0, fcntl(piped.ends[0], F_SETFL, 0));
    piped.appender->release();
    STRCMP_EQUAL("one\n", piped.readSome().c_str());
}

/** Nobody reads the pipe: callers go on, and what is dropped is counted and told. */
TEST(BoundedLogAppender, NeverBlocksAndTellsWhatItDropped) {
    PipedAppender piped(true);
    for (std::size_t line = 0; line < BoundedLogAppender::kCapacity + 7; ++line) {
        piped.log("x");
    }
    UNSIGNED_LONGS_EQUAL(7, piped.appender->droppedTotal());
    piped.shared->close();
    const std::string written = piped.readSome();
    CHECK(written.find("event=log.dropped lines=7\n") != std::string::npos);
}

}  // namespace
}  // namespace coralhoist

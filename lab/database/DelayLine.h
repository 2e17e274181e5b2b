/** A link with a delay, in one direction. */
#pragma once

#include <QByteArray>
#include <deque>
#include <functional>
#include <optional>

#include "lab/database/TimerQueue.h"

namespace coralhoist::lab::database {

/**
 * Delivers chunks of bytes in order, each a delay after it was pushed. While frozen it delivers
 * nothing; what was due comes out when it thaws.
 */
class DelayLine {
public:
    using Deliver = std::function<void(const QByteArray& chunk)>;

    /** @param deliver may be called during push if the delay is zero and nothing is queued. */
    DelayLine(TimerQueue& timers, Deliver deliver)
        : _timers(timers), _deliver(std::move(deliver)) {}
    ~DelayLine();
    DelayLine(const DelayLine&) = delete;
    DelayLine& operator=(const DelayLine&) = delete;

    /** Chunks pushed from now on take this delay; they never overtake earlier ones. */
    void setDelay(Duration delay) { _delay = delay; }
    void push(QByteArray chunk);
    void setFrozen(bool frozen);

    /** @return bytes on the line. */
    qsizetype pendingBytes() const { return _pendingBytes; }

private:
    struct Chunk {
        TimePoint due;
        QByteArray bytes;
    };

    void deliverDue();
    void arm();

    TimerQueue& _timers;
    Deliver _deliver;
    Duration _delay{0};
    bool _frozen = false;
    qsizetype _pendingBytes = 0;
    std::deque<Chunk> _chunks;
    std::optional<TimerId> _timer;
};

}  // namespace coralhoist::lab::database

#include "duty/event/TickScheduler.h"

#include <QAbstractEventDispatcher>
#include <algorithm>
#include <utility>

namespace coralhoist::duty {

TickScheduler::TickScheduler(const Clock& clock) : _clock(clock) {
    _timer.setSingleShot(true);
    _timer.setTimerType(Qt::PreciseTimer);
    QObject::connect(&_timer, &QTimer::timeout, [this] { tickDueSources(); });
    QObject::connect(QAbstractEventDispatcher::instance(), &QAbstractEventDispatcher::aboutToBlock,
                     &_timer, [this] { arm(); });
}

void TickScheduler::add(NextTick nextTick, OnTick onTick) {
    _sources.push_back({std::move(nextTick), std::move(onTick)});
}

void TickScheduler::arm() {
    std::optional<TimePoint> earliest;
    for (const Source& source : _sources) {
        const std::optional<TimePoint> next = source.nextTick();
        if (next && (!earliest || *next < *earliest)) {
            earliest = next;
        }
    }
    if (earliest == _armedFor && (_timer.isActive() || !earliest)) {
        return;
    }
    _armedFor = earliest;
    if (!earliest) {
        _timer.stop();
        return;
    }
    // Compared before it is subtracted: a source that is due at once names the earliest time.
    const TimePoint now = _clock.now();
    const Duration wait = *earliest <= now ? Duration(0) : *earliest - now;
    _timer.start(std::chrono::ceil<std::chrono::milliseconds>(wait));
}

void TickScheduler::tickDueSources() {
    const TimePoint now = _clock.now();
    for (const Source& source : _sources) {
        const std::optional<TimePoint> next = source.nextTick();
        if (next && *next <= now) {
            source.onTick(now);
        }
    }
}

}  // namespace coralhoist::duty

#include "lab/database/DelayLine.h"

#include <utility>

namespace coralhoist::lab::database {

DelayLine::~DelayLine() {
    if (_timer) {
        _timers.cancel(*_timer);
    }
}

void DelayLine::push(QByteArray chunk) {
    if (_delay <= Duration::zero() && _chunks.empty() && !_frozen) {
        _deliver(chunk);
        return;
    }
    TimePoint due = _timers.now() + _delay;
    if (!_chunks.empty() && due < _chunks.back().due) {
        due = _chunks.back().due;
    }
    _pendingBytes += chunk.size();
    _chunks.push_back({due, std::move(chunk)});
    arm();
}

void DelayLine::setFrozen(bool frozen) {
    _frozen = frozen;
    arm();
}

void DelayLine::arm() {
    if (_timer || _frozen || _chunks.empty()) {
        return;
    }
    _timer = _timers.schedule(_chunks.front().due - _timers.now(), [this] {
        _timer.reset();
        deliverDue();
    });
}

void DelayLine::deliverDue() {
    const TimePoint now = _timers.now();
    while (!_frozen && !_chunks.empty() && _chunks.front().due <= now) {
        const QByteArray bytes = std::move(_chunks.front().bytes);
        _chunks.pop_front();
        _pendingBytes -= bytes.size();
        _deliver(bytes);
    }
    arm();
}

}  // namespace coralhoist::lab::database

/** Ends of a Ring that live on the Qt event loops of two duty threads. */
#pragma once

#include <QObject>
#include <QSocketNotifier>
#include <QTimer>
#include <deque>
#include <functional>
#include <utility>

#include "base/Ring.h"

namespace coralhoist::duty {

/** Time after which a full ring is tried again. */
constexpr std::chrono::milliseconds kRingRetryInterval{1};

/** Consuming end: hands items to a callback on the thread on which it was created. */
template <typename T>
class RingReceiver {
public:
    /**
     * @param ring outlives the receiver.
     * @param consume called for each item in order.
     */
    RingReceiver(Ring<T>& ring, std::function<void(T&&)> consume)
        : _notifier(ring.wakeDescriptor(), QSocketNotifier::Read) {
        QObject::connect(&_notifier, &QSocketNotifier::activated,
                         [&ring, consume = std::move(consume)] { ring.drain(consume); });
    }

private:
    QSocketNotifier _notifier;
};

/**
 * Producing end. Items that must not be lost wait in a queue while the ring is full; their number
 * is bounded by what the users of the channel can have outstanding, which they limit themselves.
 */
template <typename T>
class RingSender {
public:
    /** @param ring outlives the sender. */
    explicit RingSender(Ring<T>& ring) : _ring(ring) {
        _retryTimer.setInterval(kRingRetryInterval);
        QObject::connect(&_retryTimer, &QTimer::timeout, [this] { flush(); });
    }

    /** Sends an item, or keeps it until the ring has room. Order is kept. */
    void send(T item) {
        if (!_waiting.empty() || !_ring.tryPush(item)) {
            _waiting.push_back(std::move(item));
            _retryTimer.start();
        }
    }

    /**
     * Sends an item only if the ring has room now.
     * @return false when it has none; the item is unchanged then.
     */
    bool trySend(T& item) { return _waiting.empty() && _ring.tryPush(item); }

private:
    void flush() {
        while (!_waiting.empty() && _ring.tryPush(_waiting.front())) {
            _waiting.pop_front();
        }
        if (_waiting.empty()) {
            _retryTimer.stop();
        }
    }

    Ring<T>& _ring;
    std::deque<T> _waiting;
    QTimer _retryTimer;
};

}  // namespace coralhoist::duty

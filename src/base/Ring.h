/** Bounded single-producer single-consumer ring that joins two duty threads. */
#pragma once

#include <sys/eventfd.h>
#include <unistd.h>

#include <atomic>
#include <boost/lockfree/spsc_queue.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <system_error>
#include <utility>

namespace coralhoist {

/**
 * A bounded queue between exactly one producing and one consuming thread, with an eventfd that
 * turns readable when there is something to consume. T must be movable.
 */
template <typename T>
class Ring {
public:
    /**
     * @param capacity most items held at once.
     * @throws std::system_error when the process has no file descriptor left.
     */
    explicit Ring(std::size_t capacity)
        : _queue(capacity), _wakeDescriptor(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
        if (_wakeDescriptor < 0) {
            throw std::system_error(errno, std::generic_category(), "eventfd");
        }
    }
    ~Ring() {
        drain([](T&&) {});
        close(_wakeDescriptor);
    }
    Ring(const Ring&) = delete;
    Ring& operator=(const Ring&) = delete;

    /**
     * Producer side.
     * @param item moved from on success, unchanged when the ring is full.
     * @return false when the ring is full.
     */
    bool tryPush(T& item) {
        auto held = std::make_unique<T>(std::move(item));
        if (!_queue.push(held.get())) {
            item = std::move(*held);
            return false;
        }
        held.release();  // NOLINT(bugprone-unused-return-value): the consumer deletes it.
        if (!_wakePending.exchange(true)) {
            const std::uint64_t one = 1;
            [[maybe_unused]] const ssize_t written = write(_wakeDescriptor, &one, sizeof one);
        }
        return true;
    }

    /**
     * Consumer side: hands all items that are present to consume, in order.
     * @return the number of items consumed.
     */
    std::size_t drain(const std::function<void(T&&)>& consume) {
        std::uint64_t count = 0;
        [[maybe_unused]] const ssize_t received = read(_wakeDescriptor, &count, sizeof count);
        // The flag is cleared before the queue is read: an item pushed afterwards wakes the
        // consumer again.
        _wakePending.store(false);
        return _queue.consume_all([&consume](T* item) {
            const std::unique_ptr<T> held(item);
            consume(std::move(*held));
        });
    }

    /** @return a descriptor that is readable while items may be waiting. Owned by the ring. */
    int wakeDescriptor() const { return _wakeDescriptor; }

private:
    boost::lockfree::spsc_queue<T*> _queue;
    std::atomic<bool> _wakePending{false};
    int _wakeDescriptor;
};

}  // namespace coralhoist

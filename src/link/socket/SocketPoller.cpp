#include "link/socket/SocketPoller.h"

#include <sys/epoll.h>
#include <unistd.h>

#include <QObject>
#include <array>
#include <cerrno>
#include <system_error>

namespace coralhoist::socket {
namespace {

/** Events taken in one turn; the rest stays pending for the next. */
constexpr int kEventsPerTurn = 256;

epoll_event eventFor(SocketPoller::Registration registration, SocketInterest interest) {
    epoll_event event{};
    event.events = (interest.read ? static_cast<std::uint32_t>(EPOLLIN) : 0U) |
                   (interest.write ? static_cast<std::uint32_t>(EPOLLOUT) : 0U);
    event.data.u64 = registration;
    return event;
}

}  // namespace

SocketPoller::SocketPoller() : _descriptor(epoll_create1(EPOLL_CLOEXEC)) {
    if (_descriptor < 0) {
        throw std::system_error(errno, std::generic_category(), "epoll_create1");
    }
    _notifier = std::make_unique<QSocketNotifier>(_descriptor, QSocketNotifier::Read);
    QObject::connect(_notifier.get(), &QSocketNotifier::activated, _notifier.get(),
                     [this] { dispatch(); });
}

SocketPoller::~SocketPoller() {
    _notifier.reset();
    close(_descriptor);
}

SocketPoller::Registration SocketPoller::add(int descriptor, SocketHandler& handler,
                                             SocketInterest interest) {
    const Registration registration = ++_last;
    _handlers[registration] = &handler;
    epoll_event event = eventFor(registration, interest);
    epoll_ctl(_descriptor, EPOLL_CTL_ADD, descriptor, &event);
    return registration;
}

void SocketPoller::change(Registration registration, int descriptor, SocketInterest interest) {
    epoll_event event = eventFor(registration, interest);
    epoll_ctl(_descriptor, EPOLL_CTL_MOD, descriptor, &event);
}

void SocketPoller::remove(Registration registration, int descriptor) {
    _handlers.erase(registration);
    epoll_ctl(_descriptor, EPOLL_CTL_DEL, descriptor, nullptr);
}

void SocketPoller::dispatch() {
    std::array<epoll_event, kEventsPerTurn> events{};
    const int count = epoll_wait(_descriptor, events.data(), kEventsPerTurn, 0);
    for (int index = 0; index < count; ++index) {
        const epoll_event& event = events[static_cast<std::size_t>(index)];
        notify(event.data.u64, event.events);
    }
}

/** A handler may remove itself or another one at any call. */
void SocketPoller::notify(Registration registration, std::uint32_t events) {
    auto found = _handlers.find(registration);
    if (found == _handlers.end()) {
        return;
    }
    if ((events & (EPOLLERR | EPOLLHUP)) != 0) {
        found->second->onBroken();
        return;
    }
    if ((events & EPOLLOUT) != 0) {
        found->second->onWritable();
        found = _handlers.find(registration);
    }
    if (found != _handlers.end() && (events & EPOLLIN) != 0) {
        found->second->onReadable();
    }
}

}  // namespace coralhoist::socket

#include "lab/TerminationSignal.h"

#include <pthread.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <system_error>
#include <utility>

namespace coralhoist::lab {
namespace {

sigset_t terminationSignals() {
    sigset_t signalSet;
    sigemptyset(&signalSet);
    sigaddset(&signalSet, SIGTERM);
    sigaddset(&signalSet, SIGINT);
    return signalSet;
}

}  // namespace

TerminationSignal::TerminationSignal(std::function<void()> requested) {
    const sigset_t signalSet = terminationSignals();
    pthread_sigmask(SIG_BLOCK, &signalSet, nullptr);
    _descriptor = signalfd(-1, &signalSet, SFD_NONBLOCK | SFD_CLOEXEC);
    if (_descriptor < 0) {
        throw std::system_error(errno, std::generic_category(), "signalfd");
    }
    _notifier = std::make_unique<QSocketNotifier>(_descriptor, QSocketNotifier::Read);
    QObject::connect(_notifier.get(), &QSocketNotifier::activated, _notifier.get(),
                     [this, requested = std::move(requested)] {
                         signalfd_siginfo information{};
                         [[maybe_unused]] const ssize_t received =
                             read(_descriptor, &information, sizeof information);
                         requested();
                     });
}

TerminationSignal::~TerminationSignal() {
    _notifier.reset();
    close(_descriptor);
}

}  // namespace coralhoist::lab

#include "program/SignalWatch.h"

#include <sys/signalfd.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <system_error>
#include <utility>

namespace coralhoist::program {
namespace {

sigset_t watchedSignals() {
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    return signals;
}

}  // namespace

void SignalWatch::blockSignals() {
    const sigset_t signals = watchedSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    // A peer that closes its socket is reported by write, not by a signal.
    std::signal(SIGPIPE, SIG_IGN);  // NOLINT(cert-err33-c): can't fail for SIGPIPE.
}

SignalWatch::SignalWatch(std::function<void()> stopRequested, std::function<void()> reloadRequested)
    : _stopRequested(std::move(stopRequested)), _reloadRequested(std::move(reloadRequested)) {
    const sigset_t signals = watchedSignals();
    _descriptor = signalfd(-1, &signals, SFD_NONBLOCK | SFD_CLOEXEC);
    if (_descriptor < 0) {
        throw std::system_error(errno, std::generic_category(), "signalfd");
    }
    _notifier = std::make_unique<QSocketNotifier>(_descriptor, QSocketNotifier::Read);
    QObject::connect(_notifier.get(), &QSocketNotifier::activated, [this] { onReadable(); });
}

SignalWatch::~SignalWatch() {
    _notifier.reset();
    close(_descriptor);
}

void SignalWatch::onReadable() {
    signalfd_siginfo information{};
    while (read(_descriptor, &information, sizeof information) ==
           static_cast<ssize_t>(sizeof information)) {
        if (information.ssi_signo == SIGHUP) {
            _reloadRequested();
        } else {
            _stopRequested();
        }
    }
}

}  // namespace coralhoist::program

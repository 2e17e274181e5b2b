/** SIGTERM, SIGINT and SIGHUP as events of the Qt event loop. */
#pragma once

#include <QSocketNotifier>
#include <functional>
#include <memory>

namespace coralhoist::program {

/** Calls back when the process is asked to stop or to read its configuration again. Uses signalfd,
 * so no code runs in a handler. */
class SignalWatch {
public:
    /**
     * @param stopRequested called on the event loop for each SIGTERM or SIGINT.
     * @param reloadRequested called on the event loop for each SIGHUP.
     * @throws std::system_error when the process has no file descriptor left.
     */
    SignalWatch(std::function<void()> stopRequested, std::function<void()> reloadRequested);
    ~SignalWatch();
    SignalWatch(const SignalWatch&) = delete;
    SignalWatch& operator=(const SignalWatch&) = delete;

    /** Blocks the signals in this thread and all that it starts. Call first in main. */
    static void blockSignals();

private:
    void onReadable();

    std::function<void()> _stopRequested;
    std::function<void()> _reloadRequested;
    int _descriptor;
    std::unique_ptr<QSocketNotifier> _notifier;
};

}  // namespace coralhoist::program

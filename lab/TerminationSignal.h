/** Orderly end of a program on SIGTERM and SIGINT. */
#pragma once

#include <QSocketNotifier>
#include <functional>
#include <memory>

namespace coralhoist::lab {

/** Calls back on the Qt event loop when the process is asked to end. Create before other threads.
 */
class TerminationSignal {
public:
    /** @throws std::system_error when the process has no file descriptor left. */
    explicit TerminationSignal(std::function<void()> requested);
    ~TerminationSignal();
    TerminationSignal(const TerminationSignal&) = delete;
    TerminationSignal& operator=(const TerminationSignal&) = delete;

private:
    int _descriptor = -1;
    std::unique_ptr<QSocketNotifier> _notifier;
};

}  // namespace coralhoist::lab

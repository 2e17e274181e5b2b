/** A thread that runs one duty on a Qt event loop. */
#pragma once

#include <QString>
#include <QThread>
#include <functional>
#include <memory>
#include <string>

#include "base/Status.h"

namespace coralhoist::duty {

/** An object that lives on one duty thread: constructed, used and destroyed there. */
class Duty {
public:
    virtual ~Duty() = default;

    /**
     * Opens ports and starts timers. Called once, on the duty's thread, before its event loop runs.
     * @return why the duty can't run, e.g. a port in use.
     */
    virtual Status start() = 0;
};

/** Owns the thread of a duty. Start and stop are called from the main thread. */
class DutyThread {
public:
    using Factory = std::function<std::unique_ptr<Duty>()>;

    /**
     * @param name of the thread, for debuggers; at most 15 characters are shown.
     * @param factory called on the new thread.
     */
    DutyThread(const std::string& name, Factory factory);
    ~DutyThread();
    DutyThread(const DutyThread&) = delete;
    DutyThread& operator=(const DutyThread&) = delete;

    /**
     * Starts the thread and waits until the duty has started.
     * @return what Duty::start returned.
     */
    Status start();

    /** Ends the event loop, destroys the duty on its thread and waits for the thread. */
    void stop();

private:
    class Thread;
    std::unique_ptr<Thread> _thread;
};

}  // namespace coralhoist::duty

/** Waits for a socket to turn readable or writable on the Qt event loop. */
#pragma once

#include <QObject>
#include <QSocketNotifier>
#include <functional>

namespace coralhoist::backend {

/** The notifiers of one libpq socket. libpq owns the socket and may replace it while connecting. */
class SocketWatch {
public:
    /**
     * @param owner parent of the notifiers.
     * @param onReadable called when the socket is readable; may stop the watch.
     * @param onWritable called when the socket is writable; may stop the watch.
     */
    SocketWatch(QObject* owner, std::function<void()> onReadable, std::function<void()> onWritable);

    /**
     * Watches a socket, in place of the one before.
     * @param descriptor the socket, or a negative number for none.
     */
    void watch(int descriptor, bool readable, bool writable);

    /** Stops at once. Must be called before the socket is closed. */
    void stop();

private:
    QSocketNotifier* create(int descriptor, QSocketNotifier::Type type,
                            const std::function<void()>& callback);

    QObject* _owner;
    std::function<void()> _onReadable;
    std::function<void()> _onWritable;
    int _descriptor = -1;
    QSocketNotifier* _readNotifier = nullptr;
    QSocketNotifier* _writeNotifier = nullptr;
};

}  // namespace coralhoist::backend

#include "link/backend/SocketWatch.h"

#include <utility>

namespace coralhoist::backend {
namespace {

/** A notifier may be discarded by its own signal, so it is deleted later. */
void discard(QSocketNotifier*& notifier) {
    if (notifier == nullptr) {
        return;
    }
    notifier->setEnabled(false);
    notifier->deleteLater();
    notifier = nullptr;
}

}  // namespace

SocketWatch::SocketWatch(QObject* owner, std::function<void()> onReadable,
                         std::function<void()> onWritable)
    : _owner(owner), _onReadable(std::move(onReadable)), _onWritable(std::move(onWritable)) {}

void SocketWatch::watch(int descriptor, bool readable, bool writable) {
    if (descriptor != _descriptor) {
        stop();
        if (descriptor >= 0) {
            _descriptor = descriptor;
            _readNotifier = create(descriptor, QSocketNotifier::Read, _onReadable);
            _writeNotifier = create(descriptor, QSocketNotifier::Write, _onWritable);
        }
    }
    if (_descriptor >= 0) {
        _readNotifier->setEnabled(readable);
        _writeNotifier->setEnabled(writable);
    }
}

void SocketWatch::stop() {
    discard(_readNotifier);
    discard(_writeNotifier);
    _descriptor = -1;
}

QSocketNotifier* SocketWatch::create(int descriptor, QSocketNotifier::Type type,
                                     const std::function<void()>& callback) {
    auto* notifier = new QSocketNotifier(descriptor, type, _owner);
    notifier->setEnabled(false);
    QObject::connect(notifier, &QSocketNotifier::activated, _owner, callback);
    return notifier;
}

}  // namespace coralhoist::backend

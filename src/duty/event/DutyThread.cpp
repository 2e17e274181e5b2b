#include "duty/event/DutyThread.h"

#include <future>
#include <utility>

namespace coralhoist::duty {

class DutyThread::Thread final : public QThread {
public:
    explicit Thread(Factory factory) : _factory(std::move(factory)) {}

    std::future<Status> started() { return _started.get_future(); }

protected:
    void run() override {
        const std::unique_ptr<Duty> duty = _factory();
        const Status status = duty->start();
        const bool isOk = status.isOk();
        _started.set_value(status);
        if (isOk) {
            exec();
        }
    }

private:
    Factory _factory;
    std::promise<Status> _started;
};

DutyThread::DutyThread(const std::string& name, Factory factory)
    : _thread(std::make_unique<Thread>(std::move(factory))) {
    _thread->setObjectName(QString::fromStdString(name));
}

DutyThread::~DutyThread() {
    stop();
}

Status DutyThread::start() {
    std::future<Status> started = _thread->started();
    _thread->start();
    return started.get();
}

void DutyThread::stop() {
    _thread->quit();
    _thread->wait();
}

}  // namespace coralhoist::duty

/** A proxy program run as a process of its own, which the soak starts, signals and ends. */
#pragma once

#include <QProcess>
#include <QTemporaryDir>
#include <chrono>
#include <cstdint>
#include <functional>
#include <string>

#include "base/Identifier.h"

namespace coralhoist::soak {

/** Where a proxy finds what it needs. */
struct ProxySurroundings {
    NodeName name;
    ZoneName zone;
    /** Ports on loopback. */
    std::uint16_t callerPort = 0;
    std::uint16_t readinessPort = 0;
    std::uint16_t storePort = 0;
    /** 0: it is not told of evacuations. */
    std::chrono::milliseconds evacuationBound{0};
};

/** Restarts are asked for by the owner; an end that nobody asked for is reported. */
class ProxyProcess final : public QObject {
public:
    /**
     * @param program path of the proxy's program.
     * @param logFile takes what the process writes, of all its lives.
     * @param unexpectedEnd called when the process ends by itself.
     */
    ProxyProcess(std::string program, ProxySurroundings surroundings, const std::string& logFile,
                 std::function<void(int exitCode)> unexpectedEnd);
    ~ProxyProcess() override;

    void start();
    /** SIGKILL. */
    void kill();
    /** SIGTERM; the process is killed if it is still there after the time given. */
    void stop(std::chrono::milliseconds grace);
    /** SIGSTOP and SIGCONT. */
    void pause();
    void resume();
    /** SIGHUP, once the process handles it: before, the signal would end it. */
    void reload();
    /** Changes the settings file; the process is not told. */
    void setDrainTimeout(std::chrono::milliseconds time);

    /** @return whether an end was asked for and nothing was started since. */
    bool isStopping() const { return _endExpected; }
    bool isRunning() const { return _process.state() != QProcess::NotRunning; }
    const ProxySurroundings& surroundings() const { return _surroundings; }

private:
    void writeSettings() const;
    void sendSignal(int number) const;
    bool handles(int signal) const;
    bool isExpected(int exitCode, QProcess::ExitStatus status) const;

    std::string _program;
    ProxySurroundings _surroundings;
    std::function<void(int)> _unexpectedEnd;
    QTemporaryDir _folder;
    QProcess _process;
    std::chrono::milliseconds _drainTimeout{6000};
    bool _endExpected = false;
};

}  // namespace coralhoist::soak

#include "lab/soak/ProxyProcess.h"

#include <QFile>
#include <QSaveFile>
#include <QTextStream>
#include <QTimer>
#include <csignal>
#include <utility>

#include "lab/soak/SoakTenants.h"

namespace coralhoist::soak {
namespace {

constexpr int kEndWaitMs = 3000;
constexpr const char* kSettingsName = "/proxy.toml";

}  // namespace

ProxyProcess::ProxyProcess(std::string program, ProxySurroundings surroundings,
                           const std::string& logFile, std::function<void(int)> unexpectedEnd)
    : _program(std::move(program)),
      _surroundings(std::move(surroundings)),
      _unexpectedEnd(std::move(unexpectedEnd)) {
    _process.setProcessChannelMode(QProcess::MergedChannels);
    _process.setStandardOutputFile(QString::fromStdString(logFile), QIODevice::Append);
    connect(&_process, &QProcess::finished, this,
            [this](int exitCode, QProcess::ExitStatus status) {
                if (!isExpected(exitCode, status)) {
                    _unexpectedEnd(exitCode);
                }
            });
    writeSettings();
}

ProxyProcess::~ProxyProcess() {
    _endExpected = true;
    _process.kill();
    _process.waitForFinished(kEndWaitMs);
}

void ProxyProcess::writeSettings() const {
    QSaveFile file(_folder.path() + kSettingsName);
    if (!file.open(QIODevice::WriteOnly)) {
        return;
    }
    const auto address = [](std::uint16_t port) {
        return "\"127.0.0.1:" + QString::number(port) + "\"";
    };
    const tenancy::QuotaTerms terms = soakQuotaTerms();
    QTextStream out(&file);
    out << "[node]\nname = \"" << QString::fromStdString(_surroundings.name.value())
        << "\"\nzone = \"" << QString::fromStdString(_surroundings.zone.value())
        << "\"\naddress = \"127.0.0.1\"\ndrain_timeout_ms = " << _drainTimeout.count()
        << "\n[peer]\nport = 0\n[metrics]\nport = 0\n[pool]\nlisten = "
        << address(_surroundings.callerPort)
        << "\n[readiness]\nlisten = " << address(_surroundings.readinessPort)
        << "\n[platform]\nurl = \"http://127.0.0.1:" << _surroundings.storePort
        << "\"\n[promotion]\naddress = " << address(_surroundings.storePort)
        << "\n[freshness]\nevacuation_bound_ms = " << _surroundings.evacuationBound.count()
        << "\n[tenants]\nquota_window_ms = "
        << std::chrono::duration_cast<std::chrono::milliseconds>(terms.window).count()
        << "\nquota_overrun = \"" << terms.overrun << "\"\nquota_slack = " << terms.slack << "\n";
    out.flush();
    file.commit();
}

/** A process that crashes while it stops has not stopped as planned. */
bool ProxyProcess::isExpected(int exitCode, QProcess::ExitStatus status) const {
    const bool signalled = exitCode == SIGKILL || exitCode == SIGTERM;
    return _endExpected && (status == QProcess::NormalExit || signalled);
}

void ProxyProcess::start() {
    if (isRunning()) {
        return;
    }
    _endExpected = false;
    _process.start(QString::fromStdString(_program),
                   {"--settings", _folder.path() + kSettingsName});
}

void ProxyProcess::sendSignal(int number) const {
    if (_process.processId() > 0) {
        ::kill(static_cast<pid_t>(_process.processId()), number);
    }
}

void ProxyProcess::kill() {
    _endExpected = true;
    sendSignal(SIGKILL);
    _process.waitForFinished(kEndWaitMs);
}

void ProxyProcess::stop(std::chrono::milliseconds grace) {
    _endExpected = true;
    sendSignal(SIGTERM);
    // A later life has its own grace.
    const qint64 life = _process.processId();
    QTimer::singleShot(grace, this, [this, life] {
        if (_endExpected && isRunning() && _process.processId() == life) {
            kill();
        }
    });
}

/** Reads the mask of handled signals that the kernel shows for the process. */
bool ProxyProcess::handles(int signal) const {
    constexpr int kHexadecimal = 16;
    QFile status("/proc/" + QString::number(_process.processId()) + "/status");
    if (!status.open(QIODevice::ReadOnly)) {
        return false;
    }
    const QList<QByteArray> lines = status.readAll().split('\n');
    for (const QByteArray& line : lines) {
        if (line.startsWith("SigCgt:")) {
            const qulonglong mask =
                line.mid(line.indexOf(':') + 1).trimmed().toULongLong(nullptr, kHexadecimal);
            return ((mask >> (signal - 1)) & 1U) != 0;
        }
    }
    return false;
}

void ProxyProcess::reload() {
    if (handles(SIGHUP)) {
        sendSignal(SIGHUP);
    }
}

void ProxyProcess::setDrainTimeout(std::chrono::milliseconds time) {
    _drainTimeout = time;
    writeSettings();
}

void ProxyProcess::pause() {
    sendSignal(SIGSTOP);
}

void ProxyProcess::resume() {
    sendSignal(SIGCONT);
}

}  // namespace coralhoist::soak

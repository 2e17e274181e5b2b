#include "lab/soak/ProxyFaults.h"

namespace coralhoist::soak {
namespace {

using std::chrono::milliseconds;

/** Time from SIGTERM to SIGKILL. */
constexpr milliseconds kStopGrace{6000};
constexpr std::uint64_t kLongestSeries = 6;
constexpr std::uint64_t kSeriesGapMs = 150;
/** Settings of different runs differ in this time, so that each change is one. */
constexpr int kShortestDrainMs = 5000;
constexpr std::uint64_t kDrainSpreadMs = 2000;

/** What a series of signals is made of. */
enum class Signal : std::uint8_t { Reload, Stop, Pause, Resume, Kill, Restart, Count };

void restart(ProxyProcess& proxy) {
    if (proxy.isRunning()) {
        proxy.kill();
    }
    proxy.start();
}

void send(ProxyProcess& proxy, Signal signal) {
    switch (signal) {
        case Signal::Reload:
            return proxy.reload();
        case Signal::Stop:
            return proxy.stop(kStopGrace);
        case Signal::Pause:
            return proxy.pause();
        case Signal::Resume:
            return proxy.resume();
        case Signal::Kill:
            return proxy.kill();
        case Signal::Restart:
            return restart(proxy);
        case Signal::Count:
            return;
    }
}

}  // namespace

ProxyProcess& ProxyFaults::proxyOf(const PlannedFault& planned) {
    return *_proxies[planned.target % _proxies.size()];
}

void ProxyFaults::kill(const PlannedFault& planned) {
    ProxyProcess& proxy = proxyOf(planned);
    if (!proxy.isRunning()) {
        return;
    }
    proxy.kill();
    _healing.after(planned.lasts, [&proxy] { proxy.start(); });
}

void ProxyFaults::pause(const PlannedFault& planned) {
    ProxyProcess& proxy = proxyOf(planned);
    proxy.pause();
    _healing.after(planned.lasts, [&proxy] { proxy.resume(); });
}

void ProxyFaults::stop(const PlannedFault& planned) {
    ProxyProcess& proxy = proxyOf(planned);
    if (!proxy.isRunning()) {
        return;
    }
    proxy.stop(kStopGrace);
    // Half of the stops may take their whole grace.
    const bool wholeGrace = planned.variant % 2 == 0;
    _healing.after(wholeGrace ? kStopGrace : planned.lasts, [&proxy] { restart(proxy); });
}

void ProxyFaults::signalSeries(const PlannedFault& planned) {
    ProxyProcess& proxy = proxyOf(planned);
    const std::uint64_t signals = 2 + planned.size % kLongestSeries;
    std::uint64_t choices = planned.variant;
    for (std::uint64_t index = 0; index < signals; ++index) {
        const auto kinds = static_cast<std::uint64_t>(Signal::Count);
        const auto signal = static_cast<Signal>(choices % kinds);
        choices /= kinds;
        const std::uint64_t pause = choices % kSeriesGapMs;
        _healing.after(milliseconds(index * kSeriesGapMs + pause),
                       [&proxy, signal] { send(proxy, signal); });
    }
    _healing.after(milliseconds(signals * kSeriesGapMs) + planned.lasts, [&proxy] {
        proxy.resume();
        if (proxy.isStopping() || !proxy.isRunning()) {
            restart(proxy);
        }
    });
}

void ProxyFaults::changeSettings(const PlannedFault& planned) {
    ProxyProcess& proxy = proxyOf(planned);
    proxy.setDrainTimeout(
        milliseconds(kShortestDrainMs + static_cast<int>(planned.size % kDrainSpreadMs)));
    if (planned.variant % 2 == 0) {
        proxy.reload();
    }
}

}  // namespace coralhoist::soak

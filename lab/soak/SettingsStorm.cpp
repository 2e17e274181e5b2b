#include "lab/soak/SettingsStorm.h"

#include <chrono>
#include <utility>

namespace coralhoist::soak {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

/** Lengths in milliseconds: a source may be lost up to the longest watch after an outage. */
constexpr std::uint64_t kShortestOutage = 300;
constexpr std::uint64_t kLongestOutage = 3500;
constexpr std::uint64_t kShortestCalm = 200;
constexpr std::uint64_t kLongestCalm = 4500;
constexpr std::uint64_t kShortestLoss = 500;
constexpr std::uint64_t kLongestLoss = 4000;
/** Time after a loss in which the proxies that are calm are judged. */
constexpr Duration kJudged = milliseconds(4500);

}  // namespace

SettingsStorm::SettingsStorm(simulation::EventQueue& queue, std::uint64_t seed,
                             StormTargets targets)
    : _queue(queue), _random(seed), _targets(targets), _healing(queue) {}

Duration SettingsStorm::between(std::uint64_t least, std::uint64_t most) {
    return milliseconds(least + _random.below(most - least + 1));
}

void SettingsStorm::play(Duration length) {
    for (Duration start{0}; start < length;) {
        start = playRound(start);
    }
}

/** @return when the next round begins. */
Duration SettingsStorm::playRound(Duration start) {
    const Duration lasts = between(kShortestOutage, kLongestOutage);
    outage(start, lasts);
    const Duration lost = start + lasts + between(kShortestCalm, kLongestCalm);
    loseSources(lost);
    return lost + kJudged;
}

void SettingsStorm::at(Duration time, const char* what, std::function<void()> action) {
    _queue.after(time, [this, what, action = std::move(action)] {
        ++_begun;
        _targets.timeline.note(what);
        action();
    });
}

void SettingsStorm::outage(Duration start, Duration lasts) {
    const bool silent = _random.below(2) == 0;
    bool StoreFaults::*fault = silent ? &StoreFaults::silent : &StoreFaults::refuses;
    at(start, silent ? "store silent" : "store refuses", [this, fault, lasts] {
        _targets.store.*fault = true;
        _targets.judge.setStoreTroubled(true);
        _healing.after(duration_cast<milliseconds>(lasts), [this, fault] {
            _targets.store.*fault = false;
            _targets.judge.setStoreTroubled(false);
            _targets.timeline.note("store back");
        });
    });
}

/** Up to all but one of the proxies are struck; the others are held to the promise. */
void SettingsStorm::loseSources(Duration start) {
    const std::size_t spared = _random.below(_targets.proxies.size());
    for (std::size_t proxy = 0; proxy < _targets.proxies.size(); ++proxy) {
        const Duration when = start + between(0, kShortestLoss);
        const Duration lasts = between(kShortestLoss, kLongestLoss);
        constexpr std::uint64_t kWays = 6;
        switch (proxy == spared ? kWays : _random.below(kWays)) {
            case 0:
                at(when, "proxy paused", [this, proxy, lasts] { pause(proxy, lasts); });
                break;
            case 1:
                at(when, "proxy killed", [this, proxy, lasts] { kill(proxy, lasts); });
                break;
            case 2:
                at(when, "proxy cut from the store",
                   [this, proxy, lasts] { cutFromStore(proxy, lasts); });
                break;
            case 3:
                at(when, "proxy cut from its peers",
                   [this, proxy, lasts] { cutFromPeers(proxy, lasts); });
                break;
            default:
                at(when, "connections to the store go silent",
                   [this, proxy] { silenceStoreConnections(proxy); });
                break;
        }
    }
    if (_random.below(3) == 0) {
        at(start, "store forgets", [this] { _targets.store.forgotten = true; });
    }
}

/** Trouble of the proxy itself, until it is healed. */
void SettingsStorm::trouble(std::size_t proxy, Duration lasts, std::function<void()> heal) {
    _targets.judge.setProxyTroubled(proxy, true);
    _healing.after(duration_cast<milliseconds>(lasts), [this, proxy, heal = std::move(heal)] {
        heal();
        _targets.judge.setProxyTroubled(proxy, false);
    });
}

void SettingsStorm::pause(std::size_t proxy, Duration lasts) {
    ProxyProcess& process = *_targets.proxies[proxy];
    process.pause();
    trouble(proxy, lasts, [&process] { process.resume(); });
}

void SettingsStorm::kill(std::size_t proxy, Duration lasts) {
    ProxyProcess& process = *_targets.proxies[proxy];
    process.kill();
    trouble(proxy, lasts, [&process] { process.start(); });
}

void SettingsStorm::cutFromStore(std::size_t proxy, Duration lasts) {
    FaultyRelay& relay = *_targets.storeRelays[proxy];
    relay.setFaults({milliseconds(0), true, true});
    trouble(proxy, lasts, [&relay] { relay.setFaults({}); });
}

/** Links between proxies are no excuse. */
void SettingsStorm::cutFromPeers(std::size_t proxy, Duration lasts) {
    for (const auto& [key, relay] : _targets.peerRelays) {
        if (key.first == proxy) {
            relay->setFaults({milliseconds(0), true, true});
            _healing.after(duration_cast<milliseconds>(lasts),
                           [link = relay.get()] { link->setFaults({}); });
        }
    }
}

void SettingsStorm::silenceStoreConnections(std::size_t proxy) {
    _targets.storeRelays[proxy]->silenceOpenConnections();
}

}  // namespace coralhoist::soak

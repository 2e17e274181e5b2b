#include "lab/soak/SettingsJudge.h"

#include <algorithm>

namespace coralhoist::soak {
namespace {

std::string inMilliseconds(Duration span) {
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(span).count());
}

}  // namespace

SettingsJudge::SettingsJudge(std::size_t proxies, SettingsPromise promise, const Clock& clock)
    : _promise(promise), _clock(clock), _proxies(proxies) {
    // All have just started.
    _store.endedAt = clock.now();
}

void SettingsJudge::onAdded(const std::string& database) {
    _databases.push_back({database, _clock.now(), std::nullopt});
}

void SettingsJudge::onDropped(const std::string& database) {
    for (Database& known : _databases) {
        if (known.name == database) {
            known.droppedAt = _clock.now();
        }
    }
}

void SettingsJudge::set(Trouble& trouble, bool begins) const {
    trouble.standing += begins ? 1 : -1;
    trouble.endedAt = _clock.now();
}

void SettingsJudge::setStoreTroubled(bool troubled) {
    set(_store, troubled);
}

void SettingsJudge::setProxyTroubled(std::size_t proxy, bool troubled) {
    set(_proxies[proxy], troubled);
}

/** What has begun or ended since does not count as calm either: it was under way, or may have been.
 */
bool SettingsJudge::isCalm(const Trouble& trouble, TimePoint at) const {
    return trouble.standing == 0 && at - trouble.endedAt >= _promise.contact;
}

std::optional<std::string> SettingsJudge::knownToAll() const {
    const TimePoint now = _clock.now();
    const auto found =
        std::find_if(_databases.rbegin(), _databases.rend(), [this, now](const Database& database) {
            return !database.droppedAt && now - database.addedAt > _promise.bound;
        });
    return found == _databases.rend() ? std::nullopt : std::optional<std::string>(found->name);
}

std::optional<std::string> SettingsJudge::droppedByAll() const {
    const TimePoint now = _clock.now();
    const auto found =
        std::find_if(_databases.rbegin(), _databases.rend(), [this, now](const Database& database) {
            return database.droppedAt && now - *database.droppedAt > _promise.bound;
        });
    return found == _databases.rend() ? std::nullopt : std::optional<std::string>(found->name);
}

void SettingsJudge::onAnswer(std::size_t proxy, const std::string& database, bool served,
                             TimePoint askedAt) {
    if (!isCalm(_store, askedAt) || !isCalm(_proxies[proxy], askedAt)) {
        return;
    }
    const auto found = std::find_if(_databases.begin(), _databases.end(),
                                    [&database](const Database& d) { return d.name == database; });
    if (found == _databases.end()) {
        return;
    }
    ++_judged;
    const bool mustServe = !found->droppedAt && askedAt - found->addedAt > _promise.bound;
    const bool mustRefuse = found->droppedAt && askedAt - *found->droppedAt > _promise.bound;
    if ((mustServe && !served) || (mustRefuse && served)) {
        _violations.push_back(
            "CONFIG: p" + std::to_string(proxy + 1) + (served ? " served " : " refused ") +
            database + ", " + (served ? "dropped " : "added ") +
            inMilliseconds(askedAt - (served ? *found->droppedAt : found->addedAt)) + " ms before");
    }
}

}  // namespace coralhoist::soak

#include "cluster/SettingsConfirmation.h"

#include <algorithm>
#include <utility>

#include "base/Backoff.h"
#include "base/Log.h"

namespace coralhoist::cluster {
namespace {

using std::chrono::milliseconds;

/** Age at which a node that reads the store itself confirms its settings. Two levels of nodes hold
 * answers for 0.3 s each; with 0.4 s for 460 kB of settings on 10 Mbit/s all know them within 2.1
 * s. */
constexpr Duration kConfirmAfter = milliseconds(1000);
/** The same for a node that has its settings from others: they are late by then. With less, 300
 * nodes asked the store at once for all settings while their own answers were still on the way. */
constexpr Duration kConfirmAfterWhenFed = milliseconds(3000);
/** Nodes that are late together ask spread over this time. */
constexpr Duration kConfirmSpread = milliseconds(500);
constexpr Duration kTimeout = milliseconds(800);
constexpr Duration kFirstPause = milliseconds(200);
constexpr Duration kLongestPause = milliseconds(800);
constexpr int kSuccess = 200;

}  // namespace

SettingsConfirmation::SettingsConfirmation(std::string kind, ConfirmationDependencies dependencies)
    : _kind(std::move(kind)),
      _dependencies(std::move(dependencies)),
      _alive(std::make_shared<bool>(true)),
      _spread(_dependencies.random.below(static_cast<std::uint64_t>(kConfirmSpread.count()))) {}

TimePoint SettingsConfirmation::dueAt(TimePoint confirmedAt, bool isFed) const {
    return std::max(_nextCall,
                    confirmedAt + (isFed ? kConfirmAfterWhenFed + _spread : kConfirmAfter));
}

void SettingsConfirmation::onTick(TimePoint now, TimePoint confirmedAt, bool isFed) {
    if (!_running && now >= dueAt(confirmedAt, isFed)) {
        call(now);
    }
}

TimePoint SettingsConfirmation::nextTick(TimePoint confirmedAt, bool isFed) const {
    return _running ? TimePoint::max() : dueAt(confirmedAt, isFed);
}

void SettingsConfirmation::call(TimePoint now) {
    socket::HttpCall call = _dependencies.protocol.listCall(_kind, {});
    call.timeout = kTimeout;
    _running = true;
    _askedAt = now;
    _dependencies.storeClient.call(
        call, [this, alive = std::weak_ptr<bool>(_alive)](const socket::HttpAnswer& answer) {
            if (!alive.expired()) {
                onAnswer(answer);
            }
        });
}

void SettingsConfirmation::onAnswer(const socket::HttpAnswer& answer) {
    _running = false;
    const TimePoint now = _dependencies.clock.now();
    const bool answered =
        answer.outcome == socket::HttpAnswer::Outcome::Answered && answer.status == kSuccess;
    const std::optional<store::ObjectPage> page =
        answered ? _dependencies.protocol.readPage(answer.body) : std::nullopt;
    if (!page || page->more) {
        if (_pause == Duration(0)) {
            LogEvent("settings", LogLevel::Warning, "settings.unconfirmed")
                .field("status", answer.status)
                .field("complete", page.has_value());
        }
        _pause = nextBackoff(_pause, kFirstPause, kLongestPause);
        _nextCall = now + withJitter(_pause, _dependencies.random);
        return;
    }
    _pause = Duration(0);
    _nextCall = now;
    _dependencies.onList(page->objects, page->version, _askedAt);
}

}  // namespace coralhoist::cluster

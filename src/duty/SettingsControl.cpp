#include "duty/SettingsControl.h"

#include <utility>

#include "base/Log.h"

namespace coralhoist::duty {

SettingsControl::SettingsControl(SettingsStore& store, platform::PlatformClient& platform,
                                 const zone::Membership& membership, RandomSource& random,
                                 const Clock& clock, zone::DistributionOutput& output)
    : _clock(clock),
      _platform(platform),
      _replica(store.tree(), [&store](const auto& record) { return store.merge(record); }),
      _distributor(zone::DistributionOptions{}, membership, _replica, random, output) {}

void SettingsControl::start(TickScheduler& ticks) {
    _distributor.start(_clock.now());
    ticks.add([this] { return std::optional(_distributor.nextTick()); },
              [this](TimePoint now) { _distributor.onTick(now); });
    adjustWatch();
}

void SettingsControl::onMessage(const zone::DistributionMessage& message,
                                std::size_t encodedBytes) {
    _distributor.onMessage(message, encodedBytes, _clock.now());
}

void SettingsControl::onLocalRecord(const settings::SettingsObjectRecord& record) {
    _distributor.onLocalRecord(record, _clock.now());
}

void SettingsControl::adjustWatch() {
    const bool wanted = _distributor.shouldReadPlatform(_clock.now());
    if (wanted && !_watch) {
        _watch = _platform.watchSettings(_distributor.completeUpTo(), *this);
    } else if (!wanted && _watch) {
        _watch.reset();
        _platformReachable = true;
    }
}

void SettingsControl::onSettingsListed(const platform::SettingsList& list) {
    _platformReachable = true;
    _distributor.onPlatformList(list.records, list.version, _clock.now());
}

void SettingsControl::onSettingsChanged(const settings::SettingsObjectRecord& record) {
    _platformReachable = true;
    _distributor.onPlatformChange(record, _clock.now());
}

void SettingsControl::onSettingsProgress(std::uint64_t version) {
    _platformReachable = true;
    _distributor.onPlatformProgress(version, _clock.now());
}

void SettingsControl::onSettingsWatchInterrupted(const Status& reason) {
    _platformReachable = false;
    LogEvent("platform", LogLevel::Warning, "platform.watch_interrupted")
        .field("reason", reason.message());
}

void SettingsControl::collectInForce(
    const gen::SettingsInForceRequest& request,
    operators::Completion<gen::SettingsInForceResponse> completion) {
    const zone::ObjectVersion object{request.path, static_cast<std::uint64_t>(request.version)};
    const auto answer = [completion = std::move(completion)](const zone::InForceSummary& summary) {
        gen::SettingsInForceResponse response;
        response.inForceCount = static_cast<std::int32_t>(summary.inForce);
        response.missingCount = static_cast<std::int32_t>(summary.lacking + summary.silent);
        for (const NodeName& name : summary.examples) {
            response.missing.push_back(name.value());
        }
        response.truncated = true;
        completion(response);
    };
    _distributor.askInForce(object, answer, _clock.now());
}

}  // namespace coralhoist::duty

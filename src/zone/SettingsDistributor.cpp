#include "zone/SettingsDistributor.h"

#include <algorithm>
#include <set>
#include <utility>

#include "zone/ReplicaComparison.h"

namespace coralhoist::zone {

SettingsDistributor::SettingsDistributor(const DistributionOptions& options,
                                         const Membership& membership, SettingsReplica& replica,
                                         RandomSource& random, DistributionOutput& output)
    : _options(options),
      _membership(membership),
      _replica(replica),
      _random(random),
      _output(output),
      _peers(membership, random),
      _fetches(_options),
      _readers(_options, _peers),
      _fill(_options, random),
      _readiness(_options),
      _inForce(_options, replica, membership, _peers, random, *this) {}

void SettingsDistributor::start(TimePoint now) {
    _readers.start(now);
    _readiness.start(now);
    _nextAnnouncement = now;
    _nextDigest = now + Duration(static_cast<Duration::rep>(_random.below(
                            static_cast<std::uint64_t>(_options.joiningDigestInterval.count()))));
}

void SettingsDistributor::onTick(TimePoint now) {
    for (const PendingFetches::Retry& retry : _fetches.takeOverdue(now)) {
        send(retry.source, FetchRequest{{retry.path}});
    }
    if (const auto request = _fill.takeDue(now)) {
        send(request->peer, request->request);
    }
    _inForce.onTick(now);
    exchangeDigest(now);
    announce(now);
}

TimePoint SettingsDistributor::nextTick() const {
    TimePoint next = _nextDigest;
    if (!_unannounced.empty()) {
        next = std::min(next, _nextAnnouncement);
    }
    for (const auto& deadline :
         {_fetches.nextDeadline(), _fill.nextDeadline(), _inForce.nextDeadline()}) {
        next = deadline ? std::min(next, *deadline) : next;
    }
    return next;
}

void SettingsDistributor::onPlatformList(const std::vector<settings::SettingsObjectRecord>& records,
                                         std::uint64_t version, TimePoint now) {
    std::set<std::string> listed;
    for (const settings::SettingsObjectRecord& record : records) {
        listed.insert(record.path);
        take(record, now);
    }
    std::vector<ObjectVersion> absent;
    for (std::size_t bucket = 0; bucket < kSettingsBuckets; ++bucket) {
        for (ObjectVersion& object : _replica.versionsOfBucket(bucket)) {
            if (object.version < version && !listed.contains(object.path)) {
                absent.push_back(std::move(object));
            }
        }
    }
    for (const ObjectVersion& object : absent) {
        const auto held = _replica.records(object.path);
        const bool isDeletion = !held.empty() && held.back().deleted;
        if (!isDeletion) {
            take({object.path, version, true, "", "", ""}, now);
        }
    }
    _completeUpTo = std::max(_completeUpTo, version);
    _fill.finish();
    _readiness.onPlatformList();
    _readers.noteContact(now);
}

void SettingsDistributor::onPlatformChange(const settings::SettingsObjectRecord& record,
                                           TimePoint now) {
    _readers.noteContact(now);
    take(record, now);
}

void SettingsDistributor::onPlatformProgress(std::uint64_t version, TimePoint now) {
    _readers.noteContact(now);
    if (_completeUpTo > 0) {
        _completeUpTo = std::max(_completeUpTo, version);
    }
}

void SettingsDistributor::onLocalRecord(const settings::SettingsObjectRecord& record,
                                        TimePoint now) {
    take(record, now);
}

void SettingsDistributor::fetchNow(const std::vector<std::string>& paths, TimePoint /*now*/) {
    if (const auto peer = _peers.anywhere()) {
        send(*peer, FetchRequest{paths});
    }
}

void SettingsDistributor::askInForce(const ObjectVersion& object, InForceTracker::Callback callback,
                                     TimePoint now) {
    _inForce.ask(object, std::move(callback), now);
}

bool SettingsDistributor::wasDeleted(const settings::SettingsObjectRecord& record) const {
    return !record.deleted && record.version <= _completeUpTo &&
           _replica.newestVersion(record.path) == 0;
}

void SettingsDistributor::take(const settings::SettingsObjectRecord& record, TimePoint now) {
    _fetches.arrived(record.path, record.version);
    if (!_replica.merge(record)) {
        return;
    }
    const ObjectVersion object{record.path, record.version};
    _recent.push_back({object, now});
    forgetOldChanges(now);
    if (_unannounced.empty()) {
        _nextAnnouncement = now + _options.announceDelay;
    }
    if (_unannounced.size() < _options.announceLimit) {
        _unannounced.push_back(object);
    }
}

void SettingsDistributor::takeFromPeer(const settings::SettingsObjectRecord& record,
                                       TimePoint now) {
    if (wasDeleted(record)) {
        // This node has every object up to that version, and has none of this path.
        take({record.path, _completeUpTo, true, "", "", ""}, now);
        return;
    }
    take(record, now);
}

void SettingsDistributor::forgetOldChanges(TimePoint now) {
    while (!_recent.empty() && (now - _recent.front().learntAt > _options.recentSpan ||
                                _recent.size() > _options.versionsPerDatagram)) {
        _recent.pop_front();
    }
}

void SettingsDistributor::announce(TimePoint now) {
    if (_unannounced.empty() || now < _nextAnnouncement) {
        return;
    }
    const auto count =
        static_cast<std::ptrdiff_t>(std::min(_options.versionsPerDatagram, _unannounced.size()));
    const std::vector<ObjectVersion> versions(_unannounced.begin(), _unannounced.begin() + count);
    _unannounced.erase(_unannounced.begin(), _unannounced.begin() + count);
    _nextAnnouncement = now + _options.announceDelay;
    sendAnnouncement(versions);
}

void SettingsDistributor::sendAnnouncement(const std::vector<ObjectVersion>& versions) {
    std::vector<PeerReference> receivers;
    const auto add = [&receivers](const std::optional<PeerReference>& peer) {
        if (peer && std::find(receivers.begin(), receivers.end(), *peer) == receivers.end()) {
            receivers.push_back(*peer);
        }
    };
    add(_peers.ringSuccessor());
    for (std::size_t count = 0; count < _options.announceFanout; ++count) {
        add(_peers.inOwnZone());
    }
    // A reader, and whoever is alone in its zone, always tells another zone.
    const bool alone = _peers.zoneMembers().size() < 2;
    const bool reader = _peers.rankInZone().value_or(~0ULL) < _options.readersPerZone;
    if (alone || reader || _random.below(_options.otherZoneOdds) == 0) {
        add(_peers.inOtherZone());
    }
    if (alone || _random.below(_options.otherRegionOdds) == 0) {
        add(_peers.inOtherRegion());
    }
    for (const PeerReference& receiver : receivers) {
        send(receiver, Announcement{versions});
    }
}

void SettingsDistributor::exchangeDigest(TimePoint now) {
    if (now < _nextDigest) {
        return;
    }
    _nextDigest = now + (isReady() ? _options.digestInterval : _options.joiningDigestInterval);
    _readiness.judge(_fill.finished(), _replica.freshestVersion(), now);
    if (const auto peer = chooseDigestPeer()) {
        send(*peer, ownDigest(false, now));
    }
}

std::optional<PeerReference> SettingsDistributor::chooseDigestPeer() {
    const std::uint64_t draw = _random.below(100);
    std::optional<PeerReference> peer;
    if (draw < _options.otherRegionPercent) {
        peer = _peers.inOtherRegion();
    } else if (draw < _options.otherRegionPercent + _options.otherZonePercent) {
        peer = _peers.inOtherZone();
    } else {
        peer = _peers.inOwnZone();
    }
    return peer ? peer : _peers.anywhere();
}

ReplicaDigest SettingsDistributor::ownDigest(bool isAnswer, TimePoint now) {
    forgetOldChanges(now);
    ReplicaDigest digest;
    digest.digest = _replica.digest();
    digest.freshestVersion = _replica.freshestVersion();
    digest.completeUpTo = _completeUpTo;
    digest.ready = isReady();
    digest.platformAge = _readers.age(now);
    for (const RecentChange& change : _recent) {
        digest.recent.push_back(change.object);
    }
    digest.isAnswer = isAnswer;
    return digest;
}

void SettingsDistributor::fetch(const PeerReference& from, const std::vector<ObjectVersion>& wanted,
                                TimePoint now) {
    FetchRequest request;
    for (const ObjectVersion& object : wanted) {
        const bool lacking = _replica.newestVersion(object.path) < object.version;
        if (lacking && _fetches.note(object, from, now)) {
            request.paths.push_back(object.path);
        }
    }
    if (!request.paths.empty()) {
        send(from, std::move(request));
    }
}

void SettingsDistributor::sendRecords(const PeerReference& to,
                                      const std::vector<std::string>& paths) {
    RecordBatch batch;
    std::size_t bytes = 0;
    for (const std::string& path : paths) {
        for (settings::SettingsObjectRecord& record : _replica.records(path)) {
            bytes += record.path.size() + record.document.size();
            batch.records.push_back(std::move(record));
        }
        if (bytes >= _options.batchBytes) {
            send(to, std::move(batch));
            batch = RecordBatch{};
            bytes = 0;
        }
    }
    if (!batch.records.empty()) {
        send(to, std::move(batch));
    }
}

template <typename Body>
void SettingsDistributor::send(const PeerReference& to, Body body) {
    const Member& self = _membership.self();
    DistributionMessage message;
    message.sender = {self.name, self.address};
    message.region = self.region;
    message.zone = self.zone;
    message.body = std::move(body);
    _output.send(to, message);
}

void SettingsDistributor::sendQuery(const PeerReference& to, const InForceQuery& query) {
    send(to, query);
}

void SettingsDistributor::sendReply(const PeerReference& to, const InForceReply& reply) {
    send(to, reply);
}

void SettingsDistributor::onMessage(const DistributionMessage& message, std::size_t encodedBytes,
                                    TimePoint now) {
    if (message.sender.name == _membership.self().name) {
        return;
    }
    _messageBytes = encodedBytes;
    std::visit([&](const auto& body) { handle(message, body, now); }, message.body);
}

void SettingsDistributor::handle(const DistributionMessage& message, const Announcement& body,
                                 TimePoint now) {
    fetch(message.sender, body.versions, now);
}

void SettingsDistributor::handle(const DistributionMessage& message, const FetchRequest& body,
                                 TimePoint /*now*/) {
    sendRecords(message.sender, body.paths);
}

void SettingsDistributor::handle(const DistributionMessage& message, const FillRequest& body,
                                 TimePoint /*now*/) {
    if (!isReady()) {
        return;
    }
    RecordBatch batch;
    batch.filledBuckets.emplace();
    std::size_t bytes = 0;
    // From a random bucket on, so that answers of several peers differ.
    const std::size_t first = _random.below(kSettingsBuckets);
    for (std::size_t step = 0; step < kSettingsBuckets && bytes < _options.batchBytes; ++step) {
        const std::size_t bucket = (first + step) % kSettingsBuckets;
        if (!body.buckets.test(bucket)) {
            continue;
        }
        batch.filledBuckets->set(bucket);
        for (settings::SettingsObjectRecord& record : _replica.recordsOfBucket(bucket)) {
            bytes += record.path.size() + record.document.size();
            batch.records.push_back(std::move(record));
        }
    }
    send(message.sender, std::move(batch));
}

void SettingsDistributor::handle(const DistributionMessage& /*message*/, const RecordBatch& body,
                                 TimePoint now) {
    if (body.filledBuckets) {
        // The state of a peer, not news: merged without telling others.
        for (const settings::SettingsObjectRecord& record : body.records) {
            if (!wasDeleted(record)) {
                _replica.merge(record);
            }
        }
        _fill.onAnswer(*body.filledBuckets, _messageBytes, now);
        return;
    }
    for (const settings::SettingsObjectRecord& record : body.records) {
        takeFromPeer(record, now);
    }
}

void SettingsDistributor::handle(const DistributionMessage& message, const ReplicaDigest& body,
                                 TimePoint now) {
    if (body.platformAge && message.zone == _membership.self().zone) {
        _readers.noteZoneAge(*body.platformAge, now);
    }
    if (body.ready) {
        _fill.noteReadyPeer(message.sender);
    }
    const std::uint64_t digest = _replica.digest();
    _readiness.onPeerDigest(message.sender.name, body, digest);
    _readiness.judge(_fill.finished(), _replica.freshestVersion(), now);
    if (digest == body.digest) {
        _differentComparisons = 0;
        _completeUpTo = std::max(_completeUpTo, body.completeUpTo);
    }
    const bool namesNews =
        std::any_of(body.recent.begin(), body.recent.end(), [this](const ObjectVersion& object) {
            return _replica.newestVersion(object.path) < object.version;
        });
    fetch(message.sender, body.recent, now);
    if (!body.isAnswer) {
        send(message.sender, ownDigest(true, now));
    }
    if (digest == body.digest || namesNews || !_fill.finished() || !body.ready) {
        return;
    }
    if (++_differentComparisons >= _options.comparisonsBeforeRepair) {
        _differentComparisons = 0;
        send(message.sender, compareBuckets(_replica));
    }
}

void SettingsDistributor::handle(const DistributionMessage& message, const BucketComparison& body,
                                 TimePoint /*now*/) {
    SubBucketComparison answer =
        compareSubBuckets(_replica, body, _options.bucketsPerRepair, _random);
    if (!answer.buckets.empty()) {
        send(message.sender, std::move(answer));
    }
}

void SettingsDistributor::handle(const DistributionMessage& message,
                                 const SubBucketComparison& body, TimePoint /*now*/) {
    VersionComparison answer = compareVersions(_replica, body);
    if (!answer.parts.empty()) {
        send(message.sender, std::move(answer));
    }
}

void SettingsDistributor::handle(const DistributionMessage& message, const VersionComparison& body,
                                 TimePoint now) {
    const VersionDifference difference = differenceTo(_replica, body);
    fetch(message.sender, difference.toFetch, now);
    std::vector<std::string> paths;
    paths.reserve(difference.toOffer.size());
    for (const ObjectVersion& object : difference.toOffer) {
        paths.push_back(object.path);
    }
    sendRecords(message.sender, paths);
}

void SettingsDistributor::handle(const DistributionMessage& message, const InForceQuery& body,
                                 TimePoint now) {
    _inForce.onQuery(message.sender, body, now);
}

void SettingsDistributor::handle(const DistributionMessage& message, const InForceReply& body,
                                 TimePoint now) {
    _inForce.onReply(message.sender, body, now);
}

}  // namespace coralhoist::zone

#include "cluster/PromotionRecordReader.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace coralhoist::cluster {
namespace {

/** The servers are asked for proofs soon when a store that answered so far does not: thirty times a
 * calm answer (4 ms), or twice the last one. A silent store may be slow, and is given more time. */
constexpr Duration kShortestTimeout = std::chrono::milliseconds(120);
constexpr Duration kLongestTimeout = std::chrono::milliseconds(400);
constexpr int kTimesTheLast = 2;
constexpr int kSuccess = 200;

}  // namespace

PromotionRecordReader::PromotionRecordReader(socket::HttpCaller& client, const Clock& clock,
                                             const store::ObjectProtocol& protocol,
                                             const ClusterCodec& codec, RecordHandler onRecord)
    : _client(client),
      _clock(clock),
      _protocol(protocol),
      _codec(codec),
      _onRecord(std::move(onRecord)),
      _alive(std::make_shared<bool>(true)) {}

PromotionRecordReader::~PromotionRecordReader() = default;

void PromotionRecordReader::readRecords(Callback callback) {
    _callback = std::move(callback);
    _records = {};
    readPage({});
}

void PromotionRecordReader::readPage(const std::string& after) {
    socket::HttpCall call = _protocol.listCall(_codec.kinds().promotions, after);
    call.timeout = timeout();
    _askedAt = _clock.now();
    _client.call(call,
                 [this, alive = std::weak_ptr<bool>(_alive)](const socket::HttpAnswer& answer) {
                     if (!alive.expired()) {
                         onPage(answer);
                     }
                 });
}

Duration PromotionRecordReader::timeout() const {
    return _answered ? std::clamp(_lastTook * kTimesTheLast, kShortestTimeout, kLongestTimeout)
                     : kLongestTimeout;
}

void PromotionRecordReader::onPage(const socket::HttpAnswer& answer) {
    const bool answered =
        answer.outcome == socket::HttpAnswer::Outcome::Answered && answer.status == kSuccess;
    const std::optional<store::ObjectPage> page =
        answered ? _protocol.readPage(answer) : std::nullopt;
    // Pages of two eras are no list of one moment.
    const bool isFirst = _records.versions.empty();
    if (!page || (!isFirst && page->version.era != _records.era)) {
        finish(false);
        return;
    }
    _lastTook = _clock.now() - _askedAt;
    _records.era = page->version.era;
    for (const store::StoredObject& object : page->objects) {
        _onRecord(object);
        _records.versions[GroupName(object.name)] = object.version;
    }
    if (page->more && !page->objects.empty()) {
        readPage(page->objects.back().name);
        return;
    }
    finish(true);
}

void PromotionRecordReader::finish(bool succeeded) {
    _answered = succeeded;
    const Callback callback = std::exchange(_callback, {});
    callback(succeeded ? std::optional<pooling::ListedRecords>(_records) : std::nullopt);
}

}  // namespace coralhoist::cluster

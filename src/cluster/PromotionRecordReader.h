/** Reads all promotion records of the store at once. */
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "base/Time.h"
#include "cluster/ClusterCodec.h"
#include "link/socket/HttpCaller.h"
#include "link/store/ObjectProtocol.h"
#include "pooling/LeadershipProof.h"

namespace coralhoist::cluster {

/** Lists the records, page by page, with linearizable calls. One reading runs at a time. */
class PromotionRecordReader final : public pooling::RecordReader {
public:
    using RecordHandler = std::function<void(const store::StoredObject&)>;

    /**
     * References outlive the reader.
     * @param onRecord told of each record that is read, before the callback of the reading.
     */
    PromotionRecordReader(socket::HttpCaller& client, const Clock& clock,
                          const store::ObjectProtocol& protocol, const ClusterCodec& codec,
                          RecordHandler onRecord);
    ~PromotionRecordReader() override;

    void readRecords(Callback callback) override;

private:
    void readPage(const std::string& after);
    void onPage(const socket::HttpAnswer& answer);
    void finish(bool succeeded);
    Duration timeout() const;

    socket::HttpCaller& _client;
    const Clock& _clock;
    const store::ObjectProtocol& _protocol;
    const ClusterCodec& _codec;
    RecordHandler _onRecord;
    Callback _callback;
    pooling::ListedRecords _records;
    /** The store answered the last reading; it is given more time when it did not. */
    bool _answered = true;
    /** When the page that is being read was asked for, and how long the last one took. */
    TimePoint _askedAt{};
    Duration _lastTook{0};
    std::shared_ptr<bool> _alive;
};

}  // namespace coralhoist::cluster

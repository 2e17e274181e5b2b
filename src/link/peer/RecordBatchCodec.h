/** Batches of settings records, compressed when that saves bytes. */
#pragma once

#include "base/Status.h"
#include "gen/distribution_types.h"
#include "zone/DistributionMessage.h"

namespace coralhoist::peer {

/** @return the Thrift struct of a batch. */
gen::RecordBatch batchToThrift(const zone::RecordBatch& batch);

/**
 * @return the batch, or ProtocolViolation when it is malformed or would decompress to more than
 * 16 MiB.
 */
StatusWith<zone::RecordBatch> batchFromThrift(const gen::RecordBatch& encoded);

/** @return 32 bytes, the lowest bit of the first byte for bucket 0. */
std::string encodeBuckets(const std::bitset<zone::kSettingsBuckets>& buckets);

/** @return the buckets, or ProtocolViolation when there are not 32 bytes. */
StatusWith<std::bitset<zone::kSettingsBuckets>> decodeBuckets(const std::string& bytes);

}  // namespace coralhoist::peer

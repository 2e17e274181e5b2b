/** Quantiles of latencies. */
#pragma once

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/tail_quantile.hpp>
#include <cstddef>

#include "base/Time.h"

namespace coralhoist::experiment {

/** Keeps all latencies up to a limit, so that its quantiles are exact. */
class LatencyRecorder {
public:
    /** @param limit most latencies expected; beyond it the lowest ones are dropped. */
    explicit LatencyRecorder(std::size_t limit)
        : _accumulator(boost::accumulators::tag::tail<boost::accumulators::right>::cache_size =
                           limit) {}

    void add(Duration latency) {
        _accumulator(std::chrono::duration<double, std::milli>(latency).count());
    }

    std::size_t count() const { return boost::accumulators::count(_accumulator); }

    /** @param probability 0 to 1. @return milliseconds; 0 without any latency. */
    double quantile(double probability) const {
        if (count() == 0) {
            return 0;
        }
        return boost::accumulators::quantile(
            _accumulator, boost::accumulators::quantile_probability = probability);
    }

    /** @return milliseconds; 0 without any latency. */
    double maximum() const { return count() == 0 ? 0 : boost::accumulators::max(_accumulator); }

private:
    boost::accumulators::accumulator_set<
        double, boost::accumulators::stats<
                    boost::accumulators::tag::count, boost::accumulators::tag::max,
                    boost::accumulators::tag::tail_quantile<boost::accumulators::right>>>
        _accumulator;
};

}  // namespace coralhoist::experiment

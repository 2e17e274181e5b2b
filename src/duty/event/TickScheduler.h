/** One timer for all decision classes of a duty that want to be ticked. */
#pragma once

#include <QTimer>
#include <functional>
#include <optional>
#include <vector>

#include "base/Time.h"

namespace coralhoist::duty {

/**
 * Asks each source for its next tick whenever the event loop is about to wait, so that no call into
 * a decision class has to remember to set a timer. Lives on the thread of its event loop.
 */
class TickScheduler {
public:
    using NextTick = std::function<std::optional<TimePoint>()>;
    using OnTick = std::function<void(TimePoint now)>;

    /** @param clock outlives the scheduler. */
    explicit TickScheduler(const Clock& clock);

    /**
     * @param nextTick when the source wants onTick next; asked often, must be cheap.
     * @param onTick called at that time or a little later.
     */
    void add(NextTick nextTick, OnTick onTick);

private:
    struct Source {
        NextTick nextTick;
        OnTick onTick;
    };

    void arm();
    void tickDueSources();

    const Clock& _clock;
    std::vector<Source> _sources;
    std::optional<TimePoint> _armedFor;
    QTimer _timer;
};

}  // namespace coralhoist::duty

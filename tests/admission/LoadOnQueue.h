/** Simulates callers that send statements to a queue with a number of slots, and counts the
 * results. */
#pragma once

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "admission/WaitingQueue.h"
#include "tests/support/ManualClock.h"

namespace coralhoist::admission {

/** Statements that arrive at random moments. */
struct Source {
    std::string name;
    std::uint32_t rank = 0;
    std::uint32_t perSecond = 0;
    Duration slotTime{0};
    /** Flow of its statements; empty for none. */
    std::string flow{};
    /** If not 0, its statements are spread over this many flows, whose names begin with `flow`. */
    std::uint32_t flows = 0;
};

/** Results of one source's statements. */
struct Outcome {
    std::uint32_t sent = 0;
    std::uint32_t answered = 0;
    /** Number of statements answered within the objective. */
    std::uint32_t inObjective = 0;
    Duration longestWait{0};
    Duration slotTime{0};

    double share() const { return static_cast<double>(inObjective) / sent; }
};

/** Ten seconds of load, in steps of a millisecond. A statement that has waited for 700 ms is
 * refused. */
class LoadOnQueue {
public:
    explicit LoadOnQueue(std::uint32_t slots) : _slots(slots) {}

    /** @return the results of each source by its name. */
    std::map<std::string, Outcome> play(const std::vector<Source>& sources);

    WaitingQueue queue;

private:
    struct Caller {
        const Source* source = nullptr;
        TimePoint arrivedAt{};
    };

    bool arrives(const Source& source);
    void arrive(const Source& source);
    void refuseLate();
    void fillSlots();
    void place(SessionId session);

    testing::ManualClock _clock;
    std::uint32_t _slots = 0;
    /** When each occupied slot becomes free. */
    std::multimap<TimePoint, SessionId> _running;
    std::map<SessionId, Caller> _waiting;
    std::map<std::string, Outcome> _outcomes;
    std::uint64_t _lastSession = 0;
    std::mt19937 _random{7};
};

/** @return Jain's fairness index of the slot time of the named sources: 1 when all got the same. */
double jain(const std::map<std::string, Outcome>& outcomes, const std::vector<std::string>& names);

}  // namespace coralhoist::admission

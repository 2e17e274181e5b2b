/** What a soak did and saw, with times. */
#pragma once

#include <string>
#include <vector>

#include "base/Time.h"

namespace coralhoist::soak {

/** Notes in order of time, to be read beside the logs of the proxies. */
class SoakTimeline {
public:
    /** The clock outlives the timeline. */
    explicit SoakTimeline(const Clock& clock);

    /** Notes something that happens now. */
    void note(const std::string& text);

    /** @return the time of day of the start, then notes with milliseconds from the start. */
    const std::vector<std::string>& notes() const { return _notes; }

private:
    const Clock& _clock;
    TimePoint _start;
    std::vector<std::string> _notes;
};

}  // namespace coralhoist::soak

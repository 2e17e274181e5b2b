#include "lab/soak/SoakTimeline.h"

#include <QDateTime>
#include <chrono>

namespace coralhoist::soak {

SoakTimeline::SoakTimeline(const Clock& clock) : _clock(clock), _start(clock.now()) {
    _notes.push_back("0 starts at " +
                     QDateTime::currentDateTimeUtc().toString(Qt::ISODateWithMs).toStdString());
}

void SoakTimeline::note(const std::string& text) {
    const auto at = std::chrono::duration_cast<std::chrono::milliseconds>(_clock.now() - _start);
    _notes.push_back(std::to_string(at.count()) + " " + text);
}

}  // namespace coralhoist::soak

#include "lab/history/History.h"

#include <algorithm>

namespace coralhoist::history {

void History::onSubmitted(WriteNumber write, SessionId session) {
    _writes[write].session = session;
}

void History::onAttemptEnded(WriteNumber number, AttemptOutcome outcome, TimePoint now) {
    Write& write = _writes[number];
    write.ended = true;
    if (outcome == AttemptOutcome::Acknowledged && !write.acknowledgedAt) {
        write.acknowledgedAt = now;
    }
    write.unknown = write.unknown || outcome == AttemptOutcome::Unknown;
}

bool History::isDue(const Write& write, const ReadObservation& read) const {
    const bool promised = !read.onlyOwnWrites || write.session == read.session;
    const bool asked = !read.writtenBy || write.session == *read.writtenBy;
    return promised && asked && write.acknowledgedAt &&
           *write.acknowledgedAt <= read.submittedAt - read.staleness;
}

void History::onRead(const ReadObservation& read) {
    ++_reads;
    const std::set<WriteNumber> shown(read.result.begin(), read.result.end());
    if (shown.size() != read.result.size()) {
        _violations.emplace_back("a read shows a write twice");
    }
    _seen.insert(shown.begin(), shown.end());
    for (const auto& [number, write] : _writes) {
        if (isDue(write, read) && !shown.contains(number)) {
            _violations.push_back("a read of session " + std::to_string(read.session.value()) +
                                  " misses acknowledged write " + std::to_string(number));
        }
    }
    checkTransactions(shown);
}

void History::onAnswer(const RequestTag& asked, const RequestTag& answered) {
    if (asked == answered) {
        return;
    }
    _violations.push_back("request " + std::to_string(asked.request) + " of session " +
                          std::to_string(asked.session.value()) + " got the answer of request " +
                          std::to_string(answered.request) + " of session " +
                          std::to_string(answered.session.value()));
}

void History::checkTransactions(const std::set<WriteNumber>& shown) {
    for (const std::vector<WriteNumber>& transaction : _transactions) {
        const auto count = std::ranges::count_if(
            transaction, [&](WriteNumber number) { return shown.contains(number); });
        if (count != 0 && count != std::ssize(transaction)) {
            _violations.push_back("of the transaction of write " +
                                  std::to_string(transaction.front()) + " only " +
                                  std::to_string(count) + " writes show");
        }
    }
}

void History::checkWrite(WriteNumber number, const Write& write, std::size_t count) {
    const std::string name = "write " + std::to_string(number);
    if (count > 1) {
        _violations.push_back(name + " ran " + std::to_string(count) + " times");
    }
    if (write.acknowledgedAt && count == 0) {
        _violations.push_back(name + " was acknowledged and is lost");
    }
    if (write.isRefused() && count > 0) {
        _violations.push_back(name + " was refused as not run and ran");
    }
    if (write.isRefused() && _seen.contains(number)) {
        _violations.push_back(name + " was refused as not run and was read");
    }
}

void History::checkFinal(const std::vector<WriteNumber>& final) {
    std::map<WriteNumber, std::size_t> counts;
    for (const WriteNumber number : final) {
        ++counts[number];
        if (!_writes.contains(number)) {
            _violations.push_back("write " + std::to_string(number) + " came from nobody");
        }
    }
    for (const auto& [number, write] : _writes) {
        checkWrite(number, write, counts[number]);
    }
    checkTransactions({final.begin(), final.end()});
}

std::size_t History::acknowledgedWrites() const {
    return static_cast<std::size_t>(std::ranges::count_if(
        _writes, [](const auto& entry) { return entry.second.acknowledgedAt.has_value(); }));
}

std::size_t History::unknownWrites() const {
    return static_cast<std::size_t>(std::ranges::count_if(_writes, [](const auto& entry) {
        return entry.second.unknown && !entry.second.acknowledgedAt;
    }));
}

std::size_t History::refusedWrites() const {
    return static_cast<std::size_t>(
        std::ranges::count_if(_writes, [](const auto& entry) { return entry.second.isRefused(); }));
}

}  // namespace coralhoist::history

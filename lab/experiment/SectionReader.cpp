#include "lab/experiment/SectionReader.h"

#include <cmath>
#include <sstream>

#include "base/Error.h"

namespace coralhoist::experiment {
namespace {

std::string shortNumber(double number) {
    std::ostringstream text;
    text << number;
    return text.str();
}

template <typename Unit>
Duration toDuration(double value) {
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, Unit>(value));
}

}  // namespace

std::string SectionReader::place(const std::string& key) const {
    const toml::node* node = _table.get(key);
    const auto line = node != nullptr ? node->source().begin.line : _table.source().begin.line;
    const std::string name = _section.empty() ? key : _section + "." + key;
    return _file + ":" + std::to_string(line) + ": " + name + ": ";
}

void SectionReader::fail(const std::string& key, const std::string& what) {
    if (_fault.isOk()) {
        _fault = {ErrorCode::InvalidArgument, place(key) + what};
    }
}

void SectionReader::require(const char* key) {
    if (_table.get(key) == nullptr) {
        fail(key, "is missing");
    }
}

void SectionReader::text(const char* key, std::string& value) {
    _taken.insert(key);
    const toml::node* node = _table.get(key);
    if (node == nullptr) {
        return;
    }
    if (!node->is_string() || node->as_string()->get().empty()) {
        fail(key, "must be a text");
        return;
    }
    value = node->as_string()->get();
}

std::optional<double> SectionReader::take(const char* key, const NumberRange& range) {
    _taken.insert(key);
    const toml::node* node = _table.get(key);
    if (node == nullptr) {
        return std::nullopt;
    }
    if (!node->is_number()) {
        fail(key, "must be a number");
        return std::nullopt;
    }
    const double value = *node->value<double>();
    if (!(value >= range.minimum && value <= range.maximum)) {
        fail(key, shortNumber(value) + " is out of range (" + shortNumber(range.minimum) + " to " +
                      shortNumber(range.maximum) + ")");
        return std::nullopt;
    }
    return value;
}

void SectionReader::number(const char* key, const NumberRange& range, double& value) {
    value = take(key, range).value_or(value);
}

void SectionReader::count(const char* key, const NumberRange& range, std::size_t& value) {
    const std::optional<double> taken = take(key, range);
    if (!taken) {
        return;
    }
    if (std::floor(*taken) != *taken) {
        fail(key, "must be a whole number");
        return;
    }
    value = static_cast<std::size_t>(*taken);
}

void SectionReader::milliseconds(const char* key, const NumberRange& range, Duration& value) {
    if (const auto taken = take(key, range)) {
        value = toDuration<std::milli>(*taken);
    }
}

void SectionReader::milliseconds(const char* key, const NumberRange& range,
                                 std::optional<Duration>& value) {
    if (const auto taken = take(key, range)) {
        value = toDuration<std::milli>(*taken);
    }
}

void SectionReader::seconds(const char* key, const NumberRange& range, Duration& value) {
    if (const auto taken = take(key, range)) {
        value = toDuration<std::ratio<1>>(*taken);
    }
}

Status SectionReader::finish() {
    for (const auto& [key, node] : _table) {
        const std::string name(key.str());
        if (!_taken.contains(name)) {
            fail(name, "unknown key");
        }
    }
    return _fault;
}

}  // namespace coralhoist::experiment

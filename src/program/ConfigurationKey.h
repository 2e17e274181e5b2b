/** Keys of a process's configuration file: type, range, meaning and where the value goes. */
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "base/Status.h"
#include "program/DaemonConfiguration.h"

namespace coralhoist::program {

/** The TOML type of a key. */
enum class ValueType { Integer, Text, TextList };

/** A value of the file or of a flag, already of the key's type. */
struct ParsedValue {
    std::int64_t integer = 0;
    std::string text;
    std::vector<std::string> list;
};

using Setter = std::function<Status(DaemonConfiguration&, const ParsedValue&)>;

/** One key of the file: its type, range, meaning and destination. */
struct KeyDescription {
    std::string key;
    ValueType type;
    std::int64_t minimum;
    std::int64_t maximum;
    std::string meaning;
    Setter set;
};

/** Longest time that a key may give: an hour. */
constexpr std::int64_t kMaximumMilliseconds = 3'600'000;

/** @return a key whose value is a whole number; the setter gets it once its range was checked. */
inline KeyDescription numberKey(std::string key, std::int64_t minimum, std::int64_t maximum,
                                std::string meaning,
                                std::function<void(DaemonConfiguration&, std::int64_t)> set) {
    return {std::move(key),
            ValueType::Integer,
            minimum,
            maximum,
            std::move(meaning),
            [set = std::move(set)](DaemonConfiguration& configuration, const ParsedValue& value) {
                set(configuration, value.integer);
                return Status::ok();
            }};
}

}  // namespace coralhoist::program

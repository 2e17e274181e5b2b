/** Takes the keys of one TOML table and reports the first fault with its place. */
#pragma once

#include <toml++/toml.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "base/Status.h"
#include "base/Time.h"

namespace coralhoist::experiment {

/** Inclusive bounds of a number. */
struct NumberRange {
    double minimum = 0;
    double maximum = 0;
};

/**
 * Each call takes one key into its destination; a key that is absent leaves it as it is. finish()
 * then reports the first fault: a wrong type or range, a missing key or one that nobody took.
 */
class SectionReader {
public:
    /** @param table outlives the reader. @param section its name in messages; may be empty. */
    SectionReader(const toml::table& table, std::string file, std::string section)
        : _table(table), _file(std::move(file)), _section(std::move(section)) {}

    void text(const char* key, std::string& value);
    void number(const char* key, const NumberRange& range, double& value);
    void count(const char* key, const NumberRange& range, std::size_t& value);
    /** A key in milliseconds. */
    void milliseconds(const char* key, const NumberRange& range, Duration& value);
    void milliseconds(const char* key, const NumberRange& range, std::optional<Duration>& value);
    /** A key in seconds. */
    void seconds(const char* key, const NumberRange& range, Duration& value);
    /** A word that stands for a value. */
    template <typename Value>
    void choice(const char* key, const std::map<std::string, Value>& words, Value& value) {
        std::string word;
        text(key, word);
        if (word.empty()) {
            return;
        }
        if (const auto found = words.find(word); found != words.end()) {
            value = found->second;
            return;
        }
        std::string known;
        for (const auto& [name, meaning] : words) {
            known += (known.empty() ? "" : ", ") + name;
        }
        fail(key, "'" + word + "' is none of " + known);
    }

    /** The key must be there. */
    void require(const char* key);
    /** Takes a table or a list of tables, which the caller reads by itself. */
    void skip(const char* key) { _taken.insert(key); }
    /** Reports a fault of a key, unless an earlier one was found. */
    void fail(const std::string& key, const std::string& what);

    /** @return the first fault, unknown keys included. */
    Status finish();

private:
    std::optional<double> take(const char* key, const NumberRange& range);
    std::string place(const std::string& key) const;

    const toml::table& _table;
    std::string _file;
    std::string _section;
    std::set<std::string> _taken;
    Status _fault;
};

}  // namespace coralhoist::experiment

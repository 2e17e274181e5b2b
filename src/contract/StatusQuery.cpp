#include "contract/StatusQuery.h"

#include <charconv>
#include <cstdint>
#include <string_view>

namespace coralhoist::contract {
namespace {

constexpr std::size_t kStatusColumns = 4;

constexpr int kDecimal = 10;
constexpr int kHexadecimal = 16;
/** Number of bits of the second half of a log position in PostgreSQL's text form. */
constexpr unsigned kPositionHalfBits = 32;

std::optional<std::uint64_t> parseWhole(std::string_view text, int base) {
    std::uint64_t number = 0;
    const char* end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, number, base);
    if (error != std::errc() || stop != end) {
        return std::nullopt;
    }
    return number;
}

std::optional<std::uint64_t> readNumber(const std::optional<std::string>& text) {
    return text ? parseWhole(*text, kDecimal) : 0;
}

/** Parses a log position given as a number of bytes or as pg_lsn, e.g. "16/B374D848". */
std::optional<std::uint64_t> readPosition(const std::optional<std::string>& text) {
    const std::size_t slash = text ? text->find('/') : std::string::npos;
    if (slash == std::string::npos) {
        return readNumber(text);
    }
    const std::string_view whole(*text);
    const auto high = parseWhole(whole.substr(0, slash), kHexadecimal);
    const auto low = parseWhole(whole.substr(slash + 1), kHexadecimal);
    if (!high || !low || (*high >> kPositionHalfBits) != 0 || (*low >> kPositionHalfBits) != 0) {
        return std::nullopt;
    }
    return (*high << kPositionHalfBits) | *low;
}

std::optional<bool> readBoolean(const std::optional<std::string>& text) {
    if (text == "t" || text == "true" || text == "1") {
        return true;
    }
    if (text == "f" || text == "false" || text == "0") {
        return false;
    }
    return std::nullopt;
}

}  // namespace

BackendCommand makeStatusCommand(const std::string& statusQuery) {
    BackendCommand command;
    command.step.kind = StatementKind::Read;
    command.step.sql = statusQuery;
    command.use = ResultUse::Capture;
    command.syncAfter = true;
    return command;
}

std::optional<machine::ServerStatus> readStatus(const CommandOutcome& outcome) {
    if (outcome.kind != CommandOutcome::Kind::Succeeded || outcome.rows.size() != 1 ||
        outcome.rows.front().values.size() != kStatusColumns) {
        return std::nullopt;
    }
    const auto& values = outcome.rows.front().values;
    const auto inRecovery = readBoolean(values[0]);
    const auto term = readNumber(values[1]);
    const auto received = readPosition(values[2]);
    const auto replayed = readPosition(values[3]);
    if (!inRecovery || !term || !received || !replayed) {
        return std::nullopt;
    }
    return machine::ServerStatus{*inRecovery, *term, *received, *replayed};
}

}  // namespace coralhoist::contract

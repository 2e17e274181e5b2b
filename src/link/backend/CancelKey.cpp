#include "link/backend/CancelKey.h"

#include <regex>
#include <string>

namespace coralhoist::backend {
namespace {

/** Several times what a server sends while a connection opens. */
constexpr std::size_t kTraceBytes = 16UL * 1024;

std::optional<std::int32_t> parseInteger(const std::string& text) {
    try {
        return static_cast<std::int32_t>(std::stol(text));
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

std::optional<CancelKey> findKey(const std::string& trace) {
    const std::regex pattern(R"(BackendKeyData\t (-?\d+) (-?\d+))");
    std::smatch match;
    if (!std::regex_search(trace, match, pattern)) {
        return std::nullopt;
    }
    const auto processId = parseInteger(match[1].str());
    const auto secretKey = parseInteger(match[2].str());
    if (!processId || !secretKey) {
        return std::nullopt;
    }
    return CancelKey{.processId = *processId, .secretKey = *secretKey};
}

}  // namespace

CancelKeyRecorder::CancelKeyRecorder()
    : _trace(kTraceBytes, '\0'), _file(fmemopen(_trace.data(), _trace.size(), "w")) {}

void CancelKeyRecorder::attach(PGconn* connection) {
    PQtrace(connection, _file.get());
}

std::optional<CancelKey> CancelKeyRecorder::detach(PGconn* connection) {
    PQuntrace(connection);
    _file.reset();
    const std::string trace(_trace.data(), _trace.size());
    std::fill(_trace.begin(), _trace.end(), '\0');
    std::optional<CancelKey> key = findKey(trace);
    if (key && key->processId != PQbackendPID(connection)) {
        key.reset();
    }
    return key;
}

}  // namespace coralhoist::backend

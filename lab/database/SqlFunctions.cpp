#include "lab/database/SqlFunctions.h"

#include <QDateTime>
#include <QUuid>
#include <array>
#include <cstdio>

namespace coralhoist::lab::database {
namespace {

using Arguments = sqlite3_value**;
using Function = void (*)(sqlite3_context*, int, Arguments);

ExecutionContext* contextOf(sqlite3_context* call) {
    return *static_cast<ExecutionContext**>(sqlite3_user_data(call));
}

void returnText(sqlite3_context* call, const std::string& text) {
    sqlite3_result_text64(call, text.data(), text.size(), SQLITE_TRANSIENT, SQLITE_UTF8);
}

std::string textArgument(sqlite3_value* value) {
    const unsigned char* text = sqlite3_value_text(value);
    return text == nullptr ? std::string() : reinterpret_cast<const char*>(text);
}

/** @return the state of the server, or null during replay, when the result is NULL. */
const ServerState* serverOf(sqlite3_context* call) {
    const ExecutionContext* context = contextOf(call);
    return context == nullptr ? nullptr : context->server;
}

void returnTime(sqlite3_context* call, std::int64_t microseconds) {
    constexpr std::int64_t kMicrosecondsPerMillisecond = 1000;
    const QDateTime time =
        QDateTime::fromMSecsSinceEpoch(microseconds / kMicrosecondsPerMillisecond, Qt::UTC);
    std::array<char, 16> fraction{};
    std::snprintf(fraction.data(), fraction.size(), ".%03d+00",
                  static_cast<int>(microseconds % kMicrosecondsPerMillisecond));
    returnText(call, time.toString("yyyy-MM-dd HH:mm:ss.zzz").toStdString() +
                         std::string(fraction.data()).substr(1));
}

std::int64_t transactionTime(sqlite3_context* call) {
    const ExecutionContext* context = contextOf(call);
    return context == nullptr ? 0 : context->nowMicroseconds;
}

void now(sqlite3_context* call, int, Arguments) {
    returnTime(call, transactionTime(call));
}

void nowMinusSeconds(sqlite3_context* call, int, Arguments arguments) {
    constexpr double kMicrosecondsPerSecond = 1e6;
    const double age = sqlite3_value_double(arguments[0]) * kMicrosecondsPerSecond;
    returnTime(call, transactionTime(call) - static_cast<std::int64_t>(age));
}

void random(sqlite3_context* call, int, Arguments) {
    ExecutionContext* context = contextOf(call);
    constexpr double kRange = 0x1.0p-53;
    const double number =
        context == nullptr ? 0 : static_cast<double>(context->random() >> 11U) * kRange;
    sqlite3_result_double(call, number);
}

void generateUuid(sqlite3_context* call, int, Arguments) {
    ExecutionContext* context = contextOf(call);
    std::array<std::uint64_t, 2> bits{};
    if (context != nullptr) {
        bits = {context->random(), context->random()};
    }
    const QByteArray bytes(reinterpret_cast<const char*>(bits.data()), sizeof bits);
    const QUuid uuid = QUuid::createUuidV5(QUuid(), bytes);
    returnText(call, uuid.toString(QUuid::WithoutBraces).toStdString());
}

void isInRecovery(sqlite3_context* call, int, Arguments) {
    if (const ServerState* server = serverOf(call)) {
        sqlite3_result_int(call, server->isInRecovery() ? 1 : 0);
    }
}

void term(sqlite3_context* call, int, Arguments) {
    if (const ServerState* server = serverOf(call)) {
        sqlite3_result_int64(call, static_cast<sqlite3_int64>(server->term()));
    }
}

void currentPosition(sqlite3_context* call, int, Arguments) {
    const ServerState* server = serverOf(call);
    if (server == nullptr) {
        return;
    }
    if (server->isInRecovery()) {
        sqlite3_result_error(call, "recovery is in progress", -1);
        return;
    }
    returnText(call, formatLogPosition(server->receivedPosition()));
}

void receivedPosition(sqlite3_context* call, int, Arguments) {
    const ServerState* server = serverOf(call);
    if (server != nullptr && server->isInRecovery()) {
        returnText(call, formatLogPosition(server->receivedPosition()));
    }
}

void replayedPosition(sqlite3_context* call, int, Arguments) {
    const ServerState* server = serverOf(call);
    if (server != nullptr && server->isInRecovery()) {
        returnText(call, formatLogPosition(server->replayedPosition()));
    }
}

void setConfig(sqlite3_context* call, int, Arguments arguments) {
    const std::string value = textArgument(arguments[1]);
    const ExecutionContext* context = contextOf(call);
    if (context != nullptr && context->session != nullptr) {
        context->session->applySetting(textArgument(arguments[0]), value,
                                       sqlite3_value_int(arguments[2]) != 0);
    }
    returnText(call, value);
}

void currentSetting(sqlite3_context* call, int count, Arguments arguments) {
    const ExecutionContext* context = contextOf(call);
    if (context == nullptr || context->session == nullptr) {
        return;
    }
    const std::string name = textArgument(arguments[0]);
    const std::optional<std::string> value = context->session->setting(name);
    if (value) {
        returnText(call, *value);
        return;
    }
    const bool missingIsNull = count > 1 && sqlite3_value_int(arguments[1]) != 0;
    if (!missingIsNull) {
        const std::string message = "unrecognized configuration parameter \"" + name + "\"";
        sqlite3_result_error(call, message.c_str(), -1);
    }
}

void processId(sqlite3_context* call, int, Arguments) {
    const ExecutionContext* context = contextOf(call);
    if (context != nullptr && context->session != nullptr) {
        sqlite3_result_int(call, context->session->processId());
    }
}

void version(sqlite3_context* call, int, Arguments) {
    returnText(call, "PostgreSQL 15.0 (coralhoist-lab stand-in over SQLite)");
}

struct Registration {
    const char* name;
    int argumentCount;
    Function function;
};

constexpr std::array kFunctions = {
    Registration{"now", 0, now},
    Registration{"clock_timestamp", 0, now},
    Registration{"coralhoist_now_minus_seconds", 1, nowMinusSeconds},
    Registration{"random", 0, random},
    Registration{"gen_random_uuid", 0, generateUuid},
    Registration{"pg_is_in_recovery", 0, isInRecovery},
    Registration{"coralhoist_term", 0, term},
    Registration{"pg_current_wal_lsn", 0, currentPosition},
    Registration{"pg_last_wal_receive_lsn", 0, receivedPosition},
    Registration{"pg_last_wal_replay_lsn", 0, replayedPosition},
    Registration{"set_config", 3, setConfig},
    Registration{"current_setting", 1, currentSetting},
    Registration{"current_setting", 2, currentSetting},
    Registration{"pg_backend_pid", 0, processId},
    Registration{"version", 0, version},
};

}  // namespace

std::string formatLogPosition(LogPosition position) {
    std::array<char, 32> buffer{};
    std::snprintf(buffer.data(), buffer.size(), "%X/%X", static_cast<unsigned>(position >> 32U),
                  static_cast<unsigned>(position & 0xFFFFFFFFU));
    return buffer.data();
}

void registerFunctions(sqlite3* database, ExecutionContext** context) {
    for (const Registration& registration : kFunctions) {
        sqlite3_create_function_v2(database, registration.name, registration.argumentCount,
                                   SQLITE_UTF8, context, registration.function, nullptr, nullptr,
                                   nullptr);
    }
}

}  // namespace coralhoist::lab::database

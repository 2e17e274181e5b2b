#include "link/backend/ConnectionParameters.h"

#include <algorithm>
#include <cstdlib>

namespace coralhoist::backend {
namespace {

/** Variables that libpq reads although PQconndefaults does not list them. */
constexpr std::array kUnlistedVariables = {"PGSERVICEFILE", "PGSYSCONFDIR", "PGTZ", "PGDATESTYLE",
                                           "PGGEQO"};

/** A path that can't exist, so that libpq finds no password file and stays silent about it. */
constexpr const char* kNoPasswordFile = "/dev/null/none";

std::string milliseconds(Duration duration) {
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

std::string wholeSeconds(Duration duration) {
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(duration).count();
    return std::to_string(std::max<decltype(seconds)>(seconds, 1));
}

}  // namespace

void clearLibpqEnvironment() {
    PQconninfoOption* const defaults = PQconndefaults();
    for (const PQconninfoOption* option = defaults; option != nullptr && option->keyword != nullptr;
         ++option) {
        if (option->envvar != nullptr) {
            unsetenv(option->envvar);  // NOLINT(concurrency-mt-unsafe): called before any thread.
        }
    }
    PQconninfoFree(defaults);
    for (const char* variable : kUnlistedVariables) {
        unsetenv(variable);  // NOLINT(concurrency-mt-unsafe): called before any thread.
    }
}

ConnectionParameters::ConnectionParameters(const settings::ServerEndpoint& server,
                                           const BackendCredentials& credentials,
                                           const ZoneName& ownZone,
                                           const ConnectorOptions& options) {
    add("host", server.host);
    add("hostaddr", server.host);
    add("port", std::to_string(server.port));
    add("user", credentials.user);
    add("password", credentials.password);
    add("passfile", kNoPasswordFile);
    add("dbname", credentials.database);
    add("application_name", "coralhoist/" + ownZone.value());
    add("client_encoding", "UTF8");
    add("sslmode", "disable");
    add("gssencmode", "disable");
    add("target_session_attrs", "any");
    add("keepalives", "1");
    add("keepalives_idle", wholeSeconds(options.keepaliveIdle));
    add("keepalives_interval", wholeSeconds(options.keepaliveInterval));
    add("keepalives_count", std::to_string(options.keepaliveCount));
    add("tcp_user_timeout", milliseconds(options.tcpUserTimeout));
}

void ConnectionParameters::add(const char* keyword, std::string value) {
    _keywords.push_back(keyword);
    _values.push_back(std::move(value));
}

PgConnection ConnectionParameters::start() const {
    std::vector<const char*> keywords = _keywords;
    std::vector<const char*> values;
    values.reserve(_values.size() + 1);
    for (const std::string& value : _values) {
        values.push_back(value.c_str());
    }
    keywords.push_back(nullptr);
    values.push_back(nullptr);
    // dbname is a plain name here: expanding it would let a settings value override parameters.
    constexpr int kExpandDatabaseName = 0;
    return PgConnection(PQconnectStartParams(keywords.data(), values.data(), kExpandDatabaseName));
}

}  // namespace coralhoist::backend

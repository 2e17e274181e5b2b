/** The connection parameters of libpq, free of all influence from outside the process. */
#pragma once

#include <array>
#include <string>
#include <vector>

#include "base/Identifier.h"
#include "link/backend/ConnectorOptions.h"
#include "link/backend/LibpqHandles.h"
#include "settings/EffectiveSettings.h"

namespace coralhoist::backend {

/**
 * Removes the environment variables that libpq reads. libpq takes them for parameters that are
 * empty or unknown to this version of the program, e.g. PGSERVICE and PGOPTIONS. Call once at the
 * start of a program, before it has threads.
 */
void clearLibpqEnvironment();

/** Parameters of a connection to one server: numeric address, no TLS, UTF-8, no password file. */
class ConnectionParameters {
public:
    ConnectionParameters(const settings::ServerEndpoint& server,
                         const BackendCredentials& credentials, const ZoneName& ownZone,
                         const ConnectorOptions& options);

    /**
     * Starts to connect without blocking.
     * @return null only when memory is exhausted; check PQstatus otherwise.
     */
    PgConnection start() const;

private:
    void add(const char* keyword, std::string value);

    std::vector<const char*> _keywords;
    std::vector<std::string> _values;
};

}  // namespace coralhoist::backend

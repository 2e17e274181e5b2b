/** Why a connection could not be opened. */
#pragma once

#include <string>

namespace coralhoist::backend {

/** A refusal or failure while connecting. */
struct ConnectError {
    /** The server's SQLSTATE, e.g. 53300; empty when the server said nothing. */
    std::string sqlState;
    std::string message;
};

/**
 * Takes the SQLSTATE out of libpq's text. libpq 15 keeps no error fields of a refused connection,
 * but with PQERRORS_VERBOSE set during the connect it prints "SEVERITY:  SQLSTATE: message",
 * whatever the language of the server.
 * @param text PQerrorMessage of a connection in verbose error mode.
 */
ConnectError parseConnectError(const std::string& text);

}  // namespace coralhoist::backend

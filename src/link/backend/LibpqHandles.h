/** Owning pointers for libpq's objects. */
#pragma once

#include <libpq-fe.h>

#include <memory>

namespace coralhoist::backend {

struct PgConnectionDeleter {
    void operator()(PGconn* connection) const { PQfinish(connection); }
};
/** A libpq connection; sends Terminate and closes the socket when destroyed, without blocking. */
using PgConnection = std::unique_ptr<PGconn, PgConnectionDeleter>;

struct PgResultDeleter {
    void operator()(PGresult* result) const { PQclear(result); }
};
using PgResult = std::unique_ptr<PGresult, PgResultDeleter>;

}  // namespace coralhoist::backend

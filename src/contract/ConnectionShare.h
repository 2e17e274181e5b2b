/** This proxy's share of a group's connections and execution slots. */
#pragma once

#include <cstdint>

namespace coralhoist::contract {

/** Role of a proxy for a database group. */
enum class OwnerRole {
    None,    /**< Forwards requests to owners and holds no connection. */
    Standby, /**< Keeps warm connections and status samples; executes requests that active owners
                can't accept. */
    Active,  /**< Executes statements. */
};

/** This proxy's share of the connections and slots of each server of a group. */
struct ConnectionShare {
    OwnerRole role = OwnerRole::Active;
    /** Maximum number of connections to one server, including the status connection. */
    std::uint32_t connectionsPerServer = 10;
    /** Maximum number of statements of this proxy that execute concurrently on one server. */
    std::uint32_t slotsPerServer = 5;

    bool operator==(const ConnectionShare&) const = default;
};

}  // namespace coralhoist::contract

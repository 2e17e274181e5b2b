#include "settings/CrossChecks.h"

#include <algorithm>
#include <array>

namespace coralhoist::settings {
namespace {

/** One rule. The rules are applied in order; a repair never breaks an earlier rule. */
struct CrossRule {
    const char* key;
    bool (*holds)(const GroupSettings&);
    std::string (*describe)(const GroupSettings&);
    void (*repair)(GroupSettings&);
};

bool isServer(const GroupSettings& settings, const ServerName& name) {
    return std::any_of(settings.servers.begin(), settings.servers.end(),
                       [&name](const ServerEndpoint& server) { return server.name == name; });
}

bool leavingServersExist(const GroupSettings& settings) {
    return std::all_of(settings.leavingServers.begin(), settings.leavingServers.end(),
                       [&settings](const ServerName& name) { return isServer(settings, name); });
}

std::string describeLeavingServers(const GroupSettings& settings) {
    std::string unknown;
    for (const ServerName& name : settings.leavingServers) {
        if (!isServer(settings, name)) {
            unknown += " '" + name.value() + "'";
        }
    }
    return "not in group.servers:" + unknown;
}

void dropUnknownLeavingServers(GroupSettings& settings) {
    std::erase_if(settings.leavingServers,
                  [&settings](const ServerName& name) { return !isServer(settings, name); });
}

std::string describeAtMost(std::uint32_t value, const char* limitKey, std::uint32_t limit) {
    return std::to_string(value) + " is above " + limitKey + " = " + std::to_string(limit);
}

constexpr const char* kConnectionsKey = "pool.connections_per_server";

/** Owners, active first, must each have a connection. */
void limitOwners(GroupSettings& settings) {
    settings.activeOwners = std::min(settings.activeOwners, settings.connectionsPerServer);
    settings.standbyOwners =
        std::min(settings.standbyOwners, settings.connectionsPerServer - settings.activeOwners);
}

constexpr std::array<CrossRule, 5> kRules = {{
    {"group.leaving_servers", leavingServersExist, describeLeavingServers,
     dropUnknownLeavingServers},
    {"admission.urgent_reserved_slots",
     [](const GroupSettings& s) { return s.urgentReservedSlots < s.slotsPerServer; },
     [](const GroupSettings& s) {
         return std::to_string(s.urgentReservedSlots) +
                " is not below admission.slots_per_server = " + std::to_string(s.slotsPerServer) +
                ", so ordinary statements could never run";
     },
     [](GroupSettings& s) { s.urgentReservedSlots = s.slotsPerServer - 1; }},
    {"pool.concurrent_connects",
     [](const GroupSettings& s) { return s.concurrentConnects <= s.connectionsPerServer; },
     [](const GroupSettings& s) {
         return describeAtMost(s.concurrentConnects, kConnectionsKey, s.connectionsPerServer);
     },
     [](GroupSettings& s) { s.concurrentConnects = s.connectionsPerServer; }},
    {"pool.warm_connections",
     [](const GroupSettings& s) { return s.warmConnections <= s.connectionsPerServer; },
     [](const GroupSettings& s) {
         return describeAtMost(s.warmConnections, kConnectionsKey, s.connectionsPerServer);
     },
     [](GroupSettings& s) { s.warmConnections = s.connectionsPerServer; }},
    {"placement.active_owners",
     [](const GroupSettings& s) {
         return s.activeOwners + s.standbyOwners <= s.connectionsPerServer;
     },
     [](const GroupSettings& s) {
         return "together with placement.standby_owners " +
                describeAtMost(s.activeOwners + s.standbyOwners, kConnectionsKey,
                               s.connectionsPerServer);
     },
     limitOwners},
}};

}  // namespace

std::vector<CrossCheckFault> checkGroup(const GroupSettings& settings) {
    std::vector<CrossCheckFault> faults;
    for (const CrossRule& rule : kRules) {
        if (!rule.holds(settings)) {
            faults.push_back({rule.key, rule.describe(settings)});
        }
    }
    return faults;
}

void repairGroup(GroupSettings& settings) {
    for (const CrossRule& rule : kRules) {
        if (!rule.holds(settings)) {
            rule.repair(settings);
        }
    }
}

}  // namespace coralhoist::settings

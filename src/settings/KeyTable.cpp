#include "settings/KeyTable.h"

#include <utility>

namespace coralhoist::settings {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr LevelSet kAllLevels{true, true, true};
constexpr LevelSet kEstateAndGroup{true, true, false};
constexpr LevelSet kGroupOnly{false, true, false};

constexpr ValueRange kShortText{0, kLongestName};
constexpr ValueRange kPasswordText{0, 1024};
constexpr ValueRange kQueryText{1, 8192};
constexpr ValueRange kServerCount{0, 64};
constexpr ValueRange kRegionCount{0, 64};

/**
 * For PostgreSQL 15. The timeline of a primary is taken from the name of its current log file,
 * because the control file shows a new timeline only after the first checkpoint that follows a
 * promotion. A standby without a running receiver falls back on its last restart point. Needs the
 * role pg_read_all_stats.
 */
constexpr const char* kDefaultStatusQuery =
    "SELECT r.in_recovery,"
    " CASE WHEN r.in_recovery"
    " THEN COALESCE((SELECT received_tli FROM pg_stat_wal_receiver),"
    " (SELECT timeline_id FROM pg_control_checkpoint()))::bigint"
    " ELSE ('x' || substr(pg_walfile_name(pg_current_wal_lsn()), 1, 8))::bit(32)::bigint"
    " END AS term,"
    " pg_wal_lsn_diff(CASE WHEN r.in_recovery"
    " THEN GREATEST(pg_last_wal_receive_lsn(), pg_last_wal_replay_lsn())"
    " ELSE pg_current_wal_flush_lsn() END, '0/0')::bigint AS received_position,"
    " pg_wal_lsn_diff(CASE WHEN r.in_recovery"
    " THEN pg_last_wal_replay_lsn()"
    " ELSE pg_current_wal_flush_lsn() END, '0/0')::bigint AS replayed_position"
    " FROM (SELECT pg_is_in_recovery() AS in_recovery OFFSET 0) r";

template <auto Member>
void setGroupCount(const SettingValue& value, GroupSettings& settings) {
    settings.*Member = static_cast<std::uint32_t>(std::get<std::int64_t>(value));
}

/** For members whose type is one of the value's alternatives. */
template <typename Alternative, auto Member>
void setGroupValue(const SettingValue& value, GroupSettings& settings) {
    settings.*Member = std::get<Alternative>(value);
}

template <auto Member>
void setServiceDuration(const SettingValue& value, ServiceSettings& settings) {
    settings.*Member = std::get<Duration>(value);
}

void setLeavingServers(const SettingValue& value, GroupSettings& settings) {
    settings.leavingServers.clear();
    for (const std::string& name : std::get<std::vector<std::string>>(value)) {
        settings.leavingServers.emplace_back(name);
    }
}

void setFairness(const SettingValue& value, GroupSettings& settings) {
    settings.fairServices = std::get<std::string>(value) == "services";
}

void setReadRouting(const SettingValue& value, ServiceSettings& settings) {
    const bool replica = std::get<std::string>(value) == "replica";
    settings.readRouting = replica ? ReadRouting::Replica : ReadRouting::Primary;
}

void setPriority(const SettingValue& value, ServiceSettings& settings) {
    const bool urgent = std::get<std::string>(value) == "urgent";
    settings.priority = urgent ? Priority::Urgent : Priority::Ordinary;
}

void setRank(const SettingValue& value, ServiceSettings& settings) {
    settings.rank.reset();
    if (const auto* rank = std::get_if<std::int64_t>(&value)) {
        settings.rank = static_cast<std::uint32_t>(*rank);
    }
}

void setMaxStaleness(const SettingValue& value, ServiceSettings& settings) {
    settings.maxStaleness.reset();
    if (const auto* duration = std::get_if<Duration>(&value)) {
        settings.maxStaleness = *duration;
    }
}

void setColdRequests(const SettingValue& value, GroupSettings& settings) {
    settings.coldRequestsPerSecond = static_cast<double>(std::get<std::int64_t>(value));
}

void setHomeRegions(const SettingValue& value, ServiceSettings& settings) {
    settings.homeRegions.clear();
    for (const std::string& name : std::get<std::vector<std::string>>(value)) {
        settings.homeRegions.emplace_back(name);
    }
}

void setRequestKeyPolicy(const SettingValue& value, ServiceSettings& settings) {
    const bool required = std::get<std::string>(value) == "required";
    settings.requestKeyPolicy = required ? RequestKeyPolicy::Required : RequestKeyPolicy::Optional;
}

void setConnectionLimit(const SettingValue& value, ServiceSettings& settings) {
    settings.connectionLimit = static_cast<std::uint32_t>(std::get<std::int64_t>(value));
}

KeyDefinition makeKey(std::string name, KeyType type, SettingValue defaultValue, ValueRange range,
                      LevelSet levels, std::string description) {
    KeyDefinition key;
    key.name = std::move(name);
    key.type = type;
    key.defaultValue = std::move(defaultValue);
    key.range = range;
    key.levels = levels;
    key.description = std::move(description);
    return key;
}

KeyDefinition makeDuration(std::string name, Duration defaultValue, Duration minimum,
                           Duration maximum, LevelSet levels, std::string description) {
    return makeKey(std::move(name), KeyType::Duration, defaultValue,
                   {minimum.count(), maximum.count()}, levels, std::move(description));
}

/** An integer of a group. */
template <auto Member>
KeyDefinition makeCount(std::string name, std::string unit, std::int64_t defaultValue,
                        ValueRange range, std::string description) {
    KeyDefinition key = makeKey(std::move(name), KeyType::Integer, defaultValue, range,
                                kEstateAndGroup, std::move(description));
    key.unit = std::move(unit);
    key.applyToGroup = setGroupCount<Member>;
    return key;
}

KeyDefinition makeChoice(std::string name, std::string defaultValue,
                         std::vector<std::string> choices, std::string description) {
    KeyDefinition key = makeKey(std::move(name), KeyType::Enumeration, std::move(defaultValue), {},
                                kAllLevels, std::move(description));
    key.choices = std::move(choices);
    return key;
}

template <auto Member>
KeyDefinition makeServiceDuration(std::string name, Duration defaultValue, Duration minimum,
                                  Duration maximum, std::string description) {
    KeyDefinition key = makeDuration(std::move(name), defaultValue, minimum, maximum, kAllLevels,
                                     std::move(description));
    key.applyToService = setServiceDuration<Member>;
    return key;
}

template <auto Member>
KeyDefinition makeGroupDuration(std::string name, Duration defaultValue, Duration minimum,
                                Duration maximum, std::string description) {
    KeyDefinition key = makeDuration(std::move(name), defaultValue, minimum, maximum,
                                     kEstateAndGroup, std::move(description));
    key.applyToGroup = setGroupValue<Duration, Member>;
    return key;
}

void addGroupKeys(std::vector<KeyDefinition>& keys) {
    KeyDefinition servers =
        makeKey("group.servers", KeyType::ServerList, std::vector<ServerEndpoint>(), kServerCount,
                kGroupOnly, "Database servers of the group, each as name=IP:port@zone.");
    servers.applyToGroup = setGroupValue<std::vector<ServerEndpoint>, &GroupSettings::servers>;
    keys.push_back(std::move(servers));

    KeyDefinition leaving = makeKey(
        "group.leaving_servers", KeyType::NameList, std::vector<std::string>(), kServerCount,
        kGroupOnly, "Servers that are leaving. They get no new work; transactions in flight end.");
    leaving.applyToGroup = setLeavingServers;
    keys.push_back(std::move(leaving));

    KeyDefinition user =
        makeKey("group.user", KeyType::Text, std::string("coralhoist"), {1, kLongestName},
                kEstateAndGroup, "Database user of the proxies' connections.");
    user.applyToGroup = setGroupValue<std::string, &GroupSettings::user>;
    keys.push_back(std::move(user));

    KeyDefinition password =
        makeKey("group.password", KeyType::Text, std::string(), kPasswordText, kEstateAndGroup,
                "Password of group.user; empty where the servers ask for none.");
    password.secret = true;
    password.applyToGroup = setGroupValue<std::string, &GroupSettings::password>;
    keys.push_back(std::move(password));

    KeyDefinition database =
        makeKey("group.database", KeyType::Text, std::string(), kShortText, kGroupOnly,
                "Name of the database on the servers; empty means the group's name.");
    database.applyToGroup = setGroupValue<std::string, &GroupSettings::database>;
    keys.push_back(std::move(database));
}

void addStatusKeys(std::vector<KeyDefinition>& keys) {
    KeyDefinition query =
        makeKey("status.query", KeyType::Text, std::string(kDefaultStatusQuery), kQueryText,
                kEstateAndGroup,
                "Query that asks a server for its state. It returns one row: in recovery (boolean),"
                " term, received and durable log position, replayed log position (integers). The"
                " default is for PostgreSQL 15 and needs the role pg_read_all_stats.");
    query.applyToGroup = setGroupValue<std::string, &GroupSettings::statusQuery>;
    keys.push_back(std::move(query));

    keys.push_back(makeGroupDuration<&GroupSettings::statusInterval>(
        "status.interval", milliseconds(500), milliseconds(10), minutes(1),
        "Time between status samples when no statement asks for one."));
    keys.push_back(makeGroupDuration<&GroupSettings::statusTimeout>(
        "status.timeout", milliseconds(500), milliseconds(10), minutes(1),
        "A status query that is unanswered for this long counts as a failure of the server."));
}

void addRoutingKeys(std::vector<KeyDefinition>& keys) {
    KeyDefinition reads = makeChoice(
        "routing.reads", "primary", {"primary", "replica"},
        "Where statements that only read may run. With replica, a replica that has all that the"
        " session may have seen serves them, and the primary does when there is none.");
    reads.applyToService = setReadRouting;
    keys.push_back(std::move(reads));

    KeyDefinition staleness = makeDuration(
        "consistency.max_staleness", Duration(), milliseconds(0), hours(1), kAllLevels,
        "Reads may miss acknowledged writes of other sessions that are younger than this. none:"
        " reads see all acknowledged writes. A session always reads its own writes.");
    staleness.defaultValue = NoValue();
    staleness.permitsNone = true;
    staleness.applyToService = setMaxStaleness;
    keys.push_back(std::move(staleness));
}

void addHomeKeys(std::vector<KeyDefinition>& keys) {
    KeyDefinition homes =
        makeKey("placement.home_regions", KeyType::NameList, std::vector<std::string>(),
                kRegionCount, kAllLevels,
                "Regions that the statements of pooled sessions must not leave, nor what they"
                " carry. Empty: they may run in any region.");
    homes.applyToService = setHomeRegions;
    keys.push_back(std::move(homes));
}

void addWarmupKeys(std::vector<KeyDefinition>& keys) {
    KeyDefinition requests =
        makeKey("warmup.requests_per_second", KeyType::Integer, std::int64_t{0}, {0, 1000000},
                kEstateAndGroup,
                "Requests that a server of pooled sessions takes in a second from all proxies"
                " together while it is cold after its start. 0: as many as at other times.");
    requests.unit = "requests";
    requests.applyToGroup = setColdRequests;
    keys.push_back(std::move(requests));
    keys.push_back(makeGroupDuration<&GroupSettings::coldStart>(
        "warmup.duration", Duration(0), Duration(0), hours(1),
        "Time for which a server is cold after its start."));
}

void addAdmissionKeys(std::vector<KeyDefinition>& keys) {
    KeyDefinition priority =
        makeChoice("admission.priority", "ordinary", {"urgent", "ordinary"},
                   "Class of a service's statements. Urgent ones go before ordinary ones.");
    priority.applyToService = setPriority;
    keys.push_back(std::move(priority));

    KeyDefinition rank =
        makeKey("admission.rank", KeyType::Integer, NoValue(), {0, kAdmissionRanks - 1}, kAllLevels,
                "Rank of a service's statements among those of pooled sessions; lower ones go"
                " first. none: 0 where admission.priority is urgent, else 1.");
    rank.unit = "ranks";
    rank.permitsNone = true;
    rank.applyToService = setRank;
    keys.push_back(std::move(rank));

    keys.push_back(makeCount<&GroupSettings::slotsPerServer>(
        "admission.slots_per_server", "statements", 5, {1, 10000},
        "Statements that one server executes at the same time."));
    keys.push_back(makeCount<&GroupSettings::urgentReservedSlots>(
        "admission.urgent_reserved_slots", "statements", 1, {0, 9999},
        "Slots of each server that ordinary statements never take. Must be below"
        " admission.slots_per_server."));
    keys.push_back(makeCount<&GroupSettings::queueLimit>(
        "admission.queue_limit", "statements", 512, {1, 1000000},
        "Most statements that wait for a server in each class; more are refused as not run."));
    keys.push_back(makeCount<&GroupSettings::minimumShare>(
        "admission.minimum_share", "percent", 0, {0, 50},
        "Part of a group's slot time that is kept for statements of pooled sessions whose rank is"
        " not the first of those that wait, in equal parts for each rank. 0: a rank is served when"
        " nothing of those before it can be."));

    KeyDefinition fairness = makeChoice(
        "admission.fairness", "tenants", {"tenants", "services"},
        "Who takes turns for slots within a rank of pooled sessions. Tenants always do. With"
        " services, so do the services of callers without a tenant; otherwise, of their statements,"
        " the shortest go first, which serves most of them in an overload.");
    fairness.levels = kEstateAndGroup;
    fairness.applyToGroup = setFairness;
    keys.push_back(std::move(fairness));
}

void addPoolKeys(std::vector<KeyDefinition>& keys) {
    keys.push_back(makeCount<&GroupSettings::connectionsPerServer>(
        "pool.connections_per_server", "connections", 30, {1, 100000},
        "Connections that all proxies together may hold to one server."));
    keys.push_back(makeCount<&GroupSettings::concurrentConnects>(
        "pool.concurrent_connects", "connections", 2, {1, 1000},
        "Connections that one proxy opens to one server at the same time. At most"
        " pool.connections_per_server."));
    keys.push_back(makeCount<&GroupSettings::warmConnections>(
        "pool.warm_connections", "connections", 2, {0, 1000},
        "Idle connections kept open to each server, so that a new primary can serve at once. At"
        " most pool.connections_per_server."));
    keys.push_back(makeCount<&GroupSettings::activeOwners>(
        "placement.active_owners", "proxies", 1, {1, 1000},
        "Proxies that execute statements for the group at the same time. At most"
        " pool.connections_per_server together with placement.standby_owners."));
    keys.push_back(makeCount<&GroupSettings::standbyOwners>(
        "placement.standby_owners", "proxies", 1, {0, 1000},
        "Proxies that keep warm connections to take over from an active owner."));
}

void addReplicationKeys(std::vector<KeyDefinition>& keys) {
    keys.push_back(makeCount<&GroupSettings::synchronousReplicas>(
        "replication.synchronous", "replicas", 1, {0, 16},
        "Replicas that have a commit before its primary answers. Only with 1 or more does the "
        "answer"
        " to a commit prove that the primary still leads. For groups that pooled sessions use."));
}

void addTimeoutKeys(std::vector<KeyDefinition>& keys) {
    keys.push_back(makeServiceDuration<&ServiceSettings::statementTimeout>(
        "timeout.statement", seconds(10), milliseconds(1), hours(24),
        "Time from the arrival of a statement until it is refused as not run, or until its outcome"
        " is declared unknown if it was sent."));
    keys.push_back(makeServiceDuration<&ServiceSettings::latencyObjective>(
        "service.latency_objective", seconds(1), milliseconds(1), hours(24),
        "Time within which an answer is worth most to the service. How long a statement is held"
        " before it is refused follows from it."));
    keys.push_back(makeServiceDuration<&ServiceSettings::idleInTransactionTimeout>(
        "timeout.idle_in_transaction", seconds(10), milliseconds(1), hours(24),
        "Longest time without a statement inside a transaction; then it is rolled back."));
    keys.push_back(makeServiceDuration<&ServiceSettings::transactionTimeout>(
        "timeout.transaction", seconds(60), milliseconds(1), hours(24),
        "Longest duration of a transaction; then it is rolled back."));
}

void addRequestKeys(std::vector<KeyDefinition>& keys) {
    KeyDefinition policy =
        makeChoice("keys.policy", "optional", {"optional", "required"},
                   "Whether a write outside a transaction block must carry a request key. With"
                   " required, one without a key is refused as not run.");
    policy.applyToService = setRequestKeyPolicy;
    keys.push_back(std::move(policy));

    keys.push_back(makeGroupDuration<&GroupSettings::requestKeyRetention>(
        "keys.retention", hours(24), minutes(1), hours(24 * 90),
        "Request keys older than this are deleted; a later repeat counts as a new request."));

    KeyDefinition limit =
        makeKey("limits.connections", KeyType::Integer, std::int64_t{10000}, {0, 1000000},
                kAllLevels, "Most caller connections of the service on one proxy.");
    limit.unit = "connections";
    limit.applyToService = setConnectionLimit;
    keys.push_back(std::move(limit));
}

}  // namespace

std::vector<KeyDefinition> makeKeyTable() {
    std::vector<KeyDefinition> keys;
    addGroupKeys(keys);
    addRoutingKeys(keys);
    addHomeKeys(keys);
    addAdmissionKeys(keys);
    addPoolKeys(keys);
    addReplicationKeys(keys);
    addWarmupKeys(keys);
    addTimeoutKeys(keys);
    addRequestKeys(keys);
    addStatusKeys(keys);
    return keys;
}

}  // namespace coralhoist::settings

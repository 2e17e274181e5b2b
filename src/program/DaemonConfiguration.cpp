#include "program/DaemonConfiguration.h"

#include <arpa/inet.h>
#include <toml++/toml.h>

#include <algorithm>
#include <charconv>
#include <limits>
#include <optional>
#include <sstream>

#include "base/Error.h"
#include "program/PoolerKeys.h"

namespace coralhoist::program {
namespace {

constexpr std::int64_t kMaximumPort = 65535;
constexpr std::int64_t kMaximumQuotaSlack = 1000000;
constexpr double kMaximumWarmupOverrun = 100;
constexpr std::int64_t kMaximumWarmupSlack = 10'000;
constexpr double kMaximumQuotaOverrun = 1;
constexpr double kMaximumLinkMbps = 1e6;
constexpr double kMaximumProcessorShare = 1024;
constexpr std::int64_t kMaximumCallerConnections = 1000000;
constexpr std::int64_t kMinimumMessageBytes = 1024;
/** Shorter bounds would leave less than 125 ms for an answer of the store. */
constexpr std::int64_t kMinimumFreshnessBound = 1000;
constexpr std::int64_t kMaximumMessageBytes = std::int64_t{1} << 30;

Status invalid(std::string message) {
    return {ErrorCode::InvalidArgument, std::move(message)};
}

bool isIpNumber(const std::string& text) {
    in6_addr buffer{};
    return inet_pton(AF_INET, text.c_str(), &buffer) == 1 ||
           inet_pton(AF_INET6, text.c_str(), &buffer) == 1;
}

bool isName(const std::string& text) {
    return !text.empty() && text.size() <= 63 && std::all_of(text.begin(), text.end(), [](char c) {
        return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '-' || c == '_' || c == '.';
    });
}

StatusWith<SeedAddress> parseSeed(const std::string& text) {
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos) {
        return invalid("'" + text + "' is not IP:PORT");
    }
    SeedAddress seed;
    seed.host = text.substr(0, colon);
    const char* first = text.data() + colon + 1;
    const char* last = text.data() + text.size();
    const auto [end, error] = std::from_chars(first, last, seed.port);
    if (error != std::errc() || end != last || seed.port == 0 || !isIpNumber(seed.host)) {
        return invalid("'" + text + "' is not IP:PORT");
    }
    return seed;
}

template <typename Integer>
KeyDescription integerKey(std::string key, std::int64_t minimum, std::int64_t maximum,
                          std::string meaning, Integer DaemonConfiguration::*member) {
    return numberKey(std::move(key), minimum, maximum, std::move(meaning),
                     [member](DaemonConfiguration& configuration, std::int64_t value) {
                         configuration.*member = static_cast<Integer>(value);
                     });
}

KeyDescription millisecondsKey(std::string key, std::int64_t minimum, std::string meaning,
                               std::chrono::milliseconds DaemonConfiguration::*member) {
    return integerKey(std::move(key), minimum, kMaximumMilliseconds, std::move(meaning), member);
}

KeyDescription textKey(std::string key, std::string meaning,
                       std::function<Status(DaemonConfiguration&, const std::string&)> set) {
    return {std::move(key),
            ValueType::Text,
            0,
            0,
            std::move(meaning),
            [set = std::move(set)](DaemonConfiguration& configuration, const ParsedValue& value) {
                return set(configuration, value.text);
            }};
}

template <typename Name>
KeyDescription nameKey(std::string key, std::string meaning, Name DaemonConfiguration::*member) {
    return textKey(
        std::move(key), std::move(meaning),
        [member](DaemonConfiguration& configuration, const std::string& text) {
            if (!isName(text)) {
                return invalid("'" + text +
                               "' is not a name (letters, digits, '-', '_', '.'; at most 63)");
            }
            configuration.*member = Name(text);
            return Status::ok();
        });
}

Status setAddress(DaemonConfiguration& configuration, const std::string& text) {
    if (!isIpNumber(text)) {
        return invalid("'" + text + "' is not an IP number");
    }
    configuration.address = text;
    return Status::ok();
}

Status setPlatformUrl(DaemonConfiguration& configuration, const std::string& text) {
    if (!text.starts_with("http://")) {
        return invalid("'" + text + "' does not start with http://");
    }
    configuration.platformUrl = text;
    return Status::ok();
}

Status setLogLevel(DaemonConfiguration& configuration, const std::string& text) {
    StatusWith<LogLevel> level = parseLogLevel(text);
    if (!level.isOk()) {
        return level.status();
    }
    configuration.logLevel = level.value();
    return Status::ok();
}

/** @return the number that the text is, up to a maximum; nothing for any other text. */
std::optional<double> parseFactor(const std::string& text, double maximum) {
    double factor = 0;
    const char* last = text.data() + text.size();
    const auto [end, error] = std::from_chars(text.data(), last, factor);
    const bool isFactor = error == std::errc() && end == last && factor >= 0 && factor <= maximum;
    return isFactor ? std::optional(factor) : std::nullopt;
}

/** For a member that is given as text, since files may hold it with or without a fraction.
 * @param expected what the text should be, for the error. */
KeyDescription factorKey(std::string key, std::string meaning, double DaemonConfiguration::*member,
                         double maximum, std::string expected) {
    return textKey(std::move(key), std::move(meaning),
                   [member, maximum, expected = std::move(expected)](
                       DaemonConfiguration& configuration, const std::string& text) {
                       const std::optional<double> factor = parseFactor(text, maximum);
                       if (!factor) {
                           return invalid("'" + text + "' is not " + expected);
                       }
                       configuration.*member = *factor;
                       return Status::ok();
                   });
}

/** Each entry is ZONE=REGION. */
Status setZones(DaemonConfiguration& configuration, const ParsedValue& value) {
    std::map<ZoneName, RegionName> zones;
    for (const std::string& text : value.list) {
        const std::size_t separator = text.find('=');
        const std::string zone = text.substr(0, separator);
        const std::string region =
            separator == std::string::npos ? std::string() : text.substr(separator + 1);
        if (!isName(zone) || !isName(region)) {
            return invalid("'" + text + "' is not ZONE=REGION");
        }
        if (!zones.emplace(zone, region).second) {
            return invalid("'" + zone + "' is given twice");
        }
    }
    configuration.zones = std::move(zones);
    return Status::ok();
}

Status setSeeds(DaemonConfiguration& configuration, const ParsedValue& value) {
    std::vector<SeedAddress> seeds;
    for (const std::string& text : value.list) {
        StatusWith<SeedAddress> seed = parseSeed(text);
        if (!seed.isOk()) {
            return seed.status();
        }
        seeds.push_back(std::move(seed).value());
    }
    configuration.seeds = std::move(seeds);
    return Status::ok();
}

/** For a member that holds one IP:PORT. */
KeyDescription endpointKey(std::string key, std::string meaning,
                           std::optional<SeedAddress> DaemonConfiguration::*member) {
    return textKey(std::move(key), std::move(meaning),
                   [member](DaemonConfiguration& configuration, const std::string& text) {
                       StatusWith<SeedAddress> endpoint = parseSeed(text);
                       if (!endpoint.isOk()) {
                           return endpoint.status();
                       }
                       configuration.*member = std::move(endpoint).value();
                       return Status::ok();
                   });
}

std::vector<KeyDescription> makeNodeKeys() {
    return {
        nameKey("node.name", "name of this proxy, unique in the estate",
                &DaemonConfiguration::name),
        nameKey("node.region", "region of this machine", &DaemonConfiguration::region),
        nameKey("node.zone", "zone of this machine", &DaemonConfiguration::zone),
        {"node.zones", ValueType::TextList, 0, 0, "all zones of the estate, each ZONE=REGION",
         setZones},
        textKey("node.address", "IP number on which all ports listen", setAddress),
        factorKey("node.link_mbps",
                  "rate of this machine's link in Mbit/s, e.g. \"1000\"; proxies with more of link "
                  "and processor read the store for others",
                  &DaemonConfiguration::linkMbps, kMaximumLinkMbps,
                  "a rate from 0 to 1000000, such as 1000"),
        factorKey("node.processor_share", "its share of a processor, e.g. \"0.5\"",
                  &DaemonConfiguration::processorShare, kMaximumProcessorShare,
                  "a share from 0 to 1024, such as 0.5"),
        integerKey("caller.port", 0, kMaximumPort, "port for callers (0: chosen by the kernel)",
                   &DaemonConfiguration::callerPort),
        integerKey("caller.maximum_connections", 1, kMaximumCallerConnections,
                   "caller connections at once", &DaemonConfiguration::maximumConnections),
        integerKey("caller.maximum_message_bytes", kMinimumMessageBytes, kMaximumMessageBytes,
                   "largest message taken from a caller",
                   &DaemonConfiguration::maximumMessageBytes),
        millisecondsKey("caller.startup_timeout_ms", 1, "time for a caller's start-up",
                        &DaemonConfiguration::startupTimeout),
        millisecondsKey("node.drain_timeout_ms", 0,
                        "longest wait for transactions in flight at a planned stop",
                        &DaemonConfiguration::drainTimeout),
    };
}

std::vector<KeyDescription> freshnessKeys() {
    return {
        millisecondsKey("freshness.settings_bound_ms", kMinimumFreshnessBound,
                        "a change of the settings is in force after this time",
                        &DaemonConfiguration::settingsBound),
        millisecondsKey("freshness.drain_bound_ms", kMinimumFreshnessBound,
                        "a server that drains gets nothing more after this time",
                        &DaemonConfiguration::drainBound),
        millisecondsKey("freshness.evacuation_bound_ms", 0,
                        "an evacuated zone gets nothing more after this time (0: the platform "
                        "keeps no evacuations)",
                        &DaemonConfiguration::evacuationBound),
    };
}

std::vector<KeyDescription> tenantKeys() {
    return {
        millisecondsKey("tenants.revocation_bound_ms", 0,
                        "a revoked credential runs nothing after this time (0: no bound)",
                        &DaemonConfiguration::revocationBound),
        millisecondsKey("tenants.quota_window_ms", 1,
                        "time over which the units of a tenant are summed over all proxies",
                        &DaemonConfiguration::quotaWindow),
        factorKey("tenants.quota_overrun",
                  "part of a tenant's quota by which that sum may exceed it, e.g. \"0.1\"",
                  &DaemonConfiguration::quotaOverrun, kMaximumQuotaOverrun,
                  "a part from 0 to 1, such as 0.1"),
        integerKey("tenants.quota_slack", 0, kMaximumQuotaSlack,
                   "units by which that sum may exceed it besides",
                   &DaemonConfiguration::quotaSlack),
    };
}

std::vector<KeyDescription> warmupKeys() {
    return {
        factorKey(
            "warmup.overrun",
            "what a server that is cold gets in any second at most, of its rate, e.g. \"1.5\"",
            &DaemonConfiguration::warmupOverrun, kMaximumWarmupOverrun,
            "a factor from 0 to 100, such as 1.5"),
        integerKey("warmup.slack", 0, kMaximumWarmupSlack, "requests that it may get besides",
                   &DaemonConfiguration::warmupSlack),
    };
}

std::vector<KeyDescription> makeKeys() {
    std::vector<KeyDescription> keys = makeNodeKeys();
    for (KeyDescription& key : freshnessKeys()) {
        keys.push_back(std::move(key));
    }
    for (KeyDescription& key : tenantKeys()) {
        keys.push_back(std::move(key));
    }
    for (KeyDescription& key : warmupKeys()) {
        keys.push_back(std::move(key));
    }
    keys.push_back(integerKey("peer.port", 0, kMaximumPort, "TCP and UDP port for other proxies",
                              &DaemonConfiguration::peerPort));
    keys.push_back(
        {"peer.seeds", ValueType::TextList, 0, 0, "proxies (IP:PORT) to contact first", setSeeds});
    keys.push_back(integerKey("operator.port", 0, kMaximumPort, "port for coralhoistctl",
                              &DaemonConfiguration::operatorPort));
    keys.push_back(integerKey("metrics.port", 0, kMaximumPort, "HTTP port of the metrics",
                              &DaemonConfiguration::metricsPort));
    keys.push_back(
        textKey("platform.url", "base address of the platform's object API", setPlatformUrl));
    keys.push_back(endpointKey("pool.listen", "IP:PORT on which pooled sessions are served",
                               &DaemonConfiguration::poolListen));
    for (KeyDescription& key : poolerKeys()) {
        keys.push_back(std::move(key));
    }
    keys.push_back(endpointKey("readiness.listen",
                               "IP:PORT on which HTTP is asked whether this proxy takes callers",
                               &DaemonConfiguration::readinessListen));
    keys.push_back(endpointKey("promotion.address",
                               "IP:PORT at which the promotion of a server is called",
                               &DaemonConfiguration::promotionAddress));
    keys.push_back(textKey("log.level", "trace, debug, info, warning or error", setLogLevel));
    return keys;
}

const std::vector<KeyDescription>& allKeys() {
    static const std::vector<KeyDescription> keys = makeKeys();
    return keys;
}

const KeyDescription* findKey(const std::string& name) {
    const auto& keys = allKeys();
    const auto found = std::find_if(keys.begin(), keys.end(),
                                    [&name](const auto& key) { return key.key == name; });
    return found == keys.end() ? nullptr : &*found;
}

std::string rangeText(const KeyDescription& key) {
    return std::to_string(key.minimum) + " to " + std::to_string(key.maximum);
}

/** Checks the range and stores the value. `where` is "file:line" or "flag". */
Status applyValue(DaemonConfiguration& configuration, const KeyDescription& key,
                  const ParsedValue& value, const std::string& where) {
    if (key.type == ValueType::Integer &&
        (value.integer < key.minimum || value.integer > key.maximum)) {
        return invalid(where + ": " + key.key + ": " + std::to_string(value.integer) +
                       " is out of range (" + rangeText(key) + ")");
    }
    const Status status = key.set(configuration, value);
    return status.isOk() ? status : invalid(where + ": " + key.key + ": " + status.message());
}

StatusWith<ParsedValue> convertNode(const KeyDescription& key, const toml::node& node) {
    ParsedValue value;
    switch (key.type) {
        case ValueType::Integer:
            if (!node.is_integer()) {
                return invalid("must be an integer");
            }
            value.integer = node.as_integer()->get();
            return value;
        case ValueType::Text:
            if (!node.is_string()) {
                return invalid("must be a string");
            }
            value.text = node.as_string()->get();
            return value;
        case ValueType::TextList:
            break;
    }
    if (!node.is_array()) {
        return invalid("must be a list of strings");
    }
    for (const toml::node& element : *node.as_array()) {
        if (!element.is_string()) {
            return invalid("must be a list of strings");
        }
        value.list.push_back(element.as_string()->get());
    }
    return value;
}

std::string location(const std::string& file, const toml::node& node) {
    return file + ":" + std::to_string(node.source().begin.line);
}

Status applyFileEntry(DaemonConfiguration& configuration, const std::string& file,
                      const std::string& name, const toml::node& node) {
    const std::string where = location(file, node);
    const KeyDescription* key = findKey(name);
    if (key == nullptr) {
        return invalid(where + ": " + name + ": unknown key (see coralhoistd --help)");
    }
    const StatusWith<ParsedValue> value = convertNode(*key, node);
    if (!value.isOk()) {
        return invalid(where + ": " + name + ": " + value.status().message());
    }
    return applyValue(configuration, *key, value.value(), where);
}

Status applySection(DaemonConfiguration& configuration, const std::string& file,
                    const std::string& section, const toml::node& node) {
    const toml::table* entries = node.as_table();
    if (entries == nullptr) {
        return invalid(location(file, node) + ": " + section + ": unknown key outside a section");
    }
    for (const auto& [entryName, entry] : *entries) {
        const std::string name = section + "." + std::string(entryName.str());
        Status status = applyFileEntry(configuration, file, name, entry);
        if (!status.isOk()) {
            return status;
        }
    }
    return Status::ok();
}

Status applyFile(DaemonConfiguration& configuration, const std::string& file) {
    toml::table document;
    try {
        document = toml::parse_file(file);
    } catch (const toml::parse_error& error) {
        const auto line = error.source().begin.line;
        if (line == 0) {
            return {ErrorCode::NotFound,
                    file + ": can't be read: " + std::string(error.description())};
        }
        return invalid(file + ":" + std::to_string(line) + ": " + std::string(error.description()));
    }
    for (const auto& [section, node] : document) {
        Status status = applySection(configuration, file, std::string(section.str()), node);
        if (!status.isOk()) {
            return status;
        }
    }
    return Status::ok();
}

std::vector<std::string> splitList(const std::string& text) {
    std::vector<std::string> parts;
    std::istringstream stream(text);
    for (std::string part; std::getline(stream, part, ',');) {
        parts.push_back(part);
    }
    return parts;
}

Status applyOverride(DaemonConfiguration& configuration, const ConfigurationOverride& given) {
    const std::string where = "command line";
    const KeyDescription* key = findKey(given.key);
    if (key == nullptr) {
        return invalid(where + ": " + given.key + ": unknown key");
    }
    ParsedValue value;
    value.text = given.value;
    value.list = splitList(given.value);
    if (key->type == ValueType::Integer) {
        const char* last = given.value.data() + given.value.size();
        const auto [end, error] = std::from_chars(given.value.data(), last, value.integer);
        if (error != std::errc() || end != last) {
            return invalid(where + ": " + given.key + ": '" + given.value + "' is not an integer");
        }
    }
    return applyValue(configuration, *key, value, where);
}

Status checkRequired(const DaemonConfiguration& configuration, const std::string& where) {
    if (configuration.name.value().empty()) {
        return invalid(where + ": node.name: must be given");
    }
    if (configuration.platformUrl.empty()) {
        return invalid(where + ": platform.url: must be given");
    }
    return Status::ok();
}

}  // namespace

StatusWith<DaemonConfiguration> loadDaemonConfiguration(
    const std::string& file, const std::vector<ConfigurationOverride>& overrides) {
    DaemonConfiguration configuration;
    if (!file.empty()) {
        Status status = applyFile(configuration, file);
        if (!status.isOk()) {
            return status;
        }
    }
    for (const ConfigurationOverride& given : overrides) {
        Status status = applyOverride(configuration, given);
        if (!status.isOk()) {
            return status;
        }
    }
    Status status = checkRequired(configuration, file.empty() ? "command line" : file);
    if (!status.isOk()) {
        return status;
    }
    return configuration;
}

std::string describeDaemonConfiguration() {
    std::ostringstream text;
    for (const KeyDescription& key : allKeys()) {
        text << "  " << key.key << ": " << key.meaning;
        if (key.type == ValueType::Integer) {
            text << " (" << rangeText(key) << ")";
        }
        text << '\n';
    }
    return text.str();
}

}  // namespace coralhoist::program

#include "lab/experiment/ScenarioFile.h"

#include <fstream>
#include <functional>
#include <sstream>

#include "base/Error.h"
#include "lab/experiment/SectionReader.h"

namespace coralhoist::experiment {
namespace {

constexpr NumberRange kShare{0, 1};
constexpr NumberRange kRunSeconds{1, 3600};
constexpr NumberRange kOffsetSeconds{0, 3600};
constexpr NumberRange kDelayMilliseconds{0, 10000};
constexpr NumberRange kTimeoutMilliseconds{1, 600000};
constexpr NumberRange kServiceMilliseconds{0.01, 10000};
constexpr NumberRange kRate{0, 100000};
constexpr NumberRange kZones{1, 64};
constexpr NumberRange kProxies{1, 64};
constexpr NumberRange kGroups{1, 64};
constexpr NumberRange kServers{3, 9};
constexpr NumberRange kSlots{1, 1000};
constexpr NumberRange kConnections{4, 10000};

const std::map<std::string, LoadKind> kLoadKinds = {{"keyed_write", LoadKind::KeyedWrite},
                                                    {"own_read", LoadKind::OwnRead},
                                                    {"read", LoadKind::Read}};
const std::map<std::string, settings::Priority> kPriorities = {
    {"urgent", settings::Priority::Urgent}, {"ordinary", settings::Priority::Ordinary}};

std::map<std::string, FaultKind> faultKinds() {
    std::map<std::string, FaultKind> kinds;
    for (const FaultKind kind :
         {FaultKind::PrimaryCutOff, FaultKind::PrimaryCrash, FaultKind::ReplicaFarBehind,
          FaultKind::OwnerKilled, FaultKind::ConnectionStorm}) {
        kinds.emplace(faultName(kind), kind);
    }
    return kinds;
}

/** Reads the sections of one document. */
class ScenarioReader {
public:
    ScenarioReader(const toml::table& document, std::string file)
        : _document(document), _file(std::move(file)) {}

    StatusWith<Scenario> read() {
        SectionReader top(_document, _file, "");
        top.require("name");
        top.text("name", _scenario.name);
        top.seconds("duration_s", kRunSeconds, _scenario.duration);
        top.seconds("warm_up_s", kOffsetSeconds, _scenario.warmUp);
        for (const char* section : {"places", "groups", "failures", "load", "fault"}) {
            top.skip(section);
        }
        if (_scenario.warmUp >= _scenario.duration) {
            top.fail("warm_up_s", "must be less than duration_s");
        }
        keep(top.finish());
        readSection("places", [this](SectionReader& section) { readPlaces(section); });
        readSection("groups", [this](SectionReader& section) { readGroups(section); });
        readSection("failures", [this](SectionReader& section) { readFailures(section); });
        readList("load", [this](SectionReader& section) { readLoad(section); });
        readList("fault", [this](SectionReader& section) { readFault(section); });
        if (_scenario.load.empty()) {
            keep({ErrorCode::InvalidArgument, _file + ":1: load: is missing"});
        }
        if (!_fault.isOk()) {
            return _fault;
        }
        return _scenario;
    }

private:
    using Reader = std::function<void(SectionReader&)>;

    void keep(const Status& status) {
        if (_fault.isOk()) {
            _fault = status;
        }
    }

    void readTable(const toml::node& node, const std::string& name, const Reader& reader) {
        if (!node.is_table()) {
            const auto line = std::to_string(node.source().begin.line);
            keep({ErrorCode::InvalidArgument,
                  _file + ":" + line + ": " + name + ": must be a table"});
            return;
        }
        SectionReader section(*node.as_table(), _file, name);
        reader(section);
        keep(section.finish());
    }

    void readSection(const char* name, const Reader& reader) {
        if (const toml::node* node = _document.get(name)) {
            readTable(*node, name, reader);
        }
    }

    void readList(const char* name, const Reader& reader) {
        const toml::node* node = _document.get(name);
        if (node == nullptr) {
            return;
        }
        if (!node->is_array()) {
            const auto line = std::to_string(node->source().begin.line);
            keep({ErrorCode::InvalidArgument,
                  _file + ":" + line + ": " + name + ": must be a list of tables"});
            return;
        }
        for (const toml::node& element : *node->as_array()) {
            readTable(element, name, reader);
        }
    }

    void readPlaces(SectionReader& section) {
        PlacesModel& places = _scenario.places;
        section.count("zones", kZones, places.zones);
        section.count("proxies_per_zone", kProxies, places.proxiesPerZone);
        section.milliseconds("between_zones_ms", kDelayMilliseconds, places.betweenZones);
        section.milliseconds("within_zone_ms", kDelayMilliseconds, places.withinZone);
        section.milliseconds("to_clients_ms", kDelayMilliseconds, places.toClients);
    }

    void readGroups(SectionReader& section) {
        GroupsModel& groups = _scenario.groups;
        section.count("count", kGroups, groups.count);
        section.count("servers", kServers, groups.servers);
        section.count("slots", kSlots, groups.slots);
        section.count("connections", kConnections, groups.connections);
        section.milliseconds("connect_cost_ms", kDelayMilliseconds, groups.connectCost);
        section.milliseconds("election_timeout_ms", kTimeoutMilliseconds, groups.electionTimeout);
    }

    void readFailures(SectionReader& section) {
        FailuresModel& failures = _scenario.failures;
        section.milliseconds("owner_detection_ms", kTimeoutMilliseconds, failures.ownerDetection);
        section.milliseconds("caller_retry_pause_ms", kTimeoutMilliseconds,
                             failures.callerRetryPause);
        section.milliseconds("caller_patience_ms", kTimeoutMilliseconds, failures.callerPatience);
        section.milliseconds("baseline_check_interval_ms", kTimeoutMilliseconds,
                             failures.baselineCheckInterval);
    }

    void readLoad(SectionReader& section) {
        LoadClass load;
        section.require("name");
        section.require("kind");
        section.require("service_ms");
        section.text("name", load.name);
        section.choice("kind", kLoadKinds, load.kind);
        section.choice("priority", kPriorities, load.priority);
        section.number("rate_per_s", kRate, load.ratePerSecond);
        section.milliseconds("service_ms", kServiceMilliseconds, load.service);
        section.milliseconds("max_staleness_ms", kTimeoutMilliseconds, load.maxStaleness);
        section.number("read_back_share", kShare, load.readBackShare);
        section.milliseconds("read_back_delay_ms", kDelayMilliseconds, load.readBackDelay);
        section.number("read_back_token_share", kShare, load.readBackTokenShare);
        checkLoad(section, load);
        _scenario.load.push_back(std::move(load));
    }

    static void checkLoad(SectionReader& section, const LoadClass& load) {
        if (load.kind == LoadKind::OwnRead && load.ratePerSecond > 0) {
            section.fail("rate_per_s", "own readings follow writes and have no rate");
        }
        if (load.kind != LoadKind::Read && load.maxStaleness) {
            section.fail("max_staleness_ms", "only for kind \"read\"");
        }
        if (load.kind != LoadKind::KeyedWrite && load.readBackShare > 0) {
            section.fail("read_back_share", "only for kind \"keyed_write\"");
        }
    }

    void readFault(SectionReader& section) {
        FaultEvent fault;
        section.require("kind");
        section.require("at_s");
        section.choice("kind", faultKinds(), fault.kind);
        const NumberRange groups{0, static_cast<double>(_scenario.groups.count - 1)};
        section.count("group", groups, fault.group);
        section.seconds("at_s", kOffsetSeconds, fault.at);
        section.seconds("duration_s", kOffsetSeconds, fault.duration);
        section.milliseconds("lag_ms", kTimeoutMilliseconds, fault.lag);
        if (fault.at >= _scenario.duration) {
            section.fail("at_s", "must be less than the scenario's duration_s");
        }
        _scenario.faults.push_back(fault);
    }

    const toml::table& _document;
    std::string _file;
    Scenario _scenario;
    Status _fault;
};

}  // namespace

StatusWith<Scenario> parseScenario(const std::string& text, const std::string& file) {
    toml::table document;
    try {
        document = toml::parse(text, file);
    } catch (const toml::parse_error& error) {
        const auto line = std::to_string(error.source().begin.line);
        return Status(ErrorCode::InvalidArgument,
                      file + ":" + line + ": " + std::string(error.description()));
    }
    return ScenarioReader(document, file).read();
}

StatusWith<Scenario> readScenario(const std::string& path) {
    const std::ifstream stream(path);
    if (!stream) {
        return Status(ErrorCode::NotFound, path + ": can't be read");
    }
    std::ostringstream text;
    text << stream.rdbuf();
    return parseScenario(text.str(), path);
}

}  // namespace coralhoist::experiment

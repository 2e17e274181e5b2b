#include "settings/KeyDocumentation.h"

#include <boost/algorithm/string/join.hpp>
#include <boost/algorithm/string/replace.hpp>
#include <vector>

#include "settings/KeyRegistry.h"
#include "settings/SettingValue.h"

namespace coralhoist::settings {
namespace {

constexpr const char* kPageIntroduction =
    R"(<!-- Made by `coralhoistctl settings explain --markdown`; a test compares the two. Change src/settings/KeyTable.cpp. -->
# Settings

The settings form a tree: `estate`, below it one node per database group, `estate/GROUP`, and below that one node per
service, `estate/GROUP/SERVICE`. A node inherits every value from the node above and sets only what differs. Where
nothing is set, the default is in force. A service without a node of its own inherits all from its group.

`coralhoistctl settings set estate/GROUP/SERVICE KEY=VALUE` changes a value, `settings unset` removes it so that it is
inherited again, and `settings effective PATH` shows each value in force with the node that it comes from.

- A *duration* is a whole number with a unit out of `us`, `ms`, `s`, `m`, `h`, `d`: `500ms`, `10s`, `24h`.
- A *list* is written with commas between its elements: `a=10.0.0.1:5432@z1,b=10.0.0.2:5432@z2`.
- *Levels* are the nodes on which the key may be set.

An edit that breaks a rule of this page is refused and names path, key and what is wrong. If a broken document reaches
a proxy in another way, the last good one stays in force and `coralhoistctl status` lists the fault.

## Keys

| Key | Type | Default | Values | Levels | Meaning |
|---|---|---|---|---|---|
)";

constexpr const char* kPageRules = R"(
## Rules between keys

These hold for the values in force of every group. An edit that would break one for any group is refused. Two edits of
different nodes that are each allowed may break one together; then every proxy uses the value given here and
`coralhoistctl status` lists the fault.

| Rule | Used when broken |
|---|---|
| every name in `group.leaving_servers` is in `group.servers` | unknown names are ignored |
| `admission.urgent_reserved_slots` < `admission.slots_per_server` | one slot less than `admission.slots_per_server` |
| `pool.concurrent_connects` <= `pool.connections_per_server` | `pool.connections_per_server` |
| `pool.warm_connections` <= `pool.connections_per_server` | `pool.connections_per_server` |
| `placement.active_owners` + `placement.standby_owners` <= `pool.connections_per_server` | standby owners go first |
)";

constexpr const char* kPageQuery = R"(
## Default of `status.query`

For PostgreSQL 15; the user needs the role `pg_read_all_stats`.

```sql
)";

/** Longest default shown in the table. */
constexpr std::size_t kLongestShownDefault = 40;

std::string code(const std::string& text) {
    return "`" + text + "`";
}

std::string tableRow(const KeyDefinition& key) {
    const std::string text = describeDefault(key);
    const bool isShort = text.size() <= kLongestShownDefault;
    const std::vector<std::string> cells = {
        code(key.name),     typeName(key),     isShort ? code(text) : "see below",
        describeRange(key), key.levels.text(), key.description};
    return "| " + boost::join(cells, " | ") + " |\n";
}

std::string describeBounds(const KeyDefinition& key) {
    if (key.type == KeyType::Duration) {
        return formatDuration(Duration(key.range.minimum)) + " to " +
               formatDuration(Duration(key.range.maximum));
    }
    return std::to_string(key.range.minimum) + " to " + std::to_string(key.range.maximum);
}

}  // namespace

std::string typeName(const KeyDefinition& key) {
    switch (key.type) {
        case KeyType::Duration:
            return "duration";
        case KeyType::Integer:
            return "integer";
        case KeyType::Enumeration:
            return "enumeration";
        case KeyType::Text:
            return "text";
        case KeyType::NameList:
        case KeyType::ServerList:
            return "list";
    }
    return "unknown";
}

std::string describeRange(const KeyDefinition& key) {
    const std::string none = key.permitsNone ? ", or none" : "";
    switch (key.type) {
        case KeyType::Duration:
            return describeBounds(key) + none;
        case KeyType::Integer:
            return describeBounds(key) + " " + key.unit + none;
        case KeyType::Enumeration:
            return boost::join(key.choices, ", ") + none;
        case KeyType::Text:
            return describeBounds(key) + " bytes" + none;
        case KeyType::NameList:
            return describeBounds(key) + " names";
        case KeyType::ServerList:
            return describeBounds(key) + " of name=IP:port@zone";
    }
    return "unknown";
}

std::string describeDefault(const KeyDefinition& key) {
    const std::string text = formatValue(key.defaultValue);
    return text.empty() ? "(empty)" : text;
}

std::string explainKey(const KeyDefinition& key) {
    return key.name + "\n  " + key.description + "\n  type:    " + typeName(key) +
           "\n  default: " + describeDefault(key) + "\n  values:  " + describeRange(key) +
           "\n  levels:  " + key.levels.text() + "\n";
}

std::string settingsPage() {
    std::string page = kPageIntroduction;
    for (const KeyDefinition& key : KeyRegistry::instance().keys()) {
        page += tableRow(key);
    }
    page += kPageRules;
    std::string query = KeyRegistry::instance().defaultGroup().statusQuery;
    // One clause a line; the text is the same query.
    for (const char* clause :
         {" CASE", " THEN", " ELSE", " FROM (SELECT pg_is", " pg_wal_lsn_diff("}) {
        boost::replace_all(query, clause, std::string("\n") + clause);
    }
    return page + kPageQuery + query + "\n```\n";
}

}  // namespace coralhoist::settings

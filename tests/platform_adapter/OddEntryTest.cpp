/**
 * Entries of another writer: any value in any field of any kind.
 *
 * Run by hand with CORALHOIST_ODD_ENTRIES under the address and undefined-behaviour sanitizers;
 * each entry is read, packed for another node, and unpacked there.
 */
#include <CppUTest/TestHarness.h>

#include <QJsonArray>
#include <QJsonDocument>
#include <array>
#include <cstdlib>
#include <limits>
#include <string>
#include <vector>

#include "base/SystemTime.h"
#include "link/store/ObjectPacking.h"
#include "platform/PlatformCodec.h"
#include "platform/StoreProtocol.h"

namespace coralhoist::platform_adapter {
namespace {

constexpr std::uint64_t kEntries = 20000;

/** Valid entries of each kind, of which one value is replaced. */
const std::array<const char*, 5> kSpecs{
    R"({"service":"g1","addr":"10.0.0.1:80","zone":"z","version":"v1","slots":3,"state":"ready",
        "cold_left_ms":0,"db_role":"replica","seq":4,"born":1756549200123})",
    R"({"zone":"z","addr":"10.0.0.1:80","capacity":5,"replaced_version":3})",
    R"({"phase":"promoting","holder":"n/1","successor":"s1","term":4,"base_term":3,
        "base_position":77,"renewals":7,"written_in":1,"confirmed_in":1,"members":["s1"],
        "departed":["s2"],"departed_term":3,"departed_position":9,"leases_expired":true})",
    R"({"leader":"n1","leader_life":"1","standby":"n2","standby_life":"2","renewals":1,
        "written_in":1,"tenants":{"t":{"counting":[1,2],"allowance":3}},"deputies":[]})",
    R"({"version":7,"limits":{"tx_idle_ms":900},"services":[{"name":"g","max_conns":5,
        "sync_replicas":1,"cold_per_s":3,"cold_start_s":2}],"routes":[{"host":"h","service":"g",
        "kind":"primary","timeout_ms":800,"target_ms":90,"max_staleness_ms":5,"priority":1}],
        "tenants":[{"name":"t","rate_per_s":5,"burst":2,"api_keys":["k"]}]})"};

class OddValues {
public:
    explicit OddValues(std::uint64_t seed) : _random(seed) {}

    std::string draw() {
        static const std::vector<std::string> kFixed{"null",
                                                     "true",
                                                     "{}",
                                                     "[]",
                                                     "\"\"",
                                                     "-1",
                                                     "0",
                                                     "0.5",
                                                     "1e400",
                                                     "-1e400",
                                                     "1e300",
                                                     "-1e300",
                                                     "1e-400",
                                                     "9223372036854775807",
                                                     "9223372036854775808",
                                                     "18446744073709551616",
                                                     "4294967296",
                                                     "65536",
                                                     "-9223372036854775808",
                                                     "1.7976931348623157e308",
                                                     R"("\ud800")",
                                                     R"("\u0000")",
                                                     R"("10.0.0.1:65536")",
                                                     R"("10.0.0.1:0")",
                                                     R"("1:80")",
                                                     R"("[::1]:80")",
                                                     R"("10.0.0.1:-1")",
                                                     R"("10.0.0.1:99999999999999999999")",
                                                     R"("999.0.0.1:80")",
                                                     R"({"a":1,"a":2})"};
        switch (_random.below(6)) {
            case 0:
                return nested(1 + _random.below(1100));
            case 1:
                return std::string(1 + _random.below(5000), '9');
            case 2:
                return '"' + std::string(_random.below(3000), 'x') + '"';
            default:
                return kFixed[_random.below(kFixed.size())];
        }
    }

    std::uint64_t below(std::uint64_t bound) { return _random.below(bound); }

private:
    std::string nested(std::uint64_t depth) {
        const bool objects = _random.below(2) == 0;
        std::string value;
        for (std::uint64_t level = 0; level < depth; ++level) {
            value += objects ? R"({"a":)" : "[";
        }
        value += "1";
        for (std::uint64_t level = 0; level < depth; ++level) {
            value += objects ? "}" : "]";
        }
        return value;
    }

    SeededRandom _random;
};

/** @return where the values of the text's keys begin and end; values that are texts or numbers. */
std::vector<std::pair<std::size_t, std::size_t>> valuesIn(const std::string& spec) {
    std::vector<std::pair<std::size_t, std::size_t>> values;
    for (std::size_t colon = spec.find("\":"); colon != std::string::npos;
         colon = spec.find("\":", colon + 2)) {
        const std::size_t start = colon + 2;
        std::size_t end = start + 1;
        if (spec[start] == '"') {
            end = spec.find('"', start + 1) + 1;
        } else {
            end = spec.find_first_of(",}]", start);
        }
        if (spec[start] != '{' && spec[start] != '[') {
            values.emplace_back(start, end);
        }
    }
    return values;
}

std::string itemOf(const std::string& name, const std::string& spec) {
    return R"({"meta":{"name":")" + name + R"(","revision":5},"spec":)" + spec + "}";
}

TEST_GROUP(OddEntry) {
    PlatformCodec codec;
    StoreProtocol protocol;

    store::StoredObject objectOf(const std::string& spec) const {
        store::StoredObject object;
        object.name = "x";
        object.version = {0, 5};
        object.content = QJsonDocument::fromJson(QByteArray::fromStdString(spec)).object();
        return object;
    }

    /** Reads the entry as each kind, and hands it on to another node. */
    void readAsEachKind(const store::StoredObject& object) const {
        (void)codec.readServer(object);
        codec.readNode(object);
        codec.readPromotion(object);
        codec.readQuotaShard(object);
        codec.readEstate(object);
        const auto handedOn = store::unpackContent(store::packContent(object.content));
        CHECK_TRUE(handedOn.has_value());
        CHECK_TRUE(*handedOn == object.content);
    }
};

/** Guards against an entry that hides others, or that can't be handed on once it was read. */
TEST(OddEntry, AnyValueInAnyFieldIsBorne) {
    const char* given = std::getenv("CORALHOIST_ODD_ENTRIES");
    const std::uint64_t entries = given != nullptr ? std::strtoull(given, nullptr, 10) : kEntries;
    OddValues values(11);
    for (std::uint64_t entry = 0; entry < entries; ++entry) {
        std::string spec = kSpecs[values.below(kSpecs.size())];
        const auto places = valuesIn(spec);
        const auto [start, end] = places[values.below(places.size())];
        spec.replace(start, end - start, values.draw());
        const std::string body = R"({"items":[)" + itemOf("a", "{}") + "," + itemOf("x", spec) +
                                 "," + itemOf("b", "{}") + R"(],"has_more":false,"at":9})";
        socket::HttpAnswer answer;
        answer.body = body;
        const auto page = protocol.readPage(answer);
        CHECK_TRUE(page.has_value());
        CHECK_TRUE(page->objects.size() >= 2);
        STRCMP_EQUAL("a", page->objects.front().name.c_str());
        STRCMP_EQUAL("b", page->objects.back().name.c_str());
        for (const store::StoredObject& object : page->objects) {
            readAsEachKind(object);
        }
    }
}

/** Guards against times and rates outside the range of their types, whose conversion is undefined.
 */
TEST(OddEntry, SettingsKeepTheirRanges) {
    const auto image = codec.readEstate([] {
        store::StoredObject object;
        object.name = "main";
        object.content = QJsonDocument::fromJson(R"({"version":7,"limits":{"tx_idle_ms":1e300},
            "services":[{"name":"g","cold_per_s":1e300,"cold_start_s":1e300}],"routes":[]})")
                             .object();
        return object;
    }());
    CHECK_TRUE(image.has_value());
    CHECK_TRUE(*image->idleInTransactionTimeout > Duration(0));
    CHECK_TRUE(*image->groups[0].coldRequestsPerSecond > 1'000'000);
    CHECK_TRUE(*image->groups[0].coldStart > Duration(0));
}

/** Guards against a term or a counter below zero that becomes the highest one there is. */
TEST(OddEntry, APromotionRecordHasNaturalNumbers) {
    for (const char* field : {"term", "base_term", "base_position", "renewals", "written_in",
                              "confirmed_in", "departed_term", "departed_position"}) {
        store::StoredObject object = objectOf(kSpecs[2]);
        CHECK_TRUE(codec.readPromotion(object).has_value());
        for (const QJsonValue& odd : {QJsonValue(-1), QJsonValue(1e300), QJsonValue("4")}) {
            object.content[field] = odd;
            CHECK_FALSE(codec.readPromotion(object).has_value());
        }
    }
}

/** Guards against servers and proxies that nothing can connect to. */
TEST(OddEntry, AddressesAreNumbersThatCanBeConnectedTo) {
    for (const char* address : {"1:80", "127.1:80", "[::1]:80", "::1:80", "10.0.0.1:0",
                                "10.0.0.1:65536", "10.0.0.1:-1", "10.0.0.1:", "host:80"}) {
        store::StoredObject server = objectOf(kSpecs[0]);
        store::StoredObject node = objectOf(kSpecs[1]);
        CHECK_TRUE(codec.readServer(server).isOk());
        CHECK_TRUE(codec.readNode(node).has_value());
        server.content["addr"] = address;
        node.content["addr"] = address;
        CHECK_FALSE(codec.readServer(server).isOk());
        CHECK_FALSE(codec.readNode(node).has_value());
    }
}

}  // namespace
}  // namespace coralhoist::platform_adapter

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <cstdlib>
#include <string>

#include "base/SystemTime.h"
#include "platform/ServerEntry.h"
#include "platform/StoreProtocol.h"

namespace coralhoist::platform_adapter {
namespace {

/** Mutated bodies in one run; by hand CORALHOIST_FUZZ_BODIES. */
constexpr std::uint64_t kBodies = 20000;

std::string entry(const std::string& name, const std::string& spec) {
    return R"({"meta":{"name":")" + name + R"(","revision":5},"spec":)" + spec + "}";
}

std::string server(const std::string& name) {
    return entry(name, R"({"service":"g1","addr":"10.0.0.1:80","zone":"z","version":"v1","slots":3,
        "state":"ready","cold_left_ms":0,"db_role":"replica","seq":4,"born":1756549200123})");
}

std::string page(const std::string& items) {
    return R"({"items":[)" + items + R"(],"has_more":false,"at":9})";
}

socket::HttpAnswer answerOf(const std::string& body) {
    socket::HttpAnswer answer;
    answer.body = body;
    return answer;
}

TEST_GROUP(StoreBody) {
    StoreProtocol protocol;

    /** @return names of the page's objects that are servers; "none" where there is no page. */
    std::string serversOf(const std::string& body) const {
        const auto read = protocol.readPage(answerOf(body));
        if (!read) {
            return "none";
        }
        std::string names;
        for (const store::StoredObject& object : read->objects) {
            if (ServerEntry(object).read().isOk()) {
                names += object.name + " ";
            }
        }
        return names;
    }
};

/** One item's bytes took the whole list away, and with it every server, for ever. */
TEST(StoreBody, AnItemThatCantBeReadHidesNoOther) {
    const std::string deep = std::string(2000, '[') + std::string(2000, ']');
    for (const std::string& broken :
         {entry("x", "{\"service\":\"\xFF\xFE\x80\"}"), entry("\xC3\x28", "{}"), entry("x", deep),
          entry("x", R"({"slots":1e})"), entry("x", R"({"a":"\q"})"),
          entry("x", "{\"a\":\"\x01\"}"), entry("x", "nul"), std::string("17"), std::string("[]"),
          std::string(R"({"meta":5})")}) {
        STRCMP_EQUAL("a b ",
                     serversOf(page(server("a") + "," + broken + "," + server("b"))).c_str());
    }
}

TEST(StoreBody, AnEventThatCantBeReadHidesNoOther) {
    const auto event = [](const std::string& object) {
        return R"({"object":)" + object + R"(,"expired":false})";
    };
    const auto events = protocol.readEvents(answerOf(R"({"events":[)" + event(server("a")) + "," +
                                                     event(entry("x", "{\"a\":\"\xFF\"}")) + "," +
                                                     event(server("b")) + R"(],"at":9})"));
    CHECK_TRUE(events.has_value());
    UNSIGNED_LONGS_EQUAL(3, events->events.size());
    STRCMP_EQUAL("b", events->events[2].object.name.c_str());
    UNSIGNED_LONGS_EQUAL(9, events->version.revision);
}

TEST(StoreBody, ABodyThatIsCutShortIsNoBody) {
    const std::string whole = page(server("a") + "," + entry("x", "{\"a\":\"\xFF\"}"));
    for (std::size_t length = 0; length < whole.size(); ++length) {
        STRCMP_EQUAL("none", serversOf(whole.substr(0, length)).c_str());
    }
}

/**
 * Guards against a list that ends or fails for ever behind an entry with an odd name: the name
 * stands in the request for the next page.
 */
TEST(StoreBody, AnOddNameDoesNotEndTheList) {
    for (const std::string& name :
         {std::string("a b"), std::string("a&watch=1"), std::string("a\r\nConnection: close\r\n"),
          std::string("a#%")}) {
        for (const std::string& target : {protocol.listCall("servers", name).target,
                                          protocol.recentListCall("servers", name).target,
                                          protocol.readCall("servers", name).target}) {
            CHECK_TRUE(target.find_first_of(" \r\n#") == std::string::npos);
            CHECK_TRUE(target.find("&watch") == std::string::npos);
        }
    }
    STRCMP_EQUAL("/objects/servers?after=i-7f_3.a~1",
                 protocol.listCall("servers", "i-7f_3.a~1").target.c_str());
}

/** Guards against a page without a readable item that passes for the end of the list. */
TEST(StoreBody, APageWithoutAReadableItemEndsNoList) {
    const std::string odd = entry("x", R"({"slots":1e400})");
    CHECK_FALSE(protocol.readPage(answerOf(R"({"items":[)" + odd + R"(],"has_more":true,"at":9})"))
                    .has_value());
    CHECK_TRUE(protocol.readPage(answerOf(page(odd))).has_value());
}

/** Bytes of one item are changed at random; the others are read all the same unless the change
 * touches what holds the list together. */
TEST(StoreBody, MutatedItemsBreakNothing) {
    const char* given = std::getenv("CORALHOIST_FUZZ_BODIES");
    const std::uint64_t bodies = given != nullptr ? std::strtoull(given, nullptr, 10) : kBodies;
    SeededRandom random(7);
    for (std::uint64_t body = 0; body < bodies; ++body) {
        std::string item = server("x");
        for (std::uint64_t changes = 1 + random.below(4); changes > 0; --changes) {
            item[random.below(item.size())] = static_cast<char>(random.below(256));
        }
        const bool keepsBounds = std::count(item.begin(), item.end(), '"') % 2 == 0 &&
                                 item.find_first_of("\\[]") == std::string::npos &&
                                 std::count(item.begin(), item.end(), '{') == 3 - 1 &&
                                 std::count(item.begin(), item.end(), '}') == 3 - 1 &&
                                 item.front() == '{' && item.back() == '}';
        const std::string found = serversOf(page(server("a") + "," + item + "," + server("b")));
        if (keepsBounds) {
            CHECK_TRUE(found.starts_with("a "));
            CHECK_TRUE(found.ends_with("b "));
        }
    }
}

/** Whole bodies of any bytes are read or refused, and never more. */
TEST(StoreBody, AnyBytesAreBorne) {
    SeededRandom random(8);
    const std::string whole = page(server("a") + "," + server("b"));
    for (std::uint64_t body = 0; body < kBodies; ++body) {
        std::string mutated = whole;
        for (std::uint64_t changes = 1 + random.below(8); changes > 0; --changes) {
            mutated[random.below(mutated.size())] = static_cast<char>(random.below(256));
        }
        protocol.readPage(answerOf(mutated));
        protocol.readEvents(answerOf(mutated));
        protocol.readObject(answerOf(mutated));
    }
}

}  // namespace
}  // namespace coralhoist::platform_adapter

#include <CppUTest/TestHarness.h>

#include "pooling/ConnectionAlignment.h"

namespace coralhoist::pooling {
namespace {

constexpr std::size_t kBound = 2;

TEST_GROUP(ConnectionAlignment) {
    ServerConnection connection;
};

TEST(ConnectionAlignment, SetsOnlyWhatDiffers) {
    connection.values = {{"a", "1"}, {"b", "2"}};
    const auto commands = alignValues(connection, {{"a", "1"}, {"b", "3"}}, kBound);
    UNSIGNED_LONGS_EQUAL(1, commands.size());
    STRCMP_EQUAL("b", commands[0].name.c_str());
    STRCMP_EQUAL("3", connection.values.at("b").c_str());
    UNSIGNED_LONGS_EQUAL(1, connection.awaited.size());
}

TEST(ConnectionAlignment, ForeignValuesAreReset) {
    connection.values = {{"a", "1"}};
    connection.prepared = {"p1"};
    const auto commands = alignValues(connection, {{"b", "2"}}, kBound);
    UNSIGNED_LONGS_EQUAL(2, commands.size());
    CHECK_TRUE(ServerCommand::Kind::Reset == commands[0].kind);
    CHECK_TRUE(connection.prepared.empty());
}

TEST(ConnectionAlignment, NothingIsResetInsideATransaction) {
    connection.pinned = true;
    connection.prepared = {"p1", "p2", "p3"};
    CHECK_TRUE(alignValues(connection, {}, kBound).empty());
}

TEST(ConnectionAlignment, AShapeIsPreparedOnce) {
    std::vector<ServerCommand> commands;
    const PreparedShape shape{ShapeKind::Write, "q2c", "p7"};
    alignPrepared(connection, shape, commands);
    alignPrepared(connection, shape, commands);
    UNSIGNED_LONGS_EQUAL(1, commands.size());
    STRCMP_EQUAL("p7", commands[0].name.c_str());
}

}  // namespace
}  // namespace coralhoist::pooling

// Whether a stream of server-sent events stands between two events or inside one.
#include "core/eventboundary.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

using namespace KingCup;

namespace
{

struct Text {
    std::string bytes;
    bool isBetweenEvents;
    std::uint64_t events;
};

auto readInPieces(const std::string &bytes, std::size_t piece) -> EventBoundary
{
    EventBoundary boundary;
    for (std::size_t from = 0; from < bytes.size(); from += piece) {
        boundary.feed(std::string_view(bytes).substr(from, piece));
    }
    return boundary;
}

} // namespace

TEST_CASE("a stream of events is inside an event until the blank line at the event's end is complete")
{
    // Guards against a stream that is taken for complete although its last event lacks a byte.
    const std::vector<Text> texts {
        {"", true, 0},
        {"d", false, 0},
        {"data: a", false, 0},
        {"data: a\n", false, 0},
        {"data: a\n\n", true, 1},
        {"data: a\r", false, 0},
        {"data: a\r\n", false, 0},
        {"data: a\r\n\r", false, 0},
        {"data: a\r\n\r\n", true, 1},
        {"data: a\r\n\n", true, 1},
        {"id: 1\rdata: a\r", false, 0},
        {"id: 1\rdata: a\r\r", true, 1},
        {"id: 1\rdata: a\r\rid: 2\r", false, 1},
        {"id: 1\rdata: a\r\r\n", true, 1},
        {"data: a\n\nid: 2\n\ndata: c\n\n", true, 3},
        {"data: a\n\nid: 2\n\ndata: c\n", false, 2},
    };
    for (const auto &text : texts) {
        for (std::size_t piece = 1; piece <= std::max(text.bytes.size(), std::size_t {1}); ++piece) {
            INFO("\"" << text.bytes << "\" in pieces of " << piece);
            const auto boundary = readInPieces(text.bytes, piece);
            CHECK(boundary.isBetweenEvents() == text.isBetweenEvents);
            CHECK(boundary.events() == text.events);
        }
    }
}

TEST_CASE("comments and additional blank lines after an event belong to no event")
{
    // Guards against a complete stream that is taken for broken off because it ends with a heartbeat.
    for (const auto *text : {"data: a\n\n: note\n", "data: a\n\n:\n", "data: a\n\n\n", "data: a\r\n\r\n\r\n", "data: a\n\n: note\n\n"}) {
        INFO("\"" << text << "\"");
        EventBoundary boundary;
        boundary.feed(text);
        CHECK(boundary.isBetweenEvents());
        CHECK(boundary.events() == 1);
    }
    EventBoundary cut;
    cut.feed("data: a\n\n: no");
    CHECK_FALSE(cut.isBetweenEvents());
}

TEST_CASE("advance stops at each position between two events")
{
    const std::string text = "data: a\n\n: note\ndata: b\r\n\r\ndata: c";
    EventBoundary boundary;
    std::vector<std::string> parts;
    for (std::string_view left = text; !left.empty();) {
        const auto read = boundary.advance(left);
        parts.emplace_back(left.substr(0, read));
        left.remove_prefix(read);
    }
    CHECK(parts == std::vector<std::string> {"data: a\n\n", ": note\n", "data: b\r\n\r\n", "data: c"});
}

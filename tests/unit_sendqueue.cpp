// Tests of the bytes that wait to be sent: their order, and that large bodies are shared.
#include "net/sendqueue.h"

#include "core/releasetext.h"

#include <catch2/catch.hpp>

using namespace KingCup;

namespace
{

/// Takes everything out, at most `step` bytes at a time.
auto drained(SendQueue &queue, std::size_t step) -> std::string
{
    std::string all;
    while (!queue.isEmpty()) {
        const auto bytes = queue.front().substr(0, step);
        all.append(bytes);
        queue.removeFront(bytes.size());
    }
    return all;
}

} // namespace

TEST_CASE("bytes leave a queue in the order in which they came, whatever their pieces")
{
    for (const std::size_t step : {1UL, 1000UL, 1000000UL}) {
        SendQueue queue;
        const std::string large(150'000, 'l');
        queue.append("head");
        queue.appendShared(SharedBytes("shared"));
        queue.append(large);
        queue.append("tail");
        CHECK(queue.size() == 14 + large.size());
        CHECK(drained(queue, step) == "headshared" + large + "tail");
        CHECK(queue.size() == 0);
        CHECK(queue.front().empty());
    }
}

TEST_CASE("a shared body isn't copied while it waits to be sent")
{
    // Guards against a body that stands several times in memory.
    const SharedBytes body(std::string(100'000, 'b'));
    SendQueue queue;
    queue.appendShared(body);
    CHECK(queue.front().data() == body.view().data());
}

TEST_CASE("a body is moved out of its last holder and copied for others")
{
    SharedBytes first(std::string(100'000, 'b'));
    const auto *data = first.view().data();
    SharedBytes second = first;
    CHECK(second.take().data() != data);
    CHECK(second.isEmpty());
    CHECK(first.take().data() == data);
}

TEST_CASE("a released text holds no memory")
{
    // Guards against std::string, which keeps its memory when it is assigned an empty text.
    std::string text(100'000, 'x');
    releaseText(text);
    CHECK(text.empty());
    CHECK(text.capacity() < 100);
}

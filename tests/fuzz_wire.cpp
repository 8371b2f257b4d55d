// Robustness of an agent's port against arbitrary bytes in pieces of any size. The number of rounds and the seeds are fixed, so that every
// run is the same.
#include "kingcup/wire.pb.h"
#include "net/eventloop.h"
#include "wire/framing.h"
#include "wire/session.h"

#include <catch2/catch.hpp>
#include <random>

using namespace KingCup;

namespace
{

constexpr int Rounds = 3000;
constexpr std::size_t MaxMessage = 2000;

auto randomBytes(std::mt19937 &random, std::size_t maxSize) -> std::string
{
    std::string bytes(random() % (maxSize + 1), '\0');
    for (auto &byte : bytes) {
        byte = static_cast<char>(random());
    }
    return bytes;
}

auto messageOf(const std::string &body) -> kingcup::wire::Data
{
    kingcup::wire::Data data;
    data.set_body(body);
    return data;
}

/// The bytes that a client session sends for one stream with a few messages.
auto clientBytes(EventLoop &loop, std::mt19937 &random) -> std::string
{
    const auto session = std::make_shared<PeerSession>(loop, SessionRole::Client, PeerOptions {}, SessionHooks {});
    const auto stream = session->open("/request");
    for (unsigned i = random() % 4; i > 0; --i) {
        stream->send(messageOf(randomBytes(random, 500)));
    }
    stream->finish();
    std::string bytes(64U << 10U, '\0');
    bytes.resize(session->fill(reinterpret_cast<unsigned char *>(bytes.data()), bytes.size()));
    session->breakStreams();
    return bytes;
}

auto damage(std::mt19937 &random, std::string &bytes) -> void
{
    for (unsigned i = 1 + random() % 5; i > 0 && !bytes.empty(); --i) {
        const auto at = random() % bytes.size();
        switch (random() % 3) {
        case 0:
            bytes[at] = static_cast<char>(random());
            break;
        case 1:
            bytes.erase(at, random() % 20);
            break;
        default:
            bytes.insert(at, randomBytes(random, 20));
        }
    }
}

} // namespace

TEST_CASE("fuzz: messages are read as they were written, in pieces of any size")
{
    std::mt19937 random(1);
    for (int round = 0; round < Rounds; ++round) {
        std::vector<std::string> sent;
        std::string bytes;
        for (unsigned i = random() % 5; i > 0; --i) {
            sent.push_back(randomBytes(random, 300));
            appendMessage(bytes, messageOf(sent.back()));
        }
        MessageReader reader(MaxMessage);
        std::vector<std::string> got;
        for (std::size_t at = 0; at < bytes.size();) {
            const std::size_t size = 1 + random() % 100;
            reader.append(std::string_view(bytes).substr(at, size));
            at += size;
            for (auto message = reader.take(); message.state == FramingState::Message; message = reader.take()) {
                kingcup::wire::Data data;
                REQUIRE(data.ParseFromArray(message.bytes.data(), static_cast<int>(message.bytes.size())));
                got.push_back(data.body());
            }
        }
        REQUIRE(got == sent);
        REQUIRE(reader.bufferedBytes() == 0);
    }
}

TEST_CASE("fuzz: a reader of random bytes returns no message over its limit and never buffers more than it was given")
{
    std::mt19937 random(2);
    for (int round = 0; round < Rounds; ++round) {
        MessageReader reader(MaxMessage);
        std::size_t given = 0;
        std::size_t taken = 0;
        auto state = FramingState::Incomplete;
        for (int piece = 0; piece < 20 && state != FramingState::Malformed; ++piece) {
            const auto bytes = randomBytes(random, 200);
            reader.append(bytes);
            given += bytes.size();
            auto message = reader.take();
            for (; message.state == FramingState::Message; message = reader.take()) {
                REQUIRE(message.bytes.size() <= MaxMessage);
                taken += message.bytes.size();
            }
            state = message.state;
            REQUIRE(taken + reader.bufferedBytes() <= given);
        }
    }
}

TEST_CASE("fuzz: a server's session survives damaged bytes, and each stream ends once")
{
    std::mt19937 random(3);
    EventLoop loop;
    int faults = 0;
    for (int round = 0; round < Rounds; ++round) {
        int opened = 0;
        int ended = 0;
        SessionHooks hooks;
        hooks.onStream = [&](const PeerStreamPtr &stream) {
            ++opened;
            stream->onEnd = [&](StreamEnd) {
                ++ended;
            };
            stream->onMessage = [weak = std::weak_ptr(stream)](std::string_view) {
                weak.lock()->send(messageOf("answer"));
            };
        };
        const auto session = std::make_shared<PeerSession>(loop, SessionRole::Server, PeerOptions {.maxMessage = MaxMessage}, std::move(hooks));
        auto bytes = clientBytes(loop, random);
        damage(random, bytes);
        bool fine = true;
        for (std::size_t at = 0; at < bytes.size() && fine; at += 100) {
            fine = session->receive(std::string_view(bytes).substr(at, 100));
        }
        std::string out(64U << 10U, '\0');
        session->fill(reinterpret_cast<unsigned char *>(out.data()), out.size());
        session->breakStreams();
        REQUIRE(ended == opened);
        faults += fine ? 0 : 1;
    }
    REQUIRE(faults > 0);
    REQUIRE(faults < Rounds);
}

// A fake request stream for unit tests.
#pragma once

#include "wire/messages.h"
#include "wire/peer.h"

#include <memory>
#include <string>
#include <vector>

namespace KingCup
{

/// A request stream whose remote side is the test: it acts as the agent towards a gateway's code, or as the gateway towards an agent's.
class PlayedStream : public PeerStream
{
public:
    auto path() const -> const std::string & override
    {
        return m_path;
    }
    auto isOpen() const -> bool override
    {
        return true;
    }
    auto pendingBytes() const -> std::size_t override
    {
        return 0;
    }
    auto send(const google::protobuf::MessageLite &message) -> void override
    {
        const auto text = message.SerializeAsString();
        Wire::EntryFrame asEntry;
        Wire::AgentFrame asAgent;
        if (asEntry.ParseFromString(text)) {
            sent.push_back(asEntry);
        }
        if (asAgent.ParseFromString(text)) {
            answers.push_back(asAgent);
        }
    }
    auto finish() -> void override
    {
    }
    auto reset() -> void override
    {
    }
    auto refuse() -> void override
    {
    }
    auto pause() -> void override
    {
    }
    auto resume() -> void override
    {
    }
    auto chargeTo(std::shared_ptr<CallerLoad> /*load*/) -> void override
    {
    }

    auto answerHead(const std::string &type) -> void
    {
        Wire::AgentFrame frame;
        frame.mutable_head()->set_status(200);
        auto *header = frame.mutable_head()->add_headers();
        header->set_name("content-type");
        header->set_value(type);
        answer(frame);
    }
    auto answerData(const std::string &body) -> void
    {
        Wire::AgentFrame frame;
        frame.mutable_data()->set_body(body);
        answer(frame);
    }
    auto answerEnd(Wire::Outcome outcome, const std::string &code) -> void
    {
        Wire::AgentFrame frame;
        frame.mutable_end()->set_outcome(outcome);
        frame.mutable_end()->set_code(code);
        answer(frame);
    }

    auto ask(const Wire::Open &open) -> void
    {
        Wire::EntryFrame frame;
        *frame.mutable_open() = open;
        answer(frame);
    }

    std::vector<Wire::EntryFrame> sent; ///< the messages that were sent, parsed as those of a gateway
    std::vector<Wire::AgentFrame> answers; ///< the messages that were sent, parsed as those of an agent

private:
    auto answer(const google::protobuf::MessageLite &frame) -> void
    {
        const auto hook = onMessage; // a copy: the hook may destroy this stream
        hook(frame.SerializeAsString());
    }
    std::string m_path = "/request";
};

} // namespace KingCup

// The form of an answer of a fake runner: how it is framed, and where and how it ends.
#pragma once

#include "answers.h"
#include "platformwire.h"
#include "simclock.h"

#include <string>
#include <vector>

namespace KingCup
{

struct AnswerForm {
    std::string framing = "chunked"; ///< "chunked", "length", or "connection": ends with its connection
    std::string lineEnd = "\n"; ///< of events
    int events = -1; ///< complete events of a stream that are sent; -1: all
    std::string cut = "none"; ///< what follows them: "inside": a part of the next event or, of a plain answer, half of it; "line-ends": an event without its
                              ///< second line end
    std::string end = "complete"; ///< "complete": by the rules of its framing, as if nothing were missing; "close", "reset"; "silence": it doesn't end
    int headBytes = -1; ///< the answer ends after this many bytes of its head, at the latest before its last one; -1: the whole head is sent
    int headLines = -1; ///< the answer ends after this many lines of its head, at the latest before its blank line; -1: the whole head is sent
    bool hasInterimAnswer = false; ///< an interim answer comes first
    std::string contentType = "text/event-stream"; ///< of a stream

    auto sentPart(const std::string &body) const -> std::string; ///< what is sent of a plain answer
    auto sentPart(const std::vector<std::string> &stream) const -> std::string; ///< what is sent of the events of a stream
};

/// The fields that are missing keep their defaults.
auto answerFormOf(const Json &command) -> AnswerForm;

/// Answers with `whole`, of which `sent` is sent, and ends the answer after `endsAfter`.
auto answerInForm(SimClock &clock,
                  const RawConnectionPtr &connection,
                  const AnswerForm &form,
                  HttpHeaders headers,
                  const std::string &whole,
                  const std::string &sent,
                  Duration endsAfter) -> void;

} // namespace KingCup

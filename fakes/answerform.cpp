#include "answerform.h"

#include <algorithm>
#include <numeric>
#include <optional>

namespace KingCup
{

namespace
{

constexpr auto InterimAnswer = "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n";

/// The beginning of the head where the form ends the answer within it; nothing if it is sent whole.
auto cutHead(const AnswerForm &form, const std::string &head) -> std::optional<std::string>
{
    if (form.headBytes >= 0) {
        return head.substr(0, std::min(static_cast<std::size_t>(form.headBytes), head.size() - 1));
    }
    if (form.headLines < 0) {
        return std::nullopt;
    }
    std::size_t end = 0;
    for (int i = 0; i < form.headLines && end + 2 < head.size(); ++i) {
        end = head.find("\r\n", end) + 2;
    }
    return head.substr(0, std::min(end, head.size() - 2));
}

} // namespace

auto AnswerForm::sentPart(const std::string &body) const -> std::string
{
    return cut == "none" ? body : body.substr(0, body.size() / 2);
}

auto AnswerForm::sentPart(const std::vector<std::string> &stream) const -> std::string
{
    const auto whole = events < 0 ? stream.size() : std::min(static_cast<std::size_t>(events), stream.size());
    auto sent = std::accumulate(stream.begin(), stream.begin() + static_cast<std::ptrdiff_t>(whole), std::string());
    if (cut != "none" && whole < stream.size()) {
        const auto &next = stream[whole];
        sent += next.substr(0, cut == "inside" ? next.size() / 2 : next.size() - lineEnd.size());
    }
    return sent;
}

auto answerFormOf(const Json &command) -> AnswerForm
{
    AnswerForm form;
    form.framing = command.value("framing", form.framing);
    form.lineEnd = command.value("lineEnd", form.lineEnd);
    form.events = command.value("events", form.events);
    form.cut = command.value("cut", form.cut);
    form.end = command.value("end", form.end);
    form.headBytes = command.value("headBytes", form.headBytes);
    form.headLines = command.value("headLines", form.headLines);
    form.hasInterimAnswer = command.value("interim", form.hasInterimAnswer);
    form.contentType = command.value("contentType", form.contentType);
    return form;
}

auto answerInForm(SimClock &clock,
                  const RawConnectionPtr &connection,
                  const AnswerForm &form,
                  HttpHeaders headers,
                  const std::string &whole,
                  const std::string &sent,
                  Duration endsAfter) -> void
{
    if (form.framing == "chunked") {
        headers.push_back({"Transfer-Encoding", "chunked"});
    } else if (form.framing == "length") {
        headers.push_back({"Content-Length", std::to_string(form.end == "complete" ? sent.size() : whole.size())});
    } else {
        headers.push_back({"Connection", "close"});
    }
    const auto head = answerHead(Status::Ok, headers);
    const auto body = form.framing == "chunked" && !sent.empty() ? chunk(sent) : sent;
    connection->write((form.hasInterimAnswer ? InterimAnswer : "") + cutHead(form, head).value_or(head + body));
    clock.after(endsAfter, [connection, form] {
        if (form.end == "reset") {
            connection->reset();
        } else if (form.end == "close" || (form.end == "complete" && form.framing == "connection")) {
            connection->close();
        } else if (form.end == "complete" && form.framing == "chunked") {
            connection->write(LastChunk);
        }
    });
}

} // namespace KingCup

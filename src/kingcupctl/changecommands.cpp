#include "commands.h"
#include "connection.h"
#include "core/declarationcodec.h"
#include "operator/operatorcodec.h"
#include "output.h"
#include "settings/declarationfile.h"

#include <chrono>
#include <iomanip>
#include <iostream>
#include <random>
#include <sstream>
#include <thread>

namespace KingCup
{

namespace
{

namespace Proto = kingcup::operators;

constexpr auto RetryDelay = std::chrono::milliseconds(300);

/// A UUID of version 7, which starts with the time, so that ids sort by creation time.
auto newChangeId() -> std::string
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    const auto millis = static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
    constexpr unsigned TimeShift = 16;
    constexpr std::uint64_t Version = 0x7000;
    constexpr std::uint64_t LowBits = 0x0fff;
    constexpr std::uint64_t Variant = 0x8000000000000000;
    constexpr std::uint64_t VariantMask = 0x3fffffffffffffff;
    std::random_device random;
    std::uniform_int_distribution<std::uint64_t> any;
    const auto high = (millis << TimeShift) | Version | (any(random) & LowBits);
    const auto low = Variant | (any(random) & VariantMask);
    std::ostringstream digits;
    digits << std::hex << std::setfill('0') << std::setw(16) << high << std::setw(16) << low;
    auto text = digits.str();
    for (const auto position : {20, 16, 12, 8}) {
        text.insert(static_cast<std::size_t>(position), "-");
    }
    return text;
}

/// Reads the folder's declarations. Prints findings, if there are any, and returns none.
auto readFolder(const std::string &folder) -> std::optional<Declarations>
{
    auto read = loadDeclarations(folder);
    if (!read.isValid()) {
        printFindings(read.findings);
        std::cerr << "kingcupctl: " << read.findings.size() << " finding(s); nothing was changed\n";
        return std::nullopt;
    }
    return std::move(read.value);
}

auto printDifferences(const std::vector<DeclarationChange> &changes) -> void
{
    for (const auto &change : changes) {
        const char *mark = "~";
        if (change.kind == DeclarationChange::Kind::Added) {
            mark = "+";
        } else if (change.kind == DeclarationChange::Kind::Removed) {
            mark = "-";
        }
        std::cout << mark << " " << change.what << "\n";
    }
}

/// Result of the last attempt to apply a change.
struct ChangeResult {
    grpc::Status status;
    Proto::ChangeReply reply;
    bool mayHaveTakenEffect = false; ///< the outcome of an earlier attempt is unknown
};

/// Whether the outcome of the change is known, so that no further attempt is needed.
auto isFinal(const ChangeResult &result) -> bool
{
    if (!result.status.ok()) {
        return result.status.error_code() == grpc::StatusCode::INVALID_ARGUMENT;
    }
    return result.reply.outcome() != Proto::CHANGE_OUTCOME_UNKNOWN && result.reply.outcome() != Proto::CHANGE_OUTCOME_UNAVAILABLE;
}

/// Repeats the request until its outcome is known or `limit` has passed. The change id keeps it from being applied twice.
auto applyUntilKnown(Connection &connection, const Proto::ApplyRequest &request, Duration limit, ChangeResult &result) -> void
{
    const auto end = std::chrono::steady_clock::now() + std::chrono::microseconds(limit.inMicros());
    while (true) {
        result.status = connection.call(&OperatorStub::Apply, request, result.reply);
        if (isFinal(result) || std::chrono::steady_clock::now() > end) {
            return;
        }
        // UNAVAILABLE means that this attempt changed nothing. An earlier attempt whose answer was lost may still have been applied.
        const bool hadNoEffect = result.status.ok() && result.reply.outcome() == Proto::CHANGE_OUTCOME_UNAVAILABLE;
        result.mayHaveTakenEffect = result.mayHaveTakenEffect || !hadNoEffect;
        std::cerr << "kingcupctl: not done yet; asking again about change " << request.change_id() << "\n";
        std::this_thread::sleep_for(RetryDelay);
    }
}

auto reportUnknown(const std::string &changeId) -> ExitCode
{
    std::cerr << "kingcupctl: unknown: the change may or may not have been applied\n"
              << "kingcupctl: repeat the command with --change-id " << changeId << "\n";
    return ExitCode::Unknown;
}

auto reportOutcome(const ChangeResult &result, const std::string &changeId) -> ExitCode
{
    const auto &reply = result.reply;
    if (result.status.error_code() == grpc::StatusCode::INVALID_ARGUMENT) {
        return reportFailure(result.status);
    }
    if (!result.status.ok()) {
        return reportUnknown(changeId);
    }
    switch (reply.outcome()) {
    case Proto::CHANGE_OUTCOME_ACCEPTED:
        std::cerr << "accepted revision " << reply.revision() << "\n";
        return ExitCode::Ok;
    case Proto::CHANGE_OUTCOME_UNCHANGED:
        std::cerr << "unchanged, revision " << reply.revision() << "\n";
        return ExitCode::Ok;
    case Proto::CHANGE_OUTCOME_REFUSED:
        for (const auto &finding : reply.findings()) {
            std::cerr << toString(fromProto(finding)) << "\n";
        }
        std::cerr << "kingcupctl: refused: " << reply.findings_size() << " finding(s); nothing was changed\n";
        return ExitCode::Refused;
    case Proto::CHANGE_OUTCOME_CONFLICT:
        std::cerr << "kingcupctl: conflict: revision " << reply.revision() << " came first; nothing was changed\n";
        return ExitCode::Conflict;
    case Proto::CHANGE_OUTCOME_UNAVAILABLE:
        if (!result.mayHaveTakenEffect) {
            std::cerr << "kingcupctl: unreachable: the store could not be reached; nothing was changed\n";
            return ExitCode::Unreachable;
        }
        return reportUnknown(changeId);
    default:
        return reportUnknown(changeId);
    }
}

/// Prints progress until the revision is in force in every live process or `limit` has passed.
auto waitUntilInForce(Connection &connection, std::uint64_t revision, Duration limit) -> ExitCode
{
    std::uint64_t inForce = 0;
    const auto status = connection.watch(revision, limit, [&](const Proto::StatusReply &reply) {
        inForce = reply.in_force();
        int reached = 0;
        for (const auto &process : reply.processes()) {
            reached += process.revision() >= revision ? 1 : 0;
        }
        std::cerr << "in force in " << reached << " of " << reply.processes_size() << " processes";
        std::cerr << (reply.laggard().empty() ? "" : ", behind: " + reply.laggard()) << "\n";
        return true;
    });
    if (inForce >= revision) {
        std::cerr << "in force everywhere: revision " << revision << "\n";
        return ExitCode::Ok;
    }
    std::cerr << "kingcupctl: accepted, but not known to be in force everywhere: " << status.error_message() << "\n";
    return ExitCode::Unknown;
}

auto getCurrent(Connection &connection, Proto::GetReply &reply) -> grpc::Status
{
    return connection.call(&OperatorStub::Get, Proto::GetRequest(), reply);
}

auto unchangedReply(std::uint64_t revision) -> Proto::ChangeReply
{
    Proto::ChangeReply reply;
    reply.set_outcome(Proto::CHANGE_OUTCOME_UNCHANGED);
    reply.set_revision(revision);
    return reply;
}

} // namespace

auto runApply(const Arguments &arguments) -> ExitCode
{
    const auto set = readFolder(arguments.operands.front());
    if (!set) {
        return ExitCode::Refused;
    }
    Connection connection(arguments);
    Proto::GetReply current;
    const auto got = getCurrent(connection, current);
    if (!got.ok()) {
        return reportFailure(got);
    }
    Proto::ApplyRequest request;
    request.set_change_id(arguments.changeId.empty() ? newChangeId() : arguments.changeId);
    request.set_expected_revision(arguments.hasExpected ? arguments.expected : current.revision());
    request.set_author(arguments.author);
    *request.mutable_set() = toProto(*set);
    // With --change-id an earlier run of this tool may already have sent the change.
    ChangeResult result {.status = {}, .reply = {}, .mayHaveTakenEffect = !arguments.changeId.empty()};
    const bool isNew = arguments.changeId.empty() && !arguments.hasExpected;
    if (isNew && current.revision() != 0 && isSameSet(fromProto(current.set()).value, *set)) {
        result.reply = unchangedReply(current.revision());
    } else {
        applyUntilKnown(connection, request, arguments.timeout, result);
    }
    if (arguments.json) {
        std::cout << toJsonText(result.reply);
    }
    const auto code = reportOutcome(result, request.change_id());
    if (code == ExitCode::Ok && arguments.wait) {
        return waitUntilInForce(connection, result.reply.revision(), arguments.timeout);
    }
    return code;
}

auto runDiff(const Arguments &arguments) -> ExitCode
{
    const auto set = readFolder(arguments.operands.front());
    if (!set) {
        return ExitCode::Refused;
    }
    Connection connection(arguments);
    Proto::GetReply current;
    const auto got = getCurrent(connection, current);
    if (!got.ok()) {
        return reportFailure(got);
    }
    const auto changes = differences(fromProto(current.set()).value, *set);
    printDifferences(changes);
    return changes.empty() ? ExitCode::Ok : ExitCode::Differs;
}

auto runCheck(const Arguments &arguments) -> ExitCode
{
    const auto set = readFolder(arguments.operands.front());
    if (!set) {
        return ExitCode::Refused;
    }
    std::cerr << set->services.size() << " services, " << set->models.size() << " models, " << set->artifacts.size() << " artifacts, " << set->targets.size()
              << " targets; no findings\n";
    return ExitCode::Ok;
}

auto runDrain(const Arguments &arguments) -> ExitCode
{
    Connection connection(arguments);
    Proto::DrainRequest request;
    request.set_target(arguments.operands.front());
    request.set_undo(arguments.undo);
    Proto::DrainReply reply;
    const auto status = connection.call(&OperatorStub::Drain, request, reply);
    if (!status.ok()) {
        return reportFailure(status);
    }
    if (arguments.json) {
        std::cout << toJsonText(reply);
    }
    std::cerr << (reply.accepted() ? "accepted" : "refused") << (reply.message().empty() ? "" : ": " + reply.message()) << "\n";
    return reply.accepted() ? ExitCode::Ok : ExitCode::Refused;
}

} // namespace KingCup

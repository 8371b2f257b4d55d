#include "commands.h"
#include "connection.h"
#include "output.h"

#include <iostream>

namespace KingCup
{

namespace
{

namespace Proto = kingcup::operators;

auto sizeText(std::int64_t bytes) -> std::string
{
    return gigabytesText(bytes);
}

auto printSet(const Proto::GetReply &reply) -> void
{
    const auto &set = reply.set();
    std::cout << "revision " << reply.revision() << "\n\n";
    TextTable services({"SERVICE", "KIND", "TIME BUDGET", "NON-IDEMPOTENT CALLS"});
    for (const auto &service : set.services()) {
        std::string calls;
        for (const auto &call : service.non_idempotent_calls()) {
            calls += (calls.empty() ? "" : ", ") + call.method() + " " + call.path_prefix();
        }
        const auto *kind = service.kind() == Proto::SERVICE_KIND_PLAIN ? "plain" : "models";
        services.addRow({service.name(), kind, std::to_string(service.time_budget_ms()) + " ms", calls});
    }
    TextTable artifacts({"ARTIFACT", "KIND", "SERVICE", "SIZE"});
    for (const auto &version : set.versions()) {
        artifacts.addRow({version.name(), "version", version.service(), sizeText(version.size_bytes())});
    }
    for (const auto &adapter : set.adapters()) {
        artifacts.addRow({adapter.name(), "adapter on " + adapter.base(), adapter.service(), sizeText(adapter.size_bytes())});
    }
    TextTable models({"MODEL", "SERVICE", "CURRENT"});
    for (const auto &model : set.models()) {
        models.addRow({model.name(), model.service(), model.current()});
    }
    TextTable targets({"TARGET", "SERVICE", "CHECKS FENCE"});
    for (const auto &target : set.targets()) {
        targets.addRow({target.id(), target.service(), target.checks_fence() ? "yes" : "no"});
    }
    std::cout << services.toText() << "\n" << models.toText() << "\n" << artifacts.toText() << "\n" << targets.toText();
}

auto printStatus(const Proto::StatusReply &reply) -> void
{
    std::cout << "revision " << reply.revision() << ", in force everywhere: " << reply.in_force();
    if (!reply.laggard().empty()) {
        std::cout << " (behind: " << reply.laggard() << ")";
    }
    std::cout << "\nstore " << (reply.store_reachable() ? "reachable" : "not reachable") << ", floor plan " << reply.plan_version() << "\n\n";
    TextTable processes({"PROCESS", "ROLE", "ZONE", "STATE", "REVISION", "MEMORY", "RUNNING", "QUEUED", "RESIDENT"});
    for (const auto &process : reply.processes()) {
        const auto memory = process.memory_total() == 0 ? "" : sizeText(process.memory_charged()) + " of " + sizeText(process.memory_total());
        processes.addRow({process.id(),
                          process.role(),
                          process.zone(),
                          process.state(),
                          std::to_string(process.revision()),
                          memory,
                          std::to_string(process.running()),
                          std::to_string(process.queued()),
                          std::to_string(process.residents_size())});
    }
    TextTable models({"ARTIFACT", "COPIES", "ZONES", "DEMAND/S"});
    for (const auto &model : reply.models()) {
        models.addRow({model.artifact(), std::to_string(model.copies()), std::to_string(model.zones()), std::to_string(model.demand_per_second())});
    }
    std::cout << processes.toText() << "\n" << models.toText();
}

} // namespace

auto runGet(const Arguments &arguments) -> ExitCode
{
    Connection connection(arguments);
    Proto::GetReply reply;
    const auto status = connection.call(&OperatorStub::Get, Proto::GetRequest(), reply);
    if (!status.ok()) {
        return reportFailure(status);
    }
    if (arguments.json) {
        std::cout << toJsonText(reply);
    } else {
        printSet(reply);
    }
    return ExitCode::Ok;
}

auto runStatus(const Arguments &arguments) -> ExitCode
{
    Connection connection(arguments);
    Proto::StatusReply reply;
    const auto status = connection.call(&OperatorStub::Status, Proto::StatusRequest(), reply);
    if (!status.ok()) {
        return reportFailure(status);
    }
    if (arguments.json) {
        std::cout << toJsonText(reply);
    } else {
        printStatus(reply);
    }
    return ExitCode::Ok;
}

auto runWatch(const Arguments &arguments) -> ExitCode
{
    Connection connection(arguments);
    const auto status = connection.watch(arguments.until, Duration(), [&](const Proto::StatusReply &reply) {
        if (arguments.json) {
            std::cout << toJsonText(reply) << std::flush;
        } else {
            printStatus(reply);
            std::cout << "\n" << std::flush;
        }
        return true;
    });
    return status.ok() ? ExitCode::Ok : reportFailure(status);
}

auto runExplain(const Arguments &arguments) -> ExitCode
{
    if (!arguments.logs.empty()) {
        return explainFromLogs(arguments);
    }
    Connection connection(arguments);
    Proto::ExplainRequest request;
    request.set_subject(arguments.operands.front());
    Proto::ExplainReply reply;
    const auto status = connection.call(&OperatorStub::Explain, request, reply);
    if (!status.ok()) {
        return reportFailure(status);
    }
    if (arguments.json) {
        std::cout << toJsonText(reply);
        return ExitCode::Ok;
    }
    TextTable decisions({"AGE", "PART", "SUBJECT", "DECISION"});
    for (const auto &decision : reply.decisions()) {
        decisions.addRow({std::to_string(decision.age_ms()) + " ms", decision.part(), decision.subject(), decision.text()});
    }
    std::cout << decisions.toText();
    return ExitCode::Ok;
}

} // namespace KingCup

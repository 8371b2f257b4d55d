#include "gateway/copyuse.h"

#include <algorithm>

namespace KingCup
{

CopyUse::CopyUse(CopyUseHooks hooks)
    : m_hooks(std::move(hooks))
{
}

auto CopyUse::streams(const std::set<std::string> &peers) const -> std::map<CopyKey, int>
{
    std::map<CopyKey, int> result;
    for (const auto &copy : m_draining) {
        const auto report = m_reported.find(copy);
        int sum = m_hooks.ownStreams(copy);
        const bool isComplete = std::all_of(peers.begin(), peers.end(), [&](const std::string &peer) {
            const bool hasReported = report != m_reported.end() && report->second.contains(peer);
            sum += hasReported ? report->second.at(peer) : 0;
            return hasReported;
        });
        if (isComplete) {
            result[copy] = sum;
        }
    }
    return result;
}

auto CopyUse::reportedResidency(const TargetId &target, const std::vector<ResidentModel> &models) -> void
{
    bool hasNew = false;
    std::erase_if(m_draining, [&](const CopyKey &copy) {
        const auto isCopy = [&](const ResidentModel &held) {
            return held.name == copy.second && held.isDraining;
        };
        return copy.first == target && std::none_of(models.begin(), models.end(), isCopy);
    });
    for (const auto &held : models) {
        hasNew = (held.isDraining && m_draining.emplace(target, held.name).second) || hasNew;
    }
    if (hasNew) {
        report();
    }
}

auto CopyUse::targetGone(const TargetId &target) -> void
{
    std::erase_if(m_draining, [&](const CopyKey &copy) { return copy.first == target; });
}

auto CopyUse::report() const -> void
{
    if (m_draining.empty()) {
        return;
    }
    Wire::ControlFrame frame;
    for (const auto &copy : m_draining) {
        auto *added = frame.mutable_copy_streams()->add_copies();
        added->set_target(copy.first.text());
        added->set_model(copy.second);
        added->set_streams(static_cast<std::uint32_t>(std::max(m_hooks.ownStreams(copy), 0)));
    }
    m_hooks.sendToHolder(frame);
}

auto CopyUse::setMoves(const std::map<TargetId, CopyMove> &moves) -> void
{
    m_draining.clear();
    for (const auto &[target, move] : moves) {
        for (const auto &model : move.evicted) {
            m_draining.emplace(target, model);
        }
    }
    // Counts that were reported during an earlier move must not be used if the same replica drains again.
    std::erase_if(m_reported, [&](const auto &report) { return !m_draining.contains(report.first); });
}

auto CopyUse::streamsReported(const std::string &peer, const Wire::CopyStreams &message) -> void
{
    for (const auto &report : message.copies()) {
        const CopyKey copy(TargetId(report.target()), report.model());
        if (m_draining.contains(copy)) {
            m_reported[copy][peer] = static_cast<int>(report.streams());
        }
    }
}

} // namespace KingCup

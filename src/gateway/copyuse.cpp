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
    for (const auto &copy : m_givingWay) {
        const auto told = m_told.find(copy);
        int sum = m_hooks.ownStreams(copy);
        const bool isWhole = std::all_of(peers.begin(), peers.end(), [&](const std::string &peer) {
            const bool hasTold = told != m_told.end() && told->second.contains(peer);
            sum += hasTold ? told->second.at(peer) : 0;
            return hasTold;
        });
        if (isWhole) {
            result[copy] = sum;
        }
    }
    return result;
}

auto CopyUse::held(const TargetId &target, const std::vector<HeldModel> &models) -> void
{
    bool isNew = false;
    std::erase_if(m_givingWay, [&](const CopyKey &copy) {
        const auto isCopy = [&](const HeldModel &held) {
            return held.name == copy.second && held.isGivingWay;
        };
        return copy.first == target && std::none_of(models.begin(), models.end(), isCopy);
    });
    for (const auto &held : models) {
        isNew = (held.isGivingWay && m_givingWay.emplace(target, held.name).second) || isNew;
    }
    if (isNew) {
        tell();
    }
}

auto CopyUse::targetGone(const TargetId &target) -> void
{
    std::erase_if(m_givingWay, [&](const CopyKey &copy) { return copy.first == target; });
}

auto CopyUse::tell() const -> void
{
    if (m_givingWay.empty()) {
        return;
    }
    Wire::ControlFrame frame;
    for (const auto &copy : m_givingWay) {
        auto *added = frame.mutable_copy_streams()->add_copies();
        added->set_target(copy.first.text());
        added->set_model(copy.second);
        added->set_streams(static_cast<std::uint32_t>(std::max(m_hooks.ownStreams(copy), 0)));
    }
    m_hooks.tellHolder(frame);
}

auto CopyUse::setMoves(const std::map<TargetId, CopyMove> &moves) -> void
{
    m_givingWay.clear();
    for (const auto &[target, move] : moves) {
        for (const auto &model : move.goes) {
            m_givingWay.emplace(target, model);
        }
    }
    // What was told of an earlier move of the same copy says nothing of this one.
    std::erase_if(m_told, [&](const auto &told) { return !m_givingWay.contains(told.first); });
}

auto CopyUse::heard(const std::string &peer, const Wire::CopyStreams &message) -> void
{
    for (const auto &told : message.copies()) {
        const CopyKey copy(TargetId(told.target()), told.model());
        if (m_givingWay.contains(copy)) {
            m_told[copy][peer] = static_cast<int>(told.streams());
        }
    }
}

} // namespace KingCup

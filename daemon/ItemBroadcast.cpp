#include "daemon/ItemBroadcast.h"

#include <msgpack.hpp>

namespace citronplank {

namespace {

/// Key, payload, removed.
using PackedItem = std::tuple<std::string, std::string, bool>;

} // namespace

std::string encodeItems(std::span<const DirectoryItem> items)
{
    std::vector<PackedItem> packed;
    packed.reserve(items.size());
    for (const auto& it : items)
        packed.emplace_back(it.key, it.payload, it.removed);
    msgpack::sbuffer buf;
    msgpack::pack(buf, packed);
    return { buf.data(), buf.size() };
}

std::vector<DirectoryItem> decodeItems(std::string_view bytes)
{
    try {
        std::vector<DirectoryItem> items;
        for (auto& [key, payload, removed] :
            msgpack::unpack(bytes.data(), bytes.size()).get().as<std::vector<PackedItem>>())
            items.push_back({ key, payload, removed });
        return items;
    } catch (const std::exception&) {
        throw Error(ErrorKind::BadRequest, "malformed directory items");
    }
}

void ItemBroadcast::finish(PendingBroadcast& it, bool confirmed)
{
    if (auto done = std::exchange(it.done, nullptr))
        done(confirmed);
}

void ItemBroadcast::start(
    std::span<const DirectoryItem> items, const std::vector<std::string>& peers, TimePoint now, Done done)
{
    auto number = ++m_lastNumber;
    auto& it = m_broadcasts[number];
    std::set<std::string, std::less<>> names(peers.begin(), peers.end());
    it = { encodeItems(items), names, names, now, firstResendAge, std::move(done) };
    for (const auto& peer : peers)
        m_sender(peer, number, it.body);
    if (peers.empty())
        finish(it, true);
}

void ItemBroadcast::add(std::span<const DirectoryItem> items, Done done)
{
    m_pendingItems.insert(m_pendingItems.end(), items.begin(), items.end());
    if (done)
        m_pendingDone.push_back(std::move(done));
}

void ItemBroadcast::flush(const std::vector<std::string>& peers, TimePoint now)
{
    if (m_pendingItems.empty())
        return;
    auto items = std::exchange(m_pendingItems, {});
    start(items, peers, now, [all = std::exchange(m_pendingDone, {})](bool confirmed) {
        for (const auto& it : all)
            it(confirmed);
    });
}

void ItemBroadcast::onAck(const std::string& peer, std::uint64_t number)
{
    auto found = m_broadcasts.find(number);
    if (found == m_broadcasts.end())
        return;
    found->second.waiting.erase(peer);
    if (found->second.waiting.empty())
        finish(found->second, true);
}

void ItemBroadcast::onTimer(const std::set<std::string, std::less<>>& live, TimePoint now)
{
    std::vector<std::uint64_t> numbers;
    for (const auto& [number, it] : m_broadcasts)
        numbers.push_back(number);
    for (auto number : numbers) {
        auto& it = m_broadcasts.at(number);
        auto hasLeft = [&](const std::string& peer) { return !live.contains(peer); };
        std::erase_if(it.peers, hasLeft);
        std::erase_if(it.waiting, hasLeft);
        if (it.waiting.empty())
            finish(it, true);
        if (now - it.startedAt >= confirmTimeout)
            finish(it,
                static_cast<double>(it.waiting.size())
                    <= (1 - minConfirmedShare) * static_cast<double>(it.peers.size()));
        if (now - it.startedAt >= lifetime) {
            m_broadcasts.erase(number);
            continue;
        }
        if (now - it.startedAt >= it.resendAge) {
            while (it.resendAge <= now - it.startedAt)
                it.resendAge *= 2;
            for (const auto& peer : it.waiting)
                m_sender(peer, number, it.body);
        }
        for (const auto& peer : live) {
            if (it.peers.insert(peer).second) {
                it.waiting.insert(peer);
                m_sender(peer, number, it.body);
            }
        }
    }
}

} // namespace citronplank

#include "query/RelayMessages.h"

#include <msgpack.hpp>

namespace citronplank {

namespace {

using PackedCall = std::tuple<std::string, std::int64_t, std::vector<std::string>, std::uint32_t, std::int64_t,
    std::int64_t, std::string, std::string, std::vector<std::pair<std::string, std::string>>, std::string,
    std::uint8_t>; // former builds neither send nor read the last element
using PackedAnswer = std::tuple<bool, std::vector<std::pair<std::uint32_t, std::string>>, std::string,
    std::vector<std::tuple<std::uint32_t, bool, bool>>,
    std::vector<std::pair<std::string, std::uint64_t>>>; // former builds neither send nor read the last element

template <typename Packed>
std::string pack(const Packed& packed)
{
    msgpack::sbuffer buf;
    msgpack::pack(buf, packed);
    return { buf.data(), buf.size() };
}

template <typename Packed>
Packed unpack(std::string_view bytes)
{
    try {
        return msgpack::unpack(bytes.data(), bytes.size()).get().as<Packed>();
    } catch (const std::exception&) {
        throw Error(ErrorKind::BadRequest, "malformed relay message");
    }
}

} // namespace

std::string encode(const RelayedCall& it)
{
    return pack(PackedCall { it.relay.routeName, it.relay.objective.count(), it.relay.services, it.relay.topRecords,
        it.relay.remaining.count(), it.relay.batchAfter.count(), it.method, it.target, it.headers, it.body,
        static_cast<std::uint8_t>(it.relay.budget) });
}

RelayedCall decodeRelayedCall(std::string_view bytes)
{
    auto [name, objective, services, top, remaining, batchAfter, method, target, headers, body, budget]
        = unpack<PackedCall>(bytes);
    if (budget > static_cast<std::uint8_t>(RelayBudget::Extra))
        throw Error(ErrorKind::BadRequest, "unknown budget of a relay request");
    return { { std::move(name), milliseconds(objective), std::move(services), top, milliseconds(remaining),
                 milliseconds(batchAfter), static_cast<RelayBudget>(budget) },
        std::move(method), std::move(target), std::move(headers), std::move(body) };
}

std::string encode(const RelayAnswer& it)
{
    PackedAnswer packed { it.isBatch, {}, it.records, {}, {} };
    for (const auto& answered : it.answered)
        std::get<1>(packed).emplace_back(answered.service, answered.signature);
    for (const auto& failed : it.failed)
        std::get<3>(packed).emplace_back(failed.service, failed.hasArrived, failed.mayHaveRun);
    for (const auto& leaving : it.leaving)
        std::get<4>(packed).emplace_back(leaving.leaf, leaving.boot);
    return pack(packed);
}

RelayAnswer decodeRelayAnswer(std::string_view bytes)
{
    auto [isBatch, answered, records, failed, leaving] = unpack<PackedAnswer>(bytes);
    RelayAnswer answer { isBatch, {}, std::move(records), {}, {} };
    for (auto& [service, signature] : answered)
        answer.answered.push_back({ service, std::move(signature) });
    for (const auto& [service, arrived, ran] : failed)
        answer.failed.push_back({ service, arrived, ran });
    for (auto& [leaf, boot] : leaving)
        answer.leaving.push_back({ std::move(leaf), boot });
    return answer;
}

} // namespace citronplank

#include "daemon/PartMessages.h"

#include <msgpack.hpp>

namespace citronplank {

namespace {

template <typename... Fields>
std::string pack(const Fields&... fields)
{
    msgpack::sbuffer buf;
    msgpack::pack(buf, std::make_tuple(fields...));
    return { buf.data(), buf.size() };
}

template <typename Tuple>
Tuple unpack(std::string_view bytes)
{
    try {
        return msgpack::unpack(bytes.data(), bytes.size()).get().as<Tuple>();
    } catch (const std::exception&) {
        throw Error(ErrorKind::BadRequest, "malformed daemon message");
    }
}

/// Index version, shard, number of shards.
using PackedShard = std::tuple<std::uint64_t, std::uint32_t, std::uint32_t>;

PackedShard packShard(const ShardVersion& shard) { return { shard.version, shard.shard, shard.shardCount }; }

ShardVersion unpackShard(const PackedShard& packed)
{
    return { std::get<0>(packed), std::get<1>(packed), std::get<2>(packed) };
}

} // namespace

std::string encodeForwardedMessage(const ForwardedMessage& it)
{
    return pack(static_cast<std::uint16_t>(it.kind), it.body);
}

ForwardedMessage decodeForwardedMessage(std::string_view bytes)
{
    auto [kind, body] = unpack<std::tuple<std::uint16_t, std::string>>(bytes);
    ForwardedMessage message { static_cast<MessageKind>(kind), std::move(body) };
    if (message.kind == MessageKind::Forward || message.kind == MessageKind::DirectoryForward)
        throw Error(ErrorKind::BadRequest, "a forwarded message cannot be forwarded again");
    return message;
}

std::string encodePart(const Part& part)
{
    return pack(part.queryId, part.partId, part.service, part.operation, part.leaf, packShard(part.shard),
        static_cast<std::int64_t>(part.remaining.count()), part.requestKey, part.fingerprint, part.mayQueue, part.body);
}

Part decodePart(std::string_view bytes)
{
    using Packed = std::tuple<std::uint64_t, std::uint64_t, std::string, std::string, std::string, PackedShard,
        std::int64_t, std::string, std::uint64_t, bool, std::string>;
    auto packed = unpack<Packed>(bytes);
    Part part;
    part.queryId = std::get<0>(packed);
    part.partId = std::get<1>(packed);
    part.service = std::move(std::get<2>(packed));
    part.operation = std::move(std::get<3>(packed));
    part.leaf = std::move(std::get<4>(packed));
    part.shard = unpackShard(std::get<5>(packed));
    part.remaining = milliseconds(std::get<6>(packed));
    part.requestKey = std::move(std::get<7>(packed));
    part.fingerprint = std::get<8>(packed);
    part.mayQueue = std::get<9>(packed);
    part.body = std::move(std::get<10>(packed));
    return part;
}

std::string encodePartResult(const PartResult& result)
{
    return pack(result.partId, static_cast<std::uint8_t>(result.status), static_cast<std::uint8_t>(result.outcome),
        packShard(result.shard), result.wasBusy, static_cast<std::int64_t>(result.leafTime.count()), result.body);
}

PartResult decodePartResult(std::string_view bytes)
{
    using Packed = std::tuple<std::uint64_t, std::uint8_t, std::uint8_t, PackedShard, bool, std::int64_t, std::string>;
    auto packed = unpack<Packed>(bytes);
    if (std::get<1>(packed) > static_cast<std::uint8_t>(PartStatus::Unreachable)
        || std::get<2>(packed) > static_cast<std::uint8_t>(Outcome::MayHaveRun))
        throw Error(ErrorKind::BadRequest, "part result has an unknown status or outcome");
    PartResult result;
    result.partId = std::get<0>(packed);
    result.status = static_cast<PartStatus>(std::get<1>(packed));
    result.outcome = static_cast<Outcome>(std::get<2>(packed));
    result.shard = unpackShard(std::get<3>(packed));
    result.wasBusy = std::get<4>(packed);
    result.leafTime = std::chrono::microseconds(std::get<5>(packed));
    result.body = std::move(std::get<6>(packed));
    return result;
}

std::string encodePartCancel(const PartCancelMessage& message) { return pack(message.partId, message.queuedOnly); }

PartCancelMessage decodePartCancel(std::string_view bytes)
{
    auto packed = unpack<std::tuple<std::uint64_t, bool>>(bytes);
    return { std::get<0>(packed), std::get<1>(packed) };
}

std::string encodeConfigurationFetch(const ConfigurationFetch& fetch) { return pack(fetch.sinceVersion); }

ConfigurationFetch decodeConfigurationFetch(std::string_view bytes)
{
    return { std::get<0>(unpack<std::tuple<std::uint64_t>>(bytes)) };
}

std::string encodeDirectoryFetch(const DirectoryFetch& fetch) { return pack(fetch.self, fetch.wantsDirectory); }

DirectoryFetch decodeDirectoryFetch(std::string_view bytes)
{
    auto [self, wantsDirectory] = unpack<std::tuple<std::string, bool>>(bytes);
    return { std::move(self), wantsDirectory };
}

std::string encodeDirectoryAnswer(const DirectoryAnswer& answer)
{
    return pack(answer.members, answer.directory, answer.isComplete);
}

DirectoryAnswer decodeDirectoryAnswer(std::string_view bytes)
{
    auto [members, directory, isComplete] = unpack<std::tuple<std::string, std::string, bool>>(bytes);
    return { std::move(members), std::move(directory), isComplete };
}

} // namespace citronplank

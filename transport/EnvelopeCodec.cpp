#include "transport/EnvelopeCodec.h"

#include <arpa/inet.h>
#include <charconv>
#include <msgpack.hpp>

namespace citronplank {

namespace {

constexpr std::uint32_t fieldCount = 8;
constexpr std::uint32_t timedFieldCount = 10; // of an envelope with a `sentAt`; sent only to peers that support it
constexpr std::size_t maxNameBytes = 256;     // of `from` and of `sender`

std::string bytesOf(const msgpack::object& field)
{
    if (field.type != msgpack::type::BIN)
        throw msgpack::type_error();
    return { field.via.bin.ptr, field.via.bin.size };
}

WireEnvelope wireOf(const msgpack::object& object)
{
    if (object.type != msgpack::type::ARRAY
        || (object.via.array.size != fieldCount && object.via.array.size != timedFieldCount))
        throw msgpack::type_error();
    const msgpack::object* fields = object.via.array.ptr;
    WireEnvelope wire;
    wire.epoch = fields[0].as<std::uint64_t>();
    const auto channel = fields[1].as<std::uint8_t>();
    if (channel > static_cast<std::uint8_t>(Channel::Part))
        throw msgpack::type_error();
    wire.channel = static_cast<Channel>(channel);
    wire.envelope.from = fields[2].as<std::string>();
    wire.envelope.sender = fields[3].as<std::string>();
    wire.envelope.incarnation = fields[4].as<std::uint64_t>();
    wire.envelope.correlation = fields[5].as<std::uint64_t>();
    wire.envelope.kind = fields[6].as<std::uint16_t>();
    wire.envelope.body = bytesOf(fields[7]);
    if (object.via.array.size == timedFieldCount) {
        wire.envelope.sentAt = TimePoint(Duration(fields[8].as<Duration::rep>()));
        if (*wire.envelope.sentAt < TimePoint())
            throw msgpack::type_error();
        wire.envelope.timeToLive = milliseconds(fields[9].as<std::uint32_t>());
    }
    return wire;
}

} // namespace

std::string encodeWire(const WireEnvelope& wire)
{
    msgpack::sbuffer buf;
    msgpack::packer<msgpack::sbuffer> packer(buf);
    const Envelope& envelope = wire.envelope;
    packer.pack_array(envelope.sentAt ? timedFieldCount : fieldCount);
    packer.pack(wire.epoch);
    packer.pack(static_cast<std::uint8_t>(wire.channel));
    packer.pack(envelope.from);
    packer.pack(envelope.sender);
    packer.pack(envelope.incarnation);
    packer.pack(envelope.correlation);
    packer.pack(envelope.kind);
    packer.pack_bin(static_cast<std::uint32_t>(envelope.body.size()));
    packer.pack_bin_body(envelope.body.data(), static_cast<std::uint32_t>(envelope.body.size()));
    if (envelope.sentAt) {
        packer.pack(envelope.sentAt->time_since_epoch().count());
        packer.pack(static_cast<std::uint32_t>(envelope.timeToLive.count()));
    }
    return { buf.data(), buf.size() };
}

std::optional<WireEnvelope> decodeWire(std::string_view bytes)
{
    try {
        std::size_t offset = 0;
        // An envelope has a depth of 2. The limits bound the memory that malicious input can allocate.
        const msgpack::unpack_limit limit(timedFieldCount, 0, maxNameBytes, bytes.size(), 0, 2);
        const msgpack::object_handle handle
            = msgpack::unpack(bytes.data(), bytes.size(), offset, nullptr, nullptr, limit);
        if (offset != bytes.size())
            return std::nullopt;
        WireEnvelope wire = wireOf(handle.get());
        if (!isAddress(wire.envelope.from))
            return std::nullopt;
        return wire;
    } catch (const std::exception&) { // the only common base class of msgpack's errors
        return std::nullopt;
    }
}

bool isAddress(std::string_view text)
{
    const std::size_t colon = text.find(':');
    if (colon == std::string_view::npos)
        return false;
    const std::string host(text.substr(0, colon));
    const std::string_view digits = text.substr(colon + 1);
    in_addr parsed {};
    unsigned port = 0;
    const auto [end, ec] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    return inet_pton(AF_INET, host.c_str(), &parsed) == 1 && ec == std::errc() && end == digits.data() + digits.size()
        && port > 0 && port <= 65535;
}

} // namespace citronplank

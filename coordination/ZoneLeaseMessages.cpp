#include "coordination/ZoneLeaseMessages.h"

#include <algorithm>
#include <msgpack.hpp>

namespace citronplank {

namespace {

using Packer = msgpack::packer<msgpack::sbuffer>;

// Limits what a malformed length field can make the decoder allocate, with room for the views of a zone of 107 daemons.
const msgpack::unpack_limit messageLimit(4096, 16, 4096, 4096, 16, 8);

void packView(Packer& packer, const ZoneView& view)
{
    packer.pack_array(4);
    packer.pack(view.zone);
    packer.pack(view.number);
    packer.pack(view.members);
    packer.pack(view.previous);
}

void packRequest(Packer& packer, const ZoneRequest& request, std::uint32_t extraFields = 0)
{
    packer.pack_array(5 + extraFields);
    packer.pack(request.zone);
    packer.pack(request.member);
    packer.pack(request.incarnation);
    packer.pack(request.number);
    packer.pack(request.view);
}

void packMessage(Packer& packer, const ZoneRequest& request) { packRequest(packer, request); }

void packMessage(Packer& packer, const ViewLeave& leave)
{
    packRequest(packer, leave, 1);
    packer.pack(leave.stopped);
}

void packMessage(Packer& packer, const LeaseAnswer& answer)
{
    packer.pack_array(5);
    packer.pack(answer.incarnation);
    packer.pack(answer.number);
    packView(packer, answer.view);
    packer.pack(answer.granted);
    packer.pack(static_cast<std::uint8_t>(answer.previousViewState));
}

void packMessage(Packer& packer, const GrantAnswer& answer)
{
    packer.pack_array(5);
    packer.pack(answer.member);
    packer.pack(answer.incarnation);
    packer.pack(answer.number);
    packView(packer, answer.view);
    packer.pack(answer.granted);
}

const msgpack::object& element(const msgpack::object& object, std::size_t i)
{
    if (object.type != msgpack::type::ARRAY || i >= object.via.array.size)
        throw msgpack::type_error();
    return object.via.array.ptr[i];
}

template <typename Value>
Value valueAt(const msgpack::object& object, std::size_t i)
{
    return element(object, i).as<Value>();
}

ZoneView viewFrom(const msgpack::object& object)
{
    return { valueAt<std::string>(object, 0), valueAt<std::uint64_t>(object, 1),
        valueAt<std::vector<std::string>>(object, 2), valueAt<std::vector<std::string>>(object, 3) };
}

template <typename Request>
Request requestFrom(const msgpack::object& object)
{
    Request request;
    request.zone = valueAt<std::string>(object, 0);
    request.member = valueAt<std::string>(object, 1);
    request.incarnation = valueAt<std::uint64_t>(object, 2);
    request.number = valueAt<std::uint64_t>(object, 3);
    request.view = valueAt<std::uint64_t>(object, 4);
    return request;
}

LeaseAnswer leaseAnswerFrom(const msgpack::object& object)
{
    const auto previousViewState = valueAt<std::uint8_t>(object, 4);
    if (previousViewState > static_cast<std::uint8_t>(PreviousViewState::Retired))
        throw msgpack::type_error();
    return { valueAt<std::uint64_t>(object, 0), valueAt<std::uint64_t>(object, 1), viewFrom(element(object, 2)),
        valueAt<bool>(object, 3), static_cast<PreviousViewState>(previousViewState) };
}

GrantAnswer grantAnswerFrom(const msgpack::object& object)
{
    return { valueAt<std::string>(object, 0), valueAt<std::uint64_t>(object, 1), valueAt<std::uint64_t>(object, 2),
        viewFrom(element(object, 3)), valueAt<bool>(object, 4) };
}

ZoneMessage messageFrom(std::size_t type, const msgpack::object& object)
{
    switch (type) {
    case 0:
        return requestFrom<LeaseRequest>(object);
    case 1:
        return leaseAnswerFrom(object);
    case 2:
        return requestFrom<GrantRequest>(object);
    case 3:
        return grantAnswerFrom(object);
    case 4:
        return requestFrom<ViewJoin>(object);
    case 5: {
        auto leave = requestFrom<ViewLeave>(object);
        leave.stopped = valueAt<bool>(object, 5);
        return leave;
    }
    default:
        throw msgpack::type_error();
    }
}

} // namespace

ZoneView nextZoneView(const ZoneView& current, std::vector<std::string> members)
{
    std::sort(members.begin(), members.end());
    return { current.zone, current.number + 1, std::move(members), current.members };
}

std::string encodeZoneMessage(const ZoneMessage& message)
{
    msgpack::sbuffer buffer;
    Packer packer(buffer);
    packer.pack_array(2);
    packer.pack(static_cast<std::uint8_t>(message.index()));
    std::visit([&](const auto& it) { packMessage(packer, it); }, message);
    return { buffer.data(), buffer.size() };
}

std::optional<ZoneMessage> decodeZoneMessage(std::string_view bytes)
{
    try {
        const auto handle = msgpack::unpack(bytes.data(), bytes.size(), nullptr, nullptr, messageLimit);
        return messageFrom(valueAt<std::size_t>(handle.get(), 0), element(handle.get(), 1));
    } catch (const std::exception&) {
        return std::nullopt; // msgpack throws a different exception for each kind of malformed input
    }
}

std::string rendezvousOwner(std::string_view leaf, std::span<const std::string> members)
{
    const auto leafHash = hash64(leaf);
    const std::string* owner = nullptr;
    std::uint64_t highest = 0;
    for (const auto& member : members) {
        const auto hash = hash64(member, leafHash);
        if (!owner || hash > highest || (hash == highest && member > *owner)) {
            owner = &member;
            highest = hash;
        }
    }
    return owner ? *owner : std::string();
}

} // namespace citronplank

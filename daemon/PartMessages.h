// Messages between the entry instance of a query and the owner of a leaf, and other messages between daemons that do
// not belong to a single module. Every message is sent in an Envelope of transport/Links.h.
#pragma once

#include "citronplank.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace citronplank {

/// The 16-bit `kind` of an envelope.
enum class MessageKind : std::uint16_t {
    Control = 1,
    Lease = 2,
    PartRequest = 3,
    PartAnswer = 4,
    PartCancel = 5,
    ConfigurationFetch = 6,
    ConfigurationAnswer = 7,
    DirectoryFetch = 8,
    DirectoryAnswer = 9,
    Freshness = 10,
    Suspicion = 11,
    DirectoryItems = 12,
    DirectoryAck = 13,
    RelayRequest = 14,
    RelayAnswer = 15,
    RelayCancel = 16,
    Forward = 17,          // a ForwardedMessage, which the receiver handles and sends to the peers of its zone
    DirectoryForward = 18, // as DirectoryItems; acknowledged once the peers of the receiver's zone have the items too
    QuotaReport = 19,      // of an entry instance to the control leader; see policy/QuotaMessages.h
    QuotaReply = 20,
};

/// A message that is forwarded to the peers of a zone.
struct ForwardedMessage {
    MessageKind kind = MessageKind::Freshness;
    std::string body;
};

/// Requests the published state newer than `sinceVersion` from a peer.
struct ConfigurationFetch {
    std::uint64_t sinceVersion = 0;
};

/// Introduces the sender to a control member, and requests the member list and the leaf directory for a starting
/// instance.
struct DirectoryFetch {
    std::string self;            // gossip record of the sender
    bool wantsDirectory = false; // false: only an empty acknowledgement is expected
};
struct DirectoryAnswer {
    std::string members; // gossip records of all members known to the sender
    std::string directory;
    bool isComplete = false; // false: the sender is itself starting and may lack announcements
};

/// Cancels a part at the owner of its leaf.
struct PartCancelMessage {
    std::uint64_t partId = 0;
    bool queuedOnly = false; // do not cancel the part if the leaf already runs it
};

/// Serialization of the structs above and of parts. `decode...` throws Error(BadRequest) on malformed input. All
/// functions are thread safe.
std::string encodeForwardedMessage(const ForwardedMessage&);
/// Throws Error(BadRequest) also if the content is itself to be forwarded.
ForwardedMessage decodeForwardedMessage(std::string_view);
std::string encodePart(const Part&);
Part decodePart(std::string_view);
std::string encodePartResult(const PartResult&);
PartResult decodePartResult(std::string_view);
std::string encodePartCancel(const PartCancelMessage&);
PartCancelMessage decodePartCancel(std::string_view);
std::string encodeConfigurationFetch(const ConfigurationFetch&);
ConfigurationFetch decodeConfigurationFetch(std::string_view);
std::string encodeDirectoryFetch(const DirectoryFetch&);
DirectoryFetch decodeDirectoryFetch(std::string_view);
std::string encodeDirectoryAnswer(const DirectoryAnswer&);
DirectoryAnswer decodeDirectoryAnswer(std::string_view);

} // namespace citronplank

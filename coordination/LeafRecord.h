// What instances know of one leaf, the order in which one state of it replaces another, and the format in which
// instances exchange it.
//
// A later start (`boot`) of a leaf replaces an earlier one. Within one start the phase never goes back: gone replaces
// draining, and draining replaces ready, whatever their sequences. Of the announcements of one start the one with the
// highest sequence counts. Because `merge` gives the same result in any order and for repeated messages, instances that
// have exchanged all they know hold the same state.
#pragma once

#include "citronplank.h"

namespace citronplank {

/// How far a leaf is on its way out, in this order within one start.
enum class LeafPhase : std::uint8_t {
    Ready,
    Draining, // the leaf has announced that it wants no new requests
    Gone,     // the leaf has sent the notice that it leaves
};

/// State of a leaf. `announcement.draining` is set in every phase but Ready.
struct LeafState {
    Announcement announcement;
    LeafPhase phase = LeafPhase::Ready;

    LeafState() = default;
    explicit LeafState(Announcement it, LeafPhase atLeast = LeafPhase::Ready);
    /// Sets the phase to `it` if that is a later one.
    void advanceTo(LeafPhase it);
};

/// Merges what is received into what is held of the same leaf. A leaf without a start time (`boot` 0) cannot be
/// distinguished from its next start, so for it the sequence decides, and the phase only between equal sequences.
/// Thread safe.
void merge(LeafState& held, const LeafState& received);

/// Whether both are equal in all that a renewal publishes when it changes. Not compared are the sequence and how much
/// warm-up time is left, only whether there is any. Thread safe.
bool hasSameContent(const LeafState& a, const LeafState& b);

/// Throws Error(BadRequest) if a name or the address is empty, there are no slots, the warm-up time is out of range or
/// a shard is outside its layout. Thread safe.
void checkAnnouncement(const Announcement&);

/// A state as an instance has published it.
struct LeafRecord {
    LeafState state;
    std::string registrar; // name of the instance
};

/// The end of a start that is not listed any more; see LeafDirectory::departureRetention.
struct LeafDeparture {
    std::string leaf;
    std::uint64_t boot = 0;
    LeafPhase phase = LeafPhase::Gone; // Draining or Gone
    milliseconds age { 0 };            // since the leaf was removed
};

constexpr std::size_t maxLeafRecordBytes = 900; // below maxItemBytes, with room for the key

/// Encodes a record. Releases before the phase Gone read it as a draining leaf. Thread safe.
std::string encodeLeafRecord(const LeafState&, std::string_view registrar);
/// Encodes a departure, which earlier releases leave out of what they import. Thread safe.
std::string encodeLeafDeparture(const LeafDeparture&);

/// A decoded entry of an exported directory; neither field is set if this build refuses the entry.
struct DecodedLeafEntry {
    std::optional<LeafRecord> record;
    std::optional<LeafDeparture> departure;
};
/// Decodes the entry at `offset` and moves `offset` behind it. If the bytes are malformed or truncated, `offset` stays.
/// Thread safe.
DecodedLeafEntry decodeLeafEntry(std::string_view bytes, std::size_t& offset);

} // namespace citronplank

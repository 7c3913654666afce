#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "daemon/Traffic.h"

#include <doctest/doctest.h>

using namespace citronplank;

// Guards against traffic between zones that cannot be attributed to a purpose.
TEST_CASE("bytes are counted by purpose and by whether they cross zones")
{
    Counters counters;
    TrafficCounters traffic(counters);
    traffic.onLeafBytes(true, 100);
    traffic.onLeafBytes(false, 30);
    traffic.onLinkMessage(MessageKind::RelayAnswer, false, 7);
    traffic.onLinkMessage(MessageKind::RelayAnswer, false, 8);
    CHECK(traffic.summary() == "leaf_own_zone=100 leaf_other_zone=30 relay_answer_other_zone=15");
    CHECK(counters.counter("link_bytes_relay_answer_other_zone_total").value() == 15);
}

// Guards against an access beyond the counters during an update, when peers of a newer version send unknown kinds.
TEST_CASE("a message kind of a newer version is counted as unknown")
{
    Counters counters;
    TrafficCounters traffic(counters);
    traffic.onLinkMessage(static_cast<MessageKind>(1000), true, 5);
    CHECK(traffic.summary() == "unknown_own_zone=5");
}

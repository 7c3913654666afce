#include "policy/QuotaMessages.h"

#include <algorithm>
#include <cmath>
#include <msgpack.hpp>

namespace citronplank {

namespace {

/// Share of the slack for each of two exceptions: instances without an allotter, and a new allotter. Small customers
/// need a few requests in the seconds after a change of the leader; the rest of the slack is depth of the buckets.
constexpr double exceptionShare = 0.3;

using PackedDemand
    = std::tuple<std::string, double, double, double, std::uint32_t, std::uint32_t, double, std::uint32_t>;
using PackedReport = std::tuple<std::uint64_t, std::vector<PackedDemand>, bool>;
using PackedGrant = std::tuple<std::string, double, double, double, std::uint32_t, std::int64_t>;
using PackedReply = std::tuple<std::uint64_t, std::uint32_t, std::vector<PackedGrant>>;

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
        throw Error(ErrorKind::BadRequest, "malformed quota message");
    }
}

void checkAmounts(std::initializer_list<double> amounts)
{
    for (auto it : amounts) {
        if (!(it >= 0) || !std::isfinite(it))
            throw Error(ErrorKind::BadRequest, "a quota message contains an invalid amount");
    }
}

} // namespace

double QuotaBounds::depthOf(const Customer& it) const
{
    auto seconds = std::chrono::duration<double>(window).count();
    auto exceptions = handoverTokens() + static_cast<double>(reserveInstances());
    return std::max(1.0, it.burst * (1 + overage) + overage * it.ratePerSecond * seconds + slack - exceptions);
}

double QuotaBounds::rateOf(const Customer& it) const
{
    auto seconds = std::chrono::duration<double>(window).count();
    auto limit = (it.ratePerSecond * seconds + it.burst) * (1 + overage) + slack;
    auto exceptions = handoverTokens() + static_cast<double>(reserveInstances());
    return std::clamp((limit - exceptions - depthOf(it)) / seconds, 0.0, it.ratePerSecond);
}

double QuotaBounds::handoverTokens() const { return std::floor(slack * exceptionShare); }

std::size_t QuotaBounds::reserveInstances() const { return static_cast<std::size_t>(slack * exceptionShare); }

std::string encode(const QuotaReport& report)
{
    PackedReport packed { report.number, {}, report.coversWindow };
    for (const auto& it : report.demands)
        std::get<1>(packed).emplace_back(
            it.customer, it.rate, it.depth, it.tokens, it.wanted, it.denied, it.arrivals, it.used);
    return pack(packed);
}

QuotaReport decodeQuotaReport(std::string_view bytes)
{
    auto [number, demands, coversWindow] = unpack<PackedReport>(bytes);
    QuotaReport report { number, {}, coversWindow };
    for (auto& [customer, rate, depth, tokens, wanted, denied, arrivals, used] : demands) {
        checkAmounts({ rate, depth, tokens, arrivals });
        report.demands.push_back({ std::move(customer), rate, depth, tokens, wanted, denied, arrivals, used });
    }
    return report;
}

std::string encode(const QuotaReply& reply)
{
    PackedReply packed { reply.number, reply.instances, {} };
    for (const auto& it : reply.grants)
        std::get<2>(packed).emplace_back(it.customer, it.rate, it.depth, it.tokens, it.rejected, it.retryAfter.count());
    return pack(packed);
}

QuotaReply decodeQuotaReply(std::string_view bytes)
{
    auto [number, instances, grants] = unpack<PackedReply>(bytes);
    QuotaReply reply { number, instances, {} };
    for (auto& [customer, rate, depth, tokens, rejected, retryAfter] : grants) {
        checkAmounts({ rate, depth, tokens });
        reply.grants.push_back({ std::move(customer), rate, depth, tokens, rejected, milliseconds(retryAfter) });
    }
    return reply;
}

} // namespace citronplank

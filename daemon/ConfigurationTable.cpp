#include "daemon/ConfigurationTable.h"

#include "rules/RulesFile.h"

#include <msgpack.hpp>

namespace citronplank {

namespace {

std::shared_ptr<const Configuration> makeConfiguration(PublishedState published, const Configuration& previous)
{
    auto configuration = std::make_shared<Configuration>();
    for (const auto& it : published.lines)
        configuration->lines.push_back(it.line);
    for (const auto& it : published.views)
        configuration->views.emplace(it.zone, it);
    configuration->rules = previous.rules;
    try {
        configuration->rules = toRules(configuration->lines, published.rulesVersion);
    } catch (const Error& error) {
        configuration->rulesError = error.what();
    }
    configuration->published = std::move(published);
    return configuration;
}

/// Records the keys of `previous` that `next` lacks. A removal that is noticed late does no harm, because removing a
/// line that a peer does not have changes nothing.
void recordRemovals(
    const PublishedState& previous, const PublishedState& next, std::map<std::string, std::uint64_t>& removed)
{
    std::set<std::string_view> present;
    for (const auto& it : next.lines) {
        present.insert(it.line.key);
        removed.erase(it.line.key);
    }
    for (const auto& it : previous.lines) {
        if (!present.contains(it.line.key))
            removed[it.line.key] = next.version;
    }
}

template <typename Item>
std::vector<Item> newerThan(const std::vector<Item>& items, std::uint64_t version)
{
    std::vector<Item> newer;
    for (const auto& it : items) {
        if (it.version > version)
            newer.push_back(it);
    }
    return newer;
}

} // namespace

std::string encodeFreshness(const FreshnessNotice& notice)
{
    msgpack::sbuffer buf;
    msgpack::pack(buf, std::make_tuple(notice.cluster, notice.publishedVersion, notice.timestampMs, notice.leader));
    return { buf.data(), buf.size() };
}

FreshnessNotice decodeFreshness(std::string_view bytes)
{
    try {
        auto fields = msgpack::unpack(bytes.data(), bytes.size())
                          .get()
                          .as<std::tuple<ClusterId, std::uint64_t, std::uint64_t, std::string>>();
        return { std::get<0>(fields), std::get<1>(fields), std::get<2>(fields), std::get<3>(fields) };
    } catch (const std::exception&) {
        throw Error(ErrorKind::BadRequest, "malformed freshness notice");
    }
}

ConfigurationTable::ConfigurationTable()
    : m_state(LockRank::Configuration)
{
}

std::shared_ptr<const Configuration> ConfigurationTable::current() const
{
    return m_state.with([](State& state) { return state.current; });
}

bool ConfigurationTable::apply(const PublishedDifference& difference)
{
    return m_state.with([&](State& state) {
        auto published = state.current->published;
        if (!applyDifference(published, difference))
            return false;
        recordRemovals(state.current->published, published, state.removed);
        if (state.removalsCompleteSince == 0)
            state.removalsCompleteSince = published.version;
        state.current = makeConfiguration(std::move(published), *state.current);
        state.history[state.current->published.rulesVersion] = state.current->lines;
        while (state.history.size() > maxRuleHistory)
            state.history.erase(state.history.begin());
        return true;
    });
}

PublishedDifference ConfigurationTable::differenceFor(std::uint64_t version) const
{
    return m_state.with([&](State& state) {
        const auto& published = state.current->published;
        PublishedDifference difference;
        difference.cluster = published.cluster;
        difference.fromVersion = version;
        difference.version = published.version;
        difference.rulesVersion = published.rulesVersion;
        difference.full = version == 0 || state.removalsCompleteSince == 0 || version < state.removalsCompleteSince;
        auto since = difference.full ? 0 : version;
        difference.lines = newerThan(published.lines, since);
        difference.views = newerThan(published.views, since);
        difference.blocked = newerThan(published.blocked, since);
        if (published.document.index > since)
            difference.document = published.document;
        if (!difference.full) {
            for (const auto& [key, removedIn] : state.removed) {
                if (removedIn > version)
                    difference.removedKeys.push_back(key);
            }
        }
        return difference;
    });
}

std::optional<std::vector<RuleLine>> ConfigurationTable::linesAt(std::uint64_t rulesVersion) const
{
    return m_state.with([&](State& state) -> std::optional<std::vector<RuleLine>> {
        if (rulesVersion == 0)
            return std::vector<RuleLine> {};
        auto it = state.history.find(rulesVersion);
        if (it == state.history.end())
            return std::nullopt;
        return it->second;
    });
}

bool ConfigurationTable::recordFreshness(const FreshnessNotice& notice, TimePoint now)
{
    return m_state.with([&](State& state) {
        auto cluster = state.current->published.cluster;
        if (cluster != 0 && notice.cluster != cluster)
            return false;
        if (notice.timestampMs <= state.notice.timestampMs)
            return false;
        state.notice = notice;
        state.lastNoticeAt = now;
        if (notice.publishedVersion <= state.current->published.version)
            state.confirmedCurrentAt = now;
        return true;
    });
}

bool ConfigurationTable::isFresh(TimePoint now) const
{
    return m_state.with(
        [&](State& state) { return state.confirmedCurrentAt && now - *state.confirmedCurrentAt < freshnessLimit; });
}

std::optional<Duration> ConfigurationTable::freshnessAge(TimePoint now) const
{
    return m_state.with([&](State& state) -> std::optional<Duration> {
        if (!state.lastNoticeAt)
            return std::nullopt;
        return now - *state.lastNoticeAt;
    });
}

FreshnessNotice ConfigurationTable::lastNotice() const
{
    return m_state.with([](State& state) { return state.notice; });
}

} // namespace citronplank

#include "standins/load/AnswerCheck.h"

#include "citronplank.h"

#include <nlohmann/json.hpp>
#include <set>
#include <vector>

namespace standins {

namespace {

using nlohmann::json;

constexpr std::uint32_t itemCount = 1000; // of an index version, in all shards; as in Leaf.cpp

/// Thrown when an answer with status 200 has the wrong content.
struct WrongAnswer {
    std::string reason;
};

/// Appends the items in order. Parts may be nested arrays or strings that contain JSON.
void collectItems(const json& value, std::vector<std::string>& items)
{
    if (value.is_array()) {
        for (const auto& it : value)
            collectItems(it, items);
    } else if (value.is_string()) {
        const auto& text = value.get_ref<const std::string&>();
        const auto inner = text.starts_with('[') ? json::parse(text, nullptr, false) : json();
        if (inner.is_array())
            collectItems(inner, items);
        else
            items.push_back(text);
    } else
        items.push_back(value.dump());
}

/// Sets the error kind and outcome from the body itself or from its "error" field. Without a kind, the detail is
/// "http_" and the status.
void readRefusal(const LoadReply& reply, Verdict& verdict)
{
    verdict.kind = Verdict::Kind::Refused;
    verdict.detail = "http_" + std::to_string(reply.status);
    const auto body = json::parse(reply.body, nullptr, false);
    const auto* error = body.is_object() && body.contains("error") ? &body["error"] : &body;
    for (const auto* it : { error, &body }) {
        if (it->is_string())
            verdict.detail = it->get<std::string>();
        else if (it->is_object() && it->contains("kind") && (*it)["kind"].is_string())
            verdict.detail = (*it)["kind"].get<std::string>();
        else
            continue;
        break;
    }
    for (const auto& row : citronplank::errorAnswers())
        if (row.name == verdict.detail)
            verdict.outcome = citronplank::outcomeName(row.outcome);
    for (const auto* it : { error, &body })
        if (it->is_object() && it->contains("outcome") && (*it)["outcome"].is_string())
            verdict.outcome = (*it)["outcome"].get<std::string>();
}

/// Returns the shards that `coverage` lists as missing. Throws WrongAnswer if the list contradicts itself or `total`.
std::set<std::uint32_t> readMissing(const json& coverage, std::uint32_t total)
{
    std::set<std::uint32_t> missing;
    for (const auto& it : coverage.at("missing")) {
        const auto shard = it.at("shard").get<std::uint32_t>();
        if (shard >= total)
            throw WrongAnswer { "missing shard is not part of the layout" };
        if (!missing.insert(shard).second)
            throw WrongAnswer { "shard is listed as missing twice" };
    }
    return missing;
}

/// Throws WrongAnswer unless `items` are all items of the shards that are not missing, ordered by shard.
void checkList(const std::vector<std::string>& items, std::uint64_t version, std::uint32_t total,
    const std::set<std::uint32_t>& missing)
{
    std::vector<std::string> expected;
    expected.reserve(itemCount);
    for (std::uint32_t shard = 0; shard < total; ++shard)
        for (std::uint32_t i = shard; i < itemCount && !missing.contains(shard); i += total)
            expected.push_back(std::to_string(version) + ":" + std::to_string(i));
    if (items == expected)
        return;
    const auto prefix = std::to_string(version) + ":";
    for (const auto& item : items)
        if (!item.starts_with(prefix))
            throw WrongAnswer { "item " + item + " does not belong to version " + std::to_string(version) };
    if (std::set(items.begin(), items.end()).size() != items.size())
        throw WrongAnswer { "duplicate item" };
    throw WrongAnswer { items.size() < expected.size()
            ? "items of a shard that coverage reports as answered are missing"
            : items.size() > expected.size() ? "items of a shard that coverage reports as missing are present"
                                             : "items are not in shard order" };
}

} // namespace

Verdict AnswerCheck::check(const LoadRequest& request, const LoadReply& reply)
{
    Verdict verdict;
    if (!reply.status) {
        verdict.detail = reply.transportError;
        verdict.outcome = reply.wasSent ? "may_have_run" : "not_run";
        return verdict;
    }
    if (reply.status != 200) {
        readRefusal(reply, verdict);
        return verdict;
    }
    verdict.outcome = "ran";
    try {
        if (!request.isKeyed)
            checkQuery(request, reply, verdict);
        else if (reply.body.find(request.key) == std::string::npos)
            throw WrongAnswer { "the answer has a different request key" };
        else {
            verdict.kind = Verdict::Kind::Whole;
            verdict.coverage = 1;
        }
    } catch (const WrongAnswer& wrong) {
        verdict.kind = Verdict::Kind::Wrong;
        verdict.detail = wrong.reason;
    } catch (const json::exception& error) {
        verdict.kind = Verdict::Kind::Wrong;
        verdict.detail = std::string("malformed answer: ") + error.what();
    }
    return verdict;
}

void AnswerCheck::checkQuery(const LoadRequest& request, const LoadReply& reply, Verdict& verdict)
{
    const auto answer = json::parse(reply.body);
    verdict.version = answer.at("index_version").get<std::uint64_t>();
    const auto& coverage = answer.at("coverage");
    const auto total = coverage.at("total").get<std::uint32_t>();
    const auto answered = coverage.at("answered").get<std::uint32_t>();
    if (!total)
        throw WrongAnswer { "coverage has a total of 0 shards" };
    const auto [layout, isNew] = m_layouts[request.service].emplace(verdict.version, total);
    if (layout->second != total)
        throw WrongAnswer { "shard count of one version differs between answers" };
    const auto missing = readMissing(coverage, total);
    if (answered + missing.size() != total)
        throw WrongAnswer { "answered and missing shards do not add up to the total" };
    if (coverage.at("whole").get<bool>() != missing.empty())
        throw WrongAnswer { "\"whole\" is inconsistent with the list of missing shards" };
    std::vector<std::string> items;
    collectItems(answer.at("items"), items);
    if (request.operation == "list")
        checkList(items, verdict.version, total, missing);
    else {
        if (items.size() != answered)
            throw WrongAnswer { "number of parts differs from the answered shards" };
        for (const auto& item : items)
            if (item.find(request.nonce) == std::string::npos)
                throw WrongAnswer { "a part belongs to a different request" };
    }
    verdict.coverage = double(answered) / total;
    verdict.kind = missing.empty() ? Verdict::Kind::Whole : Verdict::Kind::Partial;
}

} // namespace standins

#include "standins/leaf/LeafControl.h"

#include <nlohmann/json.hpp>

namespace standins {

namespace {

using nlohmann::json;

bool matches(const Leaf& leaf, const json& command)
{
    const auto& it = leaf.settings();
    return command.value("leaf", it.name) == it.name
        && command.value("service", it.service.service) == it.service.service
        && command.value("zone", it.zone) == it.zone;
}

void applyAction(Leaf& leaf, const json& command)
{
    const auto action = command.at("do").get<std::string>();
    if (action == "crash")
        leaf.crash();
    else if (action == "fall_over")
        leaf.fallOver();
    else if (action == "cold")
        leaf.fallBackToCold();
    else if (action == "drain")
        leaf.drain(std::chrono::milliseconds(command.value("exit_ms", 5000)));
    else if (action == "stop")
        leaf.stop();
    else if (action == "boot") {
        leaf.stop();
        leaf.boot();
    } else if (action == "silence")
        leaf.silenceConnections();
    else
        throw std::invalid_argument("unknown action \"" + action + "\"");
}

void applySettings(Leaf& leaf, const json& values)
{
    auto& faults = leaf.faults();
    const std::map<std::string, std::function<void(const json&)>> setters {
        { "straggle_rate", [&](const json& value) { value.get_to(faults.straggleRate); } },
        { "straggle_ms", [&](const json& value) { value.get_to(faults.straggleMs); } },
        { "shed_rate", [&](const json& value) { value.get_to(faults.shedRate); } },
        { "fail_rate", [&](const json& value) { value.get_to(faults.failRate); } },
        { "announces", [&](const json& value) { value.get_to(faults.announces); } },
        { "health_is_true", [&](const json& value) { value.get_to(faults.reportsTrueHealth); } },
        { "restart_ms", [&](const json& value) { value.get_to(faults.restartMs); } },
        { "hang_ms", [&](const json& value) { value.get_to(faults.hangMs); } },
        { "cold_shed_ms", [&](const json& value) { value.get_to(faults.coldShedMs); } },
        { "crash_marker", [&](const json& value) { value.get_to(faults.crashMarker); } },
        { "time", [&](const json& value) { leaf.setServiceTime(parseServiceTime(value.get<std::string>())); } },
    };
    for (const auto& [name, value] : values.items()) {
        const auto it = setters.find(name);
        if (it == setters.end())
            throw std::invalid_argument("unknown setting \"" + name + "\"");
        it->second(value);
    }
}

} // namespace

LeafControl::LeafControl(asio::io_context& io, const std::string& address, std::vector<std::unique_ptr<Leaf>>& leaves)
    : m_io(io)
    , m_leaves(leaves)
    , m_server(
          io, parseEndpoint(address), [this](const auto& request, const auto& session) { handle(request, session); })
{
    m_server.open();
}

void LeafControl::handle(const HttpMessage& request, const std::shared_ptr<HttpSession>& session)
{
    if (request.method == "GET" && request.target == "/leaves") {
        std::string body = "[";
        for (const auto& leaf : m_leaves)
            body += (body.size() > 1 ? ",\n" : "") + leaf->describe();
        return session->respond(200, "Content-Type: application/json\r\n", body + "]\n");
    }
    if (request.method != "POST" || request.target != "/control")
        return session->respond(404, "", "{}\n");
    try {
        session->respond(200, "", json { { "matched", applyCommand(request.body) } }.dump() + "\n");
    } catch (const std::exception& error) {
        session->respond(400, "", json { { "error", error.what() } }.dump() + "\n");
    }
}

std::size_t LeafControl::applyCommand(const std::string& body)
{
    const auto command = json::parse(body);
    if (!command.contains("do") && !command.contains("set") && !command.contains("repartition"))
        throw std::invalid_argument("the command has none of the fields \"do\", \"set\" and \"repartition\"");
    std::size_t matched = 0;
    for (const auto& leaf : m_leaves) {
        if (!matches(*leaf, command))
            continue;
        ++matched;
        if (command.contains("do"))
            applyAction(*leaf, command);
        if (command.contains("set"))
            applySettings(*leaf, command.at("set"));
        if (!command.contains("repartition"))
            continue;
        const auto& it = command.at("repartition");
        const auto delay = std::chrono::milliseconds(it.value("stagger_ms", 0) * static_cast<int>(matched - 1));
        auto timer = std::make_shared<asio::steady_timer>(m_io, delay);
        timer->async_wait([timer, &leaf = *leaf, version = it.at("version").get<std::uint64_t>(),
                              shards = it.at("shards").get<std::uint32_t>(),
                              keep = std::chrono::milliseconds(it.value("keep_ms", 5000))](
                              asio::error_code) { leaf.repartition(version, shards, keep); });
    }
    return matched;
}

} // namespace standins

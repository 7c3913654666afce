// standin_relay: TCP and UDP relays with fault injection through an HTTP control endpoint. Runs until SIGINT or
// SIGTERM; exits with 2 on invalid options or an address in use.
//
// GET /links lists the links. POST /control applies a JSON command to the links whose name starts with `link` (all
// links if absent) and returns {"matched":N}, or status 400 and {"error":TEXT} if the command is invalid. The settings
// are those of LinkFaults; "holds_answers" is `blocksResponses`.
//   {"link":"atl-", "set":{"delay_ms":1, "jitter_ms":0, "drop_rate":0, "cut":false, "holds_answers":false,
//                          "silent":false}}
//   {"link":"atl-", "do":"reset"|"silence_open"}
#include "standins/relay/Relay.h"

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <nlohmann/json.hpp>
#include <popt.h>
#include <sstream>

using namespace standins;
using nlohmann::json;

namespace {

using Links = std::vector<std::unique_ptr<Link>>;

/// Creates a link from "NAME=tcp:LISTEN>TARGET" or "NAME=udp:LISTEN>TARGET", both addresses as "IP:PORT". Throws
/// std::invalid_argument on malformed input.
std::unique_ptr<Link> parseLink(asio::io_context& io, const std::string& text, std::uint64_t seed)
{
    const auto equals = text.find('=');
    const auto arrow = text.find('>');
    if (equals == std::string::npos || arrow == std::string::npos || arrow < equals + 5)
        throw std::invalid_argument(
            "invalid link \"" + text + "\": expected NAME=tcp:IP:PORT>IP:PORT or NAME=udp:IP:PORT>IP:PORT");
    const auto name = text.substr(0, equals);
    const auto kind = text.substr(equals + 1, 4);
    const auto listen = text.substr(equals + 5, arrow - equals - 5);
    const auto target = text.substr(arrow + 1);
    if (kind == "tcp:")
        return makeTcpLink(io, name, listen, target, seed);
    if (kind == "udp:")
        return makeUdpLink(io, name, listen, target, seed);
    throw std::invalid_argument("invalid link \"" + text + "\": the protocol must be tcp or udp");
}

void setFaults(LinkFaults& faults, const json& values)
{
    for (const auto& [name, value] : values.items()) {
        if (name == "delay_ms")
            value.get_to(faults.delayMs);
        else if (name == "jitter_ms")
            value.get_to(faults.jitterMs);
        else if (name == "drop_rate")
            value.get_to(faults.dropRate);
        else if (name == "cut")
            value.get_to(faults.isCut);
        else if (name == "holds_answers")
            value.get_to(faults.blocksResponses);
        else if (name == "silent")
            value.get_to(faults.isSilent);
        else
            throw std::invalid_argument("unknown setting \"" + name + "\"");
    }
}

std::size_t applyCommand(const Links& links, const std::string& body)
{
    const auto command = json::parse(body);
    const auto prefix = command.value("link", "");
    const auto action = command.value("do", "");
    if (!action.empty() && action != "reset" && action != "silence_open")
        throw std::invalid_argument("unknown action \"" + action + "\"");
    std::size_t matched = 0;
    for (const auto& link : links) {
        if (!link->name().starts_with(prefix))
            continue;
        ++matched;
        if (command.contains("set"))
            setFaults(link->faults(), command.at("set"));
        link->onFaultsChanged();
        if (action == "reset")
            link->reset();
        else if (action == "silence_open")
            link->silenceOpenConnections();
    }
    return matched;
}

std::string describe(const Links& links)
{
    auto list = json::array();
    for (const auto& link : links) {
        const auto& faults = link->faults();
        const auto counts = link->counts();
        list.push_back({ { "link", link->name() }, { "delay_ms", faults.delayMs }, { "jitter_ms", faults.jitterMs },
            { "drop_rate", faults.dropRate }, { "cut", faults.isCut }, { "silent", faults.isSilent },
            { "open", counts.open }, { "accepted", counts.accepted }, { "bytes", counts.bytes },
            { "datagrams", counts.datagrams }, { "lost", counts.dropped } });
    }
    return list.dump(1) + "\n";
}

void handle(const Links& links, const HttpMessage& request, const std::shared_ptr<HttpSession>& session)
{
    if (request.method == "GET" && request.target == "/links")
        return session->respond(200, "Content-Type: application/json\r\n", describe(links));
    if (request.method != "POST" || request.target != "/control")
        return session->respond(404, "", "{}\n");
    try {
        session->respond(200, "", json { { "matched", applyCommand(links, request.body) } }.dump() + "\n");
    } catch (const std::exception& error) {
        session->respond(400, "", json { { "error", error.what() } }.dump() + "\n");
    }
}

int runRelay(int argc, const char** argv)
{
    asio::io_context io(1);
    Links links;
    std::string control = "127.0.0.1:9901";
    int seed = 1;
    enum : int { LinkOption = 1, ControlOption };
    const std::array<poptOption, 5> table { {
        { "link", 0, POPT_ARG_STRING, nullptr, LinkOption,
            "relay from a listening address to a target; may be repeated", "NAME=tcp|udp:IP:PORT>IP:PORT" },
        { "control", 0, POPT_ARG_STRING, nullptr, ControlOption,
            "address of the control endpoint (default 127.0.0.1:9901)", "IP:PORT" },
        { "seed", 0, POPT_ARG_INT, &seed, 0, "random seed; must precede the --link options (default 1)", "N" },
        POPT_AUTOHELP POPT_TABLEEND,
    } };
    auto* context = poptGetContext("standin_relay", argc, argv, table.data(), 0);
    int code = 0;
    while ((code = poptGetNextOpt(context)) > 0) {
        char* raw = poptGetOptArg(context);
        const std::string text = raw ? raw : "";
        std::free(raw);
        if (code == LinkOption)
            links.push_back(parseLink(io, text, static_cast<std::uint64_t>(seed) + links.size()));
        else
            control = text;
    }
    if (code < -1)
        throw std::invalid_argument(std::string(poptBadOption(context, 0)) + ": " + poptStrerror(code));
    poptFreeContext(context);
    HttpServer server(io, parseEndpoint(control),
        [&links](const auto& request, const auto& session) { handle(links, request, session); });
    server.open();
    asio::signal_set signals(io, SIGINT, SIGTERM);
    signals.async_wait([&](asio::error_code, int) { io.stop(); });
    std::cout << "relay: " << links.size() << " links, control at " << control << std::endl;
    io.run();
    return 0;
}

} // namespace

int main(int argc, const char** argv)
{
    try {
        return runRelay(argc, argv);
    } catch (const std::exception& error) {
        std::cerr << "standin_relay: " << error.what() << '\n';
        return 2;
    }
}

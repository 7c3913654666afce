// standin_leaf: hosts many stand-in leaves in one process, until SIGINT or SIGTERM. Exits with 2 on invalid options or
// an address in use.
#include "standins/leaf/Announcer.h"
#include "standins/leaf/LeafControl.h"

#include "citronplank.h"

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <popt.h>

using namespace standins;

namespace {

struct Options {
    std::vector<ServiceSettings> services;
    std::map<std::string, int> zones;                                 // zone name to Z of its addresses 127.0.Z.N
    std::map<std::string, std::vector<tcp::endpoint>> adminAddresses; // by zone; "": zones without an entry
    std::string control = "127.0.0.1:9900";
    std::string journal;
    bool keyedOnly = false;
    int firstHost = 10;
    int port = 9000;
    int seed = 1;
};

void addAdminAddresses(Options& options, const std::string& text)
{
    for (const auto& piece : split(text, ',')) {
        const auto at = piece.find('@');
        const auto zone = at == std::string::npos ? std::string() : piece.substr(0, at);
        options.adminAddresses[zone].push_back(parseEndpoint(at == std::string::npos ? piece : piece.substr(at + 1)));
    }
}

void addZones(Options& options, const std::string& text)
{
    for (const auto& piece : split(text, ',')) {
        const auto words = split(piece, '=');
        if (words.size() != 2)
            throw std::invalid_argument("invalid zone \"" + piece + "\": expected NAME=Z for the addresses 127.0.Z.N");
        options.zones[words[0]] = std::stoi(words[1]);
    }
}

Options parseOptions(int argc, const char** argv)
{
    Options options;
    int keyedOnly = 0;
    enum : int { Service = 1, Zones, Admin, Control, JournalFile };
    const std::array<poptOption, 11> table { {
        { "service", 0, POPT_ARG_STRING, nullptr, Service,
            "settings of a service, as \"service=S shards=20 replicas=2 zones=a,b slots=2 connections=25 connect-ms=6 "
            "time=lognormal:8:0.4 ramp=8 cold-factor=2 version=1\"; may be repeated",
            "TEXT" },
        { "zones", 0, POPT_ARG_STRING, nullptr, Zones,
            "zones whose leaves this process hosts, and their Z in 127.0.Z.N", "NAME=Z,..." },
        { "admin", 0, POPT_ARG_STRING, nullptr, Admin,
            "administration addresses of entry instances to announce to; those without ZONE@ are for the "
            "zones that have none of their own",
            "[ZONE@]IP:PORT,..." },
        { "control", 0, POPT_ARG_STRING, nullptr, Control, "address of the control endpoint (default 127.0.0.1:9900)",
            "IP:PORT" },
        { "journal", 0, POPT_ARG_STRING, nullptr, JournalFile, "file to append the journal to (default none)", "FILE" },
        { "journal-keyed-only", 0, POPT_ARG_NONE, &keyedOnly, 0, "omit parts without a request key from the journal",
            nullptr },
        { "first-host", 0, POPT_ARG_INT, &options.firstHost, 0, "first N of 127.0.Z.N (default 10)", "N" },
        { "port", 0, POPT_ARG_INT, &options.port, 0, "first port of the leaves (default 9000)", "PORT" },
        { "seed", 0, POPT_ARG_INT, &options.seed, 0, "random seed (default 1)", "N" },
        POPT_AUTOHELP POPT_TABLEEND,
    } };
    auto* context = poptGetContext("standin_leaf", argc, argv, table.data(), 0);
    int code = 0;
    while ((code = poptGetNextOpt(context)) > 0) {
        char* raw = poptGetOptArg(context);
        const std::string text = raw ? raw : "";
        std::free(raw);
        if (code == Service)
            options.services.push_back(parseService(text));
        else if (code == Zones)
            addZones(options, text);
        else if (code == Admin)
            addAdminAddresses(options, text);
        else if (code == Control)
            options.control = text;
        else
            options.journal = text;
    }
    if (code < -1)
        throw std::invalid_argument(std::string(poptBadOption(context, 0)) + ": " + poptStrerror(code));
    poptFreeContext(context);
    options.keyedOnly = keyedOnly != 0;
    return options;
}

void flushPeriodically(asio::steady_timer& timer, Journal& journal)
{
    timer.expires_after(std::chrono::milliseconds(200));
    timer.async_wait([&](asio::error_code ec) {
        journal.flush();
        if (!ec)
            flushPeriodically(timer, journal);
    });
}

int runLeaves(const Options& options)
{
    asio::io_context io(1);
    Journal journal(options.journal, options.keyedOnly);
    std::vector<std::unique_ptr<Leaf>> leaves;
    std::vector<std::unique_ptr<Announcer>> announcers;
    for (auto& settings : assignAddresses(options.services, options.zones, options.firstHost, options.port)) {
        const auto hash = citronplank::hash64(settings.name, static_cast<std::uint64_t>(options.seed));
        auto it = options.adminAddresses.find(settings.zone);
        if (it == options.adminAddresses.end())
            it = options.adminAddresses.find("");
        leaves.push_back(std::make_unique<Leaf>(io, settings, journal, hash));
        leaves.back()->boot();
        if (it == options.adminAddresses.end())
            continue;
        announcers.push_back(std::make_unique<Announcer>(io, *leaves.back(), it->second, hash));
        // Spreads the leaves over the announcement interval of 500 ms, so that their announcements do not arrive at
        // once.
        announcers.back()->start(std::chrono::milliseconds(hash % 500));
    }
    LeafControl control(io, options.control, leaves);
    asio::steady_timer flushTimer(io);
    flushPeriodically(flushTimer, journal);
    asio::signal_set signals(io, SIGINT, SIGTERM);
    signals.async_wait([&](asio::error_code, int) { io.stop(); });
    std::cout << "leaves: " << leaves.size() << " serving, control at " << options.control << std::endl;
    io.run();
    journal.flush();
    return 0;
}

} // namespace

int main(int argc, const char** argv)
{
    try {
        return runLeaves(parseOptions(argc, argv));
    } catch (const std::exception& error) {
        std::cerr << "standin_leaf: " << error.what() << '\n';
        return 2;
    }
}

// standin_load: load generator and response checker. Exits with 0 if all answers (with --check: the whole history) were
// correct, 1 if not, and 2 on an error.
#include "standins/load/DirectSender.h"
#include "standins/load/EntrySender.h"
#include "standins/load/Generator.h"
#include "standins/load/HistoryCheck.h"

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <popt.h>
#include <sstream>

using namespace standins;

namespace {

struct Options {
    LoadSettings load;
    std::vector<std::string> entries;
    std::vector<std::string> direct; // control addresses of stand-in leaves; empty: send to `entries`
    std::string resultFile;
    std::string checkFile;             // history to check; empty: send load
    std::vector<std::string> journals; // journal files of the leaves, for the check
};

std::vector<std::string> splitList(const std::string& text)
{
    std::vector<std::string> pieces;
    std::istringstream in(text);
    for (std::string piece; std::getline(in, piece, ',');)
        if (!piece.empty())
            pieces.push_back(piece);
    return pieces;
}

// Codes of the options that take a text; popt needs them to be greater than 0.
enum : int { Entries = 1, Direct, Services, KeyedServices, KeyedOperation, Body, Result, History, Check, Journals };

void setTextOption(Options& options, int code, const std::string& text)
{
    switch (code) {
    case Entries:
        options.entries = splitList(text);
        break;
    case Direct:
        options.direct = splitList(text);
        break;
    case Services:
        options.load.services = splitList(text);
        break;
    case KeyedServices:
        options.load.keyedServices = splitList(text);
        break;
    case KeyedOperation:
        options.load.keyedOperation = text;
        break;
    case Body:
        options.load.body = text;
        break;
    case Result:
        options.resultFile = text;
        break;
    case History:
        options.load.history = text;
        break;
    case Check:
        options.checkFile = text;
        break;
    default:
        options.journals = splitList(text);
        break;
    }
}

Options parseOptions(int argc, const char** argv)
{
    Options options;
    auto& load = options.load;
    int deadline = 1000;
    int seed = 1;
    double duration = 10;
    double warmUp = 0;
    const auto textOption = [](const char* name, int code, const char* help, const char* valueFormat) {
        return poptOption { name, 0, POPT_ARG_STRING, nullptr, code, help, valueFormat };
    };
    const std::array<poptOption, 22> table { {
        textOption("entries", Entries,
            "caller addresses of entry instances; an optional /IP:PORT gives the administration address for readiness "
            "checks",
            "IP:PORT,..."),
        textOption("direct", Direct,
            "send parts directly to the leaves listed at these control addresses, without entry instances",
            "IP:PORT,..."),
        textOption("service", Services, "services to query (default loandesk)", "NAME,..."),
        textOption("keyed-service", KeyedServices, "services of keyed requests (default loandesk)", "NAME,..."),
        textOption("keyed-operation", KeyedOperation, "operation of keyed requests (default charge)", "NAME"),
        textOption("body", Body, "prefix of each request body (default standin-load)", "TEXT"),
        textOption("result", Result, "output file of the result, as JSON", "FILE"),
        textOption("history", History, "file to append the history of keyed requests to", "FILE"),
        textOption("check", Check, "check this history against --journals instead of sending load", "FILE"),
        textOption("journals", Journals, "journals of the stand-in leaves, for --check", "FILE,..."),
        { "keyed-share", 0, POPT_ARG_DOUBLE, &load.keyedShare, 0, "fraction of keyed requests (default 0)", "0..1" },
        { "echo-share", 0, POPT_ARG_DOUBLE, &load.echoShare, 0,
            "fraction of queries with operation echo, whose answers must return the request body (default 0)", "0..1" },
        { "customers", 0, POPT_ARG_INT, &load.customers, 0,
            "number of customers that requests are sent for (default 5)", "N" },
        { "rate", 0, POPT_ARG_DOUBLE, &load.rate, 0, "requests per second; 0 is a closed loop (default 0)", "R" },
        { "concurrency", 0, POPT_ARG_INT, &load.concurrency, 0, "concurrent requests of the closed loop (default 4)",
            "N" },
        { "resends", 0, POPT_ARG_INT, &load.resends, 0,
            "maximum number of resends of a keyed request without a final outcome (default 2)", "N" },
        { "deadline-ms", 0, POPT_ARG_INT, &deadline, 0, "deadline of each request in milliseconds (default 1000)",
            "MS" },
        { "duration-s", 0, POPT_ARG_DOUBLE, &duration, 0,
            "duration of the run in seconds, including the warm-up (default 10)", "S" },
        { "warm-up-s", 0, POPT_ARG_DOUBLE, &warmUp, 0,
            "initial time in seconds that is excluded from the totals (default 0)", "S" },
        { "seed", 0, POPT_ARG_INT, &seed, 0, "random seed (default 1)", "N" },
        POPT_AUTOHELP POPT_TABLEEND,
    } };
    auto* context = poptGetContext("standin_load", argc, argv, table.data(), 0);
    int code = 0;
    while ((code = poptGetNextOpt(context)) > 0) {
        char* raw = poptGetOptArg(context);
        setTextOption(options, code, raw ? raw : "");
        std::free(raw);
    }
    if (code < -1)
        throw std::invalid_argument(std::string(poptBadOption(context, 0)) + ": " + poptStrerror(code));
    poptFreeContext(context);
    load.deadline = std::chrono::milliseconds(deadline);
    load.duration = std::chrono::milliseconds(static_cast<std::int64_t>(duration * 1000));
    load.warmUp = std::chrono::milliseconds(static_cast<std::int64_t>(warmUp * 1000));
    load.seed = static_cast<std::uint64_t>(seed);
    if (load.customers < 1 || load.concurrency < 1 || deadline < 1 || load.services.empty()
        || load.keyedServices.empty())
        throw std::invalid_argument("--customers, --concurrency and --deadline-ms must be greater than 0, --service "
                                    "and --keyed-service not empty");
    return options;
}

int runCheck(const Options& options)
{
    const auto report = checkHistory(options.checkFile, options.journals);
    std::cout << "history: " << report.keys << " keys, " << report.runs << " runs, " << report.violations.size()
              << " violations\n";
    for (const auto& violation : report.violations)
        std::cout << "history: " << violation << '\n';
    return report.violations.empty() ? 0 : 1;
}

int runLoad(const Options& options)
{
    asio::io_context io(1);
    std::unique_ptr<Sender> sender;
    if (options.direct.empty())
        sender = std::make_unique<EntrySender>(io, options.entries);
    else
        sender = std::make_unique<DirectSender>(io, options.direct);
    Generator generator(io, options.load, *sender);
    asio::signal_set signals(io, SIGINT, SIGTERM);
    signals.async_wait([&](asio::error_code ec, int) {
        if (!ec)
            generator.stop();
    });
    generator.run();
    std::cout << generator.statistics().summary();
    if (!options.resultFile.empty())
        std::ofstream(options.resultFile) << generator.statistics().toJson().dump(1) << '\n';
    return generator.statistics().wrongAnswers() ? 1 : 0;
}

} // namespace

int main(int argc, const char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    try {
        const auto options = parseOptions(argc, argv);
        return options.checkFile.empty() ? runLoad(options) : runCheck(options);
    } catch (const std::exception& error) {
        std::cerr << "standin_load: " << error.what() << '\n';
        return 2;
    }
}
